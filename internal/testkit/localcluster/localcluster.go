// Package localcluster plans a regional system whose processes all run on one host: each machine has a loopback address of
// its own, and all have the same ports, as the machines of a deployment do.
package localcluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"fieldrelay/internal/region/settings"
)

const (
	// ownPorts is the number of ports of each machine for messages of the system itself; two more are for callers from
	// outside: the edge or the operator, the checks or the directory.
	ownPorts  = 3
	allPorts  = ownPorts + 2
	mostSeeds = 3

	// lowestPort and portSpan bound the ports that are tried, below those that the system gives to clients.
	lowestPort = 12000
	portSpan   = 16000

	// portAttempts bounds the search for free ports.
	portAttempts = 50

	// firstControl and firstEdge are the last parts of the first machines' addresses.
	firstControl = 11
	firstEdge    = 21

	loopback = "127.0.0.1"
)

// Zones are those of all plans, with their regions.
var Zones = map[string]string{"hall-a": "north", "hall-b": "north", "hall-c": "south"}

// ZoneNames are the zones in the order in which machines take them.
var ZoneNames = []string{"hall-a", "hall-b", "hall-c"}

// Options are what a plan is made of.
type Options struct {
	Controls, Edges int
	Network         string  // the first three parts of the addresses; "": drawn, so that several systems fit on a host
	Folder          string  // for settings and state folders
	Platform        string  // address of the platform's list
	GraceS          float64 // the time, in seconds, that processes get to end
}

// Layout is the settings of every machine. Most bounds and limits are the defaults.
type Layout struct {
	Controls, Edges []*settings.Settings
	folder          string
}

// NoPortsError tells that no ports were found that are free at all addresses.
type NoPortsError struct{ Attempts int }

// Error says how often free ports were looked for.
func (e *NoPortsError) Error() string { return fmt.Sprintf("no free ports after %d tries", e.Attempts) }

// New plans a system and makes its state folders. Another program may still take a port before the system does; the
// addresses are seldom used.
func New(options Options) (*Layout, error) {
	for range portAttempts {
		network := options.Network
		if network == "" {
			network = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(256))
		}
		first := lowestPort + rand.IntN(portSpan)
		if portsAreFree(options, network, first) {
			return newLayout(options, network, first)
		}
	}
	return nil, &NoPortsError{Attempts: portAttempts}
}

func newLayout(options Options, network string, first int) (*Layout, error) {
	result := &Layout{folder: options.Folder}
	for index := range options.Controls {
		own := machine(options, "core", fmt.Sprintf("control-%d", index+1), address(network, firstControl+index), index, first)
		own.StateDir = filepath.Join(options.Folder, own.Hostname)
		own.QuorumMember = true
		own.Binds = settings.Binds{Control: own.Port(ownPorts), Directory: own.Port(ownPorts + 1)}
		if err := os.Mkdir(own.StateDir, 0o700); err != nil {
			return nil, errors.Wrap(err, "make a state folder")
		}
		result.Controls = append(result.Controls, own)
	}
	for index := range options.Edges {
		own := machine(options, "edge", fmt.Sprintf("edge-%d", index+1), address(network, firstEdge+index), index, first)
		own.Binds = settings.Binds{Edge: own.Port(ownPorts), Ready: own.Port(ownPorts + 1)}
		result.Edges = append(result.Edges, own)
	}
	for _, own := range result.All() {
		for _, control := range result.Controls[:min(mostSeeds, len(result.Controls))] {
			own.Seeds = append(own.Seeds, control.Binds.Control)
		}
	}
	return result, nil
}

// All are the settings of all machines.
func (l *Layout) All() []*settings.Settings { return slices.Concat(l.Controls, l.Edges) }

// Write puts settings into a file for a process to read.
func (l *Layout) Write(own *settings.Settings) (path string, err error) {
	text, err := toml.Marshal(own)
	if err != nil {
		return "", errors.Wrap(err, "write the settings as TOML")
	}
	path = filepath.Join(l.folder, own.Hostname+".toml")
	return path, errors.Wrap(os.WriteFile(path, text, 0o600), "write the settings")
}

func address(network string, last int) string { return network + "." + strconv.Itoa(last) }

// machine returns the settings that all kinds of machines have.
func machine(options Options, class, name, ip string, number, first int) *settings.Settings {
	zone := ZoneNames[number%len(ZoneNames)]
	own, err := settings.Parse(fmt.Appendf(nil, "hostname = %q\nmachine-class = %q\nip-addr = %q\naz = %q\nport-range = [%d, %d]\n",
		name, class, ip, zone, first, first+ownPorts-1))
	if err != nil {
		panic(err) // the text above is at fault
	}
	own.Bootstrap = true
	own.Zones = Zones
	own.Region = Zones[zone]
	own.FaultBudget = settings.FaultBudget{Hosts: 1, Zones: 1}
	own.CloudAPI.Address = options.Platform
	own.Bounds.GraceS = options.GraceS
	return own
}

// portsAreFree tells whether a row of ports is free at every address of a plan and at 127.0.0.1, where proxies are fed.
func portsAreFree(options Options, network string, first int) bool {
	hosts := []string{loopback}
	for index := range options.Controls {
		hosts = append(hosts, address(network, firstControl+index))
	}
	for index := range options.Edges {
		hosts = append(hosts, address(network, firstEdge+index))
	}
	for _, host := range hosts {
		for port := first; port < first+allPorts; port++ {
			listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}
