// Package hollow measures how the control plane grows: it runs many real agents in few processes, each with a
// stand-in for its proxy, against real control processes on the loopback interface and a stand-in for the
// platform's list, and tells times, bytes and processor time for each of them.
//
// An agent here is the whole of internal/agent with its sockets; only the proxy beside it is hollow: it takes
// what it is fed, tells versions as a proxy does and serves nobody. Every machine has an address of its own in
// 127.0.0.0/8, so that ports are those of a deployment. Nothing of this is part of the deployed programs.
package hollow

import (
	"fmt"
	"strconv"
	"time"

	"fieldrelay/internal/settings"
)

// Ports of the machines of a trial.
const (
	firstPort    = 7660 // for the system's own messages
	lastPort     = 7675
	controlPort  = 8146 // the operator's API and the directory
	edgePort     = 8144 // told by the hollow proxies, served by nobody
	platformPort = 8142
	workerPort   = 7900 // a worker's feed for its agents, and its report
	agentsPerNet = 200  // addresses used of one third octet
)

// grace is how long an ending agent waits for its proxy.
const graceSeconds = 1

// Deployment is the size of a trial and the place of its machines.
type Deployment struct {
	Network  int `help:"Second octet of the addresses in 127.0.0.0/8." default:"77"`
	Controls int `help:"Control machines, each in a zone of its own." default:"5"`
	Agents   int `help:"Agents." default:"50"`
	Servers  int `help:"Servers on the platform's list." default:"3100"`
	Zones    int `help:"Zones." default:"43"`
	Regions  int `help:"Regions, over which the zones are dealt." default:"18"`
	Routes   int `help:"Routes of the configuration." default:"1500"`
	Page     int `help:"Servers on one page of the platform's list." default:"50"`
	Rate     int `help:"Calls a second that the platform accepts." default:"1200"`
}

func (d Deployment) zone(number int) string {
	number %= d.Zones
	return fmt.Sprintf("%s-hall-%02d", d.regionOfZone(number), number)
}

func (d Deployment) regionOfZone(number int) string {
	return fmt.Sprintf("region-%02d", number%d.Zones%d.Regions)
}

// zones gives the region of each zone.
func (d Deployment) zones() map[string]string {
	zones := make(map[string]string, d.Zones)
	for number := range d.Zones {
		zones[d.zone(number)] = d.regionOfZone(number)
	}
	return zones
}

func (d Deployment) controlIP(number int) string {
	return fmt.Sprintf("127.%d.1.%d", d.Network, number+1)
}

func (d Deployment) platformIP() string { return fmt.Sprintf("127.%d.0.1", d.Network) }

func (d Deployment) workerIP(number int) string {
	return fmt.Sprintf("127.%d.0.%d", d.Network, number+10)
}

func (d Deployment) agentIP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.Network, 2+number/agentsPerNet, number%agentsPerNet+1)
}

func (d Deployment) controlAddress(number int) string {
	return d.controlIP(number) + ":" + strconv.Itoa(controlPort)
}

// seeds are the operator's addresses of three control machines, or of all if there are fewer.
func (d Deployment) seeds() []string {
	const most = 3
	var seeds []string
	for number := range min(d.Controls, most) {
		seeds = append(seeds, d.controlAddress(number))
	}
	return seeds
}

// agentSettings are what an agent reads from its file.
func (d Deployment) agentSettings(number int) *settings.Settings {
	return &settings.Settings{
		Hostname:     "edge-" + d.zone(number) + "-" + strconv.Itoa(number),
		MachineClass: "edge",
		Address:      d.agentIP(number),
		Zone:         d.zone(number),
		Region:       d.regionOfZone(number),
		Zones:        d.zones(),
		PortRange:    []int{firstPort, lastPort},
		Seeds:        d.seeds(),
		Bounds:       settings.Bounds{GraceS: graceSeconds},
	}
}

// Limits of the waits of a trial.
const (
	pollPeriod = 100 * time.Millisecond
	startLimit = 90 * time.Second
)
