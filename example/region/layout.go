package main

import (
	"fieldrelay/internal/region/settings"
	"fieldrelay/internal/testkit/localcluster"
)

const (
	controlMachines = 3

	// graceSeconds is the time, in seconds, that processes get to end: nobody else uses them.
	graceSeconds = 1

	// network is the first parts of all addresses. The proxy is fed at 127.0.0.1, so that a host can bear only one edge
	// machine.
	network = "127.0.0"
)

// layout is the settings of every machine.
type layout struct {
	*localcluster.Layout
	controls []*settings.Settings
	edge     *settings.Settings
}

// newLayout gives each machine a loopback address of its own. All machines use the same ports, which are free.
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
