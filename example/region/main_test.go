package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/settings"
)

func TestTheExampleServesAStreamedRequest(t *testing.T) {
	var output bytes.Buffer
	require.NoError(t, run(t.Context(), "", &output), output.String())
	for _, part := range []string{
		"started 5 processes", "configuration 1 is acknowledged", "the directory sends clients to 127.0.0.21:",
		": 200 after ", "event: token 5 from i-", "chain, head first: control-1 (hall-a)", "edge-1 proxy ended in order",
		"control-3 control ended in order",
	} {
		require.Contains(t, output.String(), part)
	}
	require.NotContains(t, output.String(), "ended: ")
}

func TestSettingsOfTheExampleHaveNoFaults(t *testing.T) {
	folder := t.TempDir()
	layout, err := newLayout(folder, "127.0.0.1:1")
	require.NoError(t, err)
	for _, own := range layout.all() {
		path, err := layout.Write(own)
		require.NoError(t, err)
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		read, err := settings.Parse(text)
		require.NoError(t, err)
		require.Equal(t, own.Seeds, read.Seeds)
		require.Equal(t, own.Binds, read.Binds)
	}
}

func TestAnAnswerThatIsCutIsAnError(t *testing.T) {
	var output bytes.Buffer
	require.ErrorContains(t, printEvents(bytes.NewBufferString("id: 1\ndata: a\n\n"), &output), "answer cut short: 1 of 5 events received")
}

func TestARefusalIsAnError(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	var output bytes.Buffer
	var refused *StatusError
	err := stream(t.Context(), server.Listener.Addr().String(), &output)
	require.True(t, errors.As(err, &refused))
	require.Equal(t, http.StatusNotFound, refused.Status)
}
