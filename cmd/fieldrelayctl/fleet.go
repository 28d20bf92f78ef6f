package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"fieldrelay/internal/sidecar/config"
)

// queryTimeout bounds the connection set-up to the management address, and again the exchange of command and answer.
const queryTimeout = 3 * time.Second

type sidecarAddr struct {
	Mgmt string `help:"The management address of the sidecar; as a rule that of its configuration." placeholder:"HOST:PORT"`
}

// query sends a command to the sidecar at --mgmt or, without that flag, at the management address of its configuration.
func (c sidecarAddr) query(w *environment, command string) ([]string, error) {
	address := c.Mgmt
	if address == "" {
		cfg, err := config.Load(w.getenv, w.operator)
		if err != nil {
			return nil, err
		}
		if address = cfg.Mgmt; address == "" {
			return nil, errors.New("no management address: set mgmt in the configuration or pass --mgmt")
		}
	}
	return query(address, command)
}

// queryCmd sends the management command that has the name of the selected subcommand and prints the answer as a table:
// the words of each line that are not key=value fields, as its name, then a column for each key.
type queryCmd struct{ sidecarAddr }

// Run sends the management command and prints the answer as a table.
func (c queryCmd) Run(w *environment, ctx *kong.Context) error {
	lines, err := c.query(w, strings.ToUpper(ctx.Selected().Name))
	if err != nil {
		return err
	}
	var keys []string
	rows := make([]map[string]string, len(lines))
	names := make([]string, len(lines))
	for i, line := range lines {
		rows[i] = map[string]string{}
		for _, f := range strings.Fields(line) {
			key, value, ok := strings.Cut(f, "=")
			if !ok {
				names[i] += f + " "
				continue
			}
			if rows[i][key] = value; !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	table := tabwriter.NewWriter(w.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(append([]string{"NAME"}, keys...), "\t"))
	for i := range lines {
		row := []string{strings.TrimSpace(names[i])}
		for _, k := range keys {
			row = append(row, rows[i][k])
		}
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

type fleetCmd struct{ sidecarAddr }

// Run sends the management command PEERS and prints the members as a table.
func (c fleetCmd) Run(w *environment) error {
	lines, err := c.query(w, "PEERS")
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(w.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tSTATE\tINCARNATION\tLAST HEARD\tADDRESS\tMORE")
	for _, line := range lines {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		values := map[string]string{}
		var more []string
		for _, f := range fields[2:] {
			key, value, _ := strings.Cut(f, "=")
			switch key {
			case "inc", "heard", "addr":
				values[key] = value
			default:
				more = append(more, f)
			}
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", fields[0], fields[1], values["inc"], values["heard"], values["addr"], strings.Join(more, " "))
	}
	return table.Flush()
}

// query sends one command to a management address and returns the lines of the answer between "ok" and "eof".
func query(address, command string) ([]string, error) {
	nc, err := net.DialTimeout("tcp", address, queryTimeout)
	if err != nil {
		return nil, err
	}
	defer func() { _ = nc.Close() }()
	if err := nc.SetDeadline(time.Now().Add(queryTimeout)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintln(nc, command); err != nil {
		return nil, err
	}
	in := bufio.NewScanner(nc)
	var lines []string
	for in.Scan() {
		switch line := in.Text(); {
		case strings.HasPrefix(line, "fail"):
			return nil, errors.New(strings.TrimSpace(strings.TrimPrefix(line, "fail")))
		case line == "eof":
			return lines, nil
		case line != "ok":
			lines = append(lines, line)
		}
	}
	return nil, errors.Join(errors.New("the answer of the management address ended before its line eof"), in.Err())
}
