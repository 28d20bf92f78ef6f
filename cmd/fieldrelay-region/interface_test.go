package main

import (
	"flag"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/testkit/recordedtest"
)

var update = flag.Bool("update", false, "write the recorded copies")

// The commands, arguments and flags equal the recorded copy in testdata/commands.txt.
func TestRecordedCommands(t *testing.T) {
	var commands commandLine
	parser, err := kong.New(&commands, kong.Name("fieldrelay-region"), helpVariables())
	require.NoError(t, err)
	recordedtest.Compare(t, *update, "testdata/commands.txt", recordedtest.Commands(parser.Model))
}
