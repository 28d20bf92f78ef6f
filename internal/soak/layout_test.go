package soak

import (
	"encoding/json"
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

// Ports, counted from the first for own messages; the last two are for callers from outside.
const (
	linkPort = 0
	peerPort = 1
	feedPort = 2
	callPort = 3
	sidePort = 4
	ownPorts = 3
	allPorts = 5
)

const (
	lowestPort = 12000
	portSpan   = 16000
	layoutTrys = 50
	graceS     = 2
)

// zoneNames are the zones; regions are those that they lie in.
var (
	zoneNames = []string{"hall-a", "hall-b", "hall-c"}
	regions   = map[string]string{"hall-a": "north", "hall-b": "north", "hall-c": "south"}
)

// machine is a control machine or an edge machine.
type machine struct {
	name     string
	control  bool
	settings *settings.Settings
}

// calls is the service of another machine that processes of this one call over a link.
func (m *machine) calls(to *machine) (address string, calls bool) {
	switch {
	case m == to || m.control && !to.control:
		return "", false
	case to.control:
		return to.settings.Port(linkPort), true
	default:
		return to.settings.Port(peerPort), true
	}
}

// layout is all machines, each at a loopback address of its own and with the same ports.
type layout struct {
	controls, edges []*machine
	folder          string
}

func (l *layout) machines() []*machine {
	return append(append([]*machine{}, l.controls...), l.edges...)
}

// newLayout plans the machines, at addresses and ports that nobody uses.
func newLayout(controls, edges int, folder, platform string) (*layout, error) {
	for range layoutTrys {
		network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(256))
		first := lowestPort + rand.IntN(portSpan)
		if !areFree(network, controls+edges, first) {
			continue
		}
		plan := &layout{folder: folder}
		for index := range controls + edges {
			plan.add(index, index < controls, network, first, platform)
		}
		return plan, plan.prepare()
	}
	return nil, errors.Newf("no free ports after %d tries", layoutTrys)
}

func areFree(network string, machines, first int) bool {
	for index := range machines {
		for port := first; port < first+allPorts; port++ {
			listener, err := net.Listen("tcp", net.JoinHostPort(ipOf(network, index), strconv.Itoa(port)))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func ipOf(network string, index int) string { return network + "." + strconv.Itoa(11+index) }

func (l *layout) add(index int, control bool, network string, first int, platform string) {
	one := &machine{control: control, name: fmt.Sprintf("edge-%d", len(l.edges)+1)}
	class, zone := "edge", zoneNames[len(l.edges)%len(zoneNames)]
	if control {
		one.name = fmt.Sprintf("core-%d", len(l.controls)+1)
		class, zone = "core", zoneNames[len(l.controls)%len(zoneNames)]
	}
	own, err := settings.Parse(fmt.Appendf(nil, "hostname = %q\nmachine-class = %q\nip-addr = %q\naz = %q\nport-range = [%d, %d]\n",
		one.name, class, ipOf(network, index), zone, first, first+ownPorts-1))
	if err != nil {
		panic(err) // the text above is at fault
	}
	own.Bootstrap = true
	own.Zones = regions
	own.Region = regions[zone]
	own.FaultBudget = settings.FaultBudget{Hosts: 1, Zones: 1}
	own.CloudAPI.Address = platform
	own.Bounds.GraceS = graceS
	if control {
		own.QuorumMember = true
		own.StateDir = filepath.Join(l.folder, one.name+"-state")
		own.Binds = settings.Binds{Control: own.Port(callPort), Directory: own.Port(sidePort)}
		l.controls = append(l.controls, one)
	} else {
		own.Binds = settings.Binds{Edge: own.Port(callPort), Ready: own.Port(sidePort)}
		l.edges = append(l.edges, one)
	}
	one.settings = own
}

// prepare tells each machine the control machines and writes its settings.
func (l *layout) prepare() error {
	var seeds []string
	for _, control := range l.controls {
		seeds = append(seeds, control.settings.Binds.Control)
	}
	for _, one := range l.machines() {
		one.settings.Seeds = seeds[:min(len(seeds), 3)]
		if err := l.write(one); err != nil {
			return err
		}
		if one.control {
			if err := os.Mkdir(one.settings.StateDir, 0o700); err != nil {
				return errors.Wrap(err, "make a state folder")
			}
		}
	}
	return nil
}

func (l *layout) write(one *machine) error {
	text, err := toml.Marshal(one.settings)
	if err != nil {
		return errors.Wrap(err, "write settings as TOML")
	}
	return errors.Wrap(os.WriteFile(l.settingsPath(one), text, 0o600), "write settings")
}

func (l *layout) settingsPath(one *machine) string { return filepath.Join(l.folder, one.name+".toml") }

func (l *layout) linksPath(one *machine) string {
	return filepath.Join(l.folder, one.name+"-links.json")
}

// writeLinks tells each machine its links.
func (l *layout) writeLinks(routes map[string]linkRoutes) error {
	for _, one := range l.machines() {
		text, err := json.Marshal(routes[one.name])
		if err != nil {
			return err
		}
		if err := os.WriteFile(l.linksPath(one), text, 0o600); err != nil {
			return errors.Wrap(err, "write links")
		}
	}
	return nil
}
