package main

import (
	"fieldrelay/internal/region/settings"
	"fieldrelay/internal/testkit/localcluster"
)

const (
	controlMachines = 3

	// graceSeconds is the time, in seconds, that a process has to exit after SIGTERM. It is short because the example has no other
	// clients.
	graceSeconds = 1

	// network is the first three octets of all machine addresses. The agent feeds the proxy at 127.0.0.1, so a host can
	// run only one edge machine.
	network = "127.0.0"
)

// layout holds the settings of every machine.
type layout struct {
	*localcluster.Layout
	controls []*settings.Settings
	edge     *settings.Settings
}

// newLayout assigns each machine a loopback address of its own and chooses free ports, which are the same on all machines.
func newLayout(folder, platform string) (*layout, error) {
	planned, err := localcluster.New(localcluster.Options{
		Controls: controlMachines, Edges: 1, Network: network, Folder: folder, Platform: platform, GraceS: graceSeconds,
	})
	if err != nil {
		return nil, err
	}
	return &layout{Layout: planned, controls: planned.Controls, edge: planned.Edges[0]}, nil
}

func (l *layout) all() []*settings.Settings { return l.All() }
