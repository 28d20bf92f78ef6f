package main

import (
	"bytes"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const goodSettings = `
hostname = "control-1"
machine-class = "core"
ip-addr = "127.0.0.1"
az = "brno-hala"
port-range = [7660, 7675]
a-field-of-tomorrow = true
`

const goodConfiguration = `{"gen":1,"backends":[{"name":"s"}],"routes":[
	{"name":"r","vhost":"h","path-prefix":"/a/","deadline-ms":5,"backend":"s"}]}`

func TestCheckPrintsEveryFault(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string // substring of each printed line, in order; nil: no faults
	}{
		"settings":           {goodSettings, nil},
		"configuration":      {goodConfiguration, nil},
		"settings, wrong":    {"hostname = 3\n" + goodSettings[1+len(`hostname = "control-1"`):] + "[bounds]\ndrain-ms = -1\n", []string{"line 1: hostname", "line 9: bounds.drain-ms"}},
		"not TOML":           {"hostname = \n", []string{"line 1"}},
		"configuration, cut": {goodConfiguration[:60], []string{""}},
		"configuration, wrong": {
			`{"gen":1,"routes":[{"name":"r","vhost":"h","path-prefix":"/a/","deadline-ms":0,"backend":"s"}]}`,
			[]string{"routes/r deadline-ms", "routes/r backend"},
		},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			err := check(&output, "FILE", []byte(one.text))
			lines := bytes.Split(bytes.TrimSpace(output.Bytes()), []byte("\n"))
			if one.want == nil {
				require.NoError(t, err)
				require.Equal(t, "FILE: no faults", output.String()[:len("FILE: no faults")])
				return
			}
			var faulty *FaultyFileError
			require.True(t, errors.As(err, &faulty))
			require.Len(t, lines, len(one.want), output.String())
			for index, part := range one.want {
				require.Contains(t, string(lines[index]), "FILE: "+part)
			}
		})
	}
}

func TestCommandLine(t *testing.T) {
	for _, role := range []string{"proxy", "agent", "control"} {
		var commands commandLine
		parser, err := kong.New(&commands, helpVariables())
		require.NoError(t, err)
		parsed, err := parser.Parse([]string{role})
		require.NoError(t, err)
		require.Equal(t, role, parsed.Command())
	}
	var commands commandLine
	parser, err := kong.New(&commands, helpVariables())
	require.NoError(t, err)
	_, err = parser.Parse([]string{"dance"})
	require.Error(t, err)
	require.Contains(t, version(), "fieldrelay-region")
}
