package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/settings"
)

// The example settings file, with which the README starts a single control machine, is valid and complete.
func TestTheExampleSettingsAreValid(t *testing.T) {
	read, err := settings.Load("../../example/control.toml")
	require.NoError(t, err)
	for _, value := range []string{read.StateDir, read.Binds.Control, read.Binds.Directory, read.CloudAPI.Address} {
		require.NotEmpty(t, value)
	}
	require.NotEmpty(t, read.Seeds)
}
