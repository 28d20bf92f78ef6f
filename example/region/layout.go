package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"fieldrelay/internal/settings"
)

const (
	controlMachines = 3

	// ownPorts is the number of ports of each machine for messages of the system itself.
	ownPorts = 3

	// graceS is the time, in seconds, that processes get to end: nobody else uses them.
	graceS = 1

	// lowestPort and portSpan bound the ports that are tried, below those that the system gives to clients.
	lowestPort = 12000
	portSpan   = 16000

	// portTries bounds the search for free ports.
	portTries = 50
)

// zones are those of the example, with their regions.
var zones = map[string]string{"hall-a": "north", "hall-b": "north", "hall-c": "south"}

// zoneNames are the zones in the order in which control machines take them.
var zoneNames = []string{"hall-a", "hall-b", "hall-c"}

// layout is the settings of every machine.
type layout struct {
	controls []*settings.Settings
	edge     *settings.Settings
}

// newLayout gives each machine a loopback address of its own. All machines use the same ports, which are free.
func newLayout(folder, platform string) (*layout, error) {
	first, err := freePorts()
	if err != nil {
		return nil, err
	}
	result := &layout{}
	var seeds []string
	for index := range controlMachines {
		own := machine(fmt.Sprintf("control-%d", index+1), "core", controlAddress(index), zoneNames[index], first, platform)
		own.StateDir = filepath.Join(folder, own.Hostname)
		own.QuorumMember = true
		own.Binds = settings.Binds{Control: address(own, first+ownPorts), Directory: address(own, first+ownPorts+1)}
		if err := os.Mkdir(own.StateDir, 0o700); err != nil {
			return nil, errors.Wrap(err, "make a state folder")
		}
		seeds = append(seeds, own.Binds.Control)
		result.controls = append(result.controls, own)
	}
	edge := machine("edge-1", "edge", edgeAddress, zoneNames[0], first, platform)
	edge.Binds = settings.Binds{Edge: address(edge, first+ownPorts), Ready: address(edge, first+ownPorts+1)}
	result.edge = edge
	for _, one := range result.all() {
		one.Seeds = seeds
	}
	return result, nil
}

func (l *layout) all() []*settings.Settings {
	return append([]*settings.Settings{l.edge}, l.controls...)
}

// edgeAddress is the edge machine's. The proxy is fed at 127.0.0.1, so that a host can bear only one edge machine.
const edgeAddress = "127.0.0.21"

func controlAddress(index int) string { return fmt.Sprintf("127.0.0.%d", 11+index) }

func address(own *settings.Settings, port int) string {
	return net.JoinHostPort(own.Address, strconv.Itoa(port))
}

// machine returns the settings that all kinds of machines have. Most bounds and limits are left to the
// defaults.
func machine(name, class, ip, zone string, first int, platform string) *settings.Settings {
	own, err := settings.Parse(fmt.Appendf(nil, "hostname = %q\nmachine-class = %q\nip-addr = %q\naz = %q\nport-range = [%d, %d]\n",
		name, class, ip, zone, first, first+ownPorts-1))
	if err != nil {
		panic(err) // the text above is at fault
	}
	own.Bootstrap = true
	own.Zones = zones
	own.Region = zones[zone]
	own.FaultBudget = settings.FaultBudget{Hosts: 1, Zones: 1}
	own.CloudAPI.Address = platform
	own.Bounds.GraceS = graceS
	return own
}

// write puts settings into a file for a process to read.
func write(own *settings.Settings, folder string) (string, error) {
	text, err := toml.Marshal(own)
	if err != nil {
		return "", errors.Wrap(err, "write the settings as TOML")
	}
	path := filepath.Join(folder, own.Hostname+".toml")
	return path, errors.Wrap(os.WriteFile(path, text, 0o600), "write the settings")
}

// NoPortsError tells that no ports were found that are free at all addresses.
type NoPortsError struct{ Tries int }

func (e *NoPortsError) Error() string { return fmt.Sprintf("no free ports after %d tries", e.Tries) }

// freePorts finds the first of a row of ports that are free at every address of the example. Another program may
// still take one of them before the system does; the addresses are seldom used.
func freePorts() (int, error) {
	for range portTries {
		first := lowestPort + rand.IntN(portSpan)
		if portsAreFree(first) {
			return first, nil
		}
	}
	return 0, &NoPortsError{Tries: portTries}
}

func portsAreFree(first int) bool {
	hosts := []string{edgeAddress, "127.0.0.1"}
	for index := range controlMachines {
		hosts = append(hosts, controlAddress(index))
	}
	for _, host := range hosts {
		for port := first; port <= first+ownPorts+1; port++ {
			listener, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}
