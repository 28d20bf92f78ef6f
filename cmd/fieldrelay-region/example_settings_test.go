package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/settings"
)

// The settings file with which the README starts a single process has no faults.
func TestTheExampleSettingsAreValid(t *testing.T) {
	read, err := settings.Load("../../example/control.toml")
	require.NoError(t, err)
	require.NoError(t, read.Require("state-dir", "binds.ctl", "binds.dir", "cloud-api.address", "seed-nodes"))
}
