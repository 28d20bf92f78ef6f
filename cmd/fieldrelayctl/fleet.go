package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"text/tabwriter"
	"time"

	"fieldrelay/internal/config"
)

// How long the management address may take.
const askTimeout = 3 * time.Second

type fleetCmd struct {
	Mgmt string `help:"The management address of the sidecar; as a rule that of its configuration." placeholder:"HOST:PORT"`
}

// Run asks PEERS and prints a table.
func (c fleetCmd) Run(w *world) error {
	address := c.Mgmt
	if address == "" {
		cfg, err := config.Load(w.getenv, w.operator)
		if err != nil {
			return err
		}
		if address = cfg.Mgmt; address == "" {
			return errors.New("no management address: set mgmt in the configuration, or --mgmt")
		}
	}
	lines, err := ask(address, "PEERS")
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

// ask sends one command to a management address and gives the lines between ok and eof.
func ask(address, command string) ([]string, error) {
	nc, err := net.DialTimeout("tcp", address, askTimeout)
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(askTimeout))
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
	return nil, errors.Join(errors.New("the answer ended early"), in.Err())
}
