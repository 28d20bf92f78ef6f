package main

import (
	"net"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/status"
)

func TestStatusCommandLine(t *testing.T) {
	var commands commandLine
	parser, err := kong.New(&commands, helpVariables())
	require.NoError(t, err)
	parsed, err := parser.Parse([]string{"status", "--json", "--only", "10.0.0.1:7660"})
	require.NoError(t, err)
	require.Equal(t, "status <address>", parsed.Command())
	require.Equal(t, statusCommand{Address: "10.0.0.1:7660", JSON: true, Only: true}, commands.Status)
	_, err = parser.Parse([]string{"status"})
	require.Error(t, err, "the command line names no address")
}

func TestStatusOfAnUnreachableAddress(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	for _, command := range []statusCommand{{Address: address}, {Address: address, Only: true}} {
		var unreachable *status.UnreachableError
		require.True(t, errors.As(command.Run(), &unreachable))
		require.Equal(t, address, unreachable.Address)
	}
}
