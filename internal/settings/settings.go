// Package settings reads the settings file of a process of the regional system: where it runs, what it listens
// on, whom it asks first, and the figures of the rules in force.
//
// The file is TOML. Fields that are not known are ignored; known ones that are missing get defaults, except
// for those without which no process can run (hostname, machine-class, ip-addr, az, port-range). What a role
// needs beyond these it asks for with Require.
package settings

import (
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/policy"
)

// PathVariable is the environment variable that holds the path of the settings file.
const PathVariable = "FIELDRELAY_SETTINGS"

// MinimumPorts is the number of ports of a machine that the system's own messages use.
const MinimumPorts = 3

// Settings is the content of a settings file. It is not changed after it was read.
type Settings struct {
	Hostname     string            `toml:"hostname"`
	NodeRole     string            `toml:"node-role"`
	MachineClass string            `toml:"machine-class"`
	Roles        []string          `toml:"roles"` // what the process serves, such as "edge", "ctl", "dir"
	Address      string            `toml:"ip-addr"`
	Zone         string            `toml:"az"`
	Region       string            `toml:"geo"`
	PortRange    []int             `toml:"port-range"` // first and last port for own messages
	Seeds        []string          `toml:"seed-nodes"` // ctl addresses known when the file was written
	Bootstrap    bool              `toml:"bootstrap"`  // the whole system starts for the first time
	QuorumMember bool              `toml:"quorum-member"`
	StateDir     string            `toml:"state-dir"` // empty on a machine without a disk
	Discovery    string            `toml:"disco"`
	Ingress      string            `toml:"ingress"`
	HeartbeatMS  float64           `toml:"heartbeat-ms"`
	Clauses      []string          `toml:"clauses"` // the parts of the rules in force
	Zones        map[string]string `toml:"zones"`   // region by zone
	Binds        Binds             `toml:"binds"`
	Limits       Limits            `toml:"req-limits"`
	FaultBudget  FaultBudget       `toml:"fault-budget"`
	Bounds       Bounds            `toml:"bounds"`
	CloudAPI     CloudAPI          `toml:"cloud-api"`
	Policy       Policy            `toml:"policy"`
}

// Policy is the operator's say in how a proxy decides. It holds from the start of the process.
type Policy struct {
	Off []string `toml:"off"` // names of mechanisms that are switched off (package policy)
}

// Switches gives the mechanisms that are off.
func (p Policy) Switches() policy.Switches {
	switches, _ := policy.Parse(p.Off) // checked when the settings were read
	return switches
}

// Binds are the addresses, ip:port, that the process listens on for callers from outside; empty for what it
// does not serve.
type Binds struct {
	Edge      string `toml:"edge"`   // requests of clients
	Ready     string `toml:"readyz"` // the platform's checks
	Control   string `toml:"ctl"`    // the operator
	Directory string `toml:"dir"`    // clients that ask where to go
}

// Limits are what the machine gives the process.
type Limits struct {
	CPUFraction float64 `toml:"cpu-frac"` // of a core
	Cores       float64 `toml:"ncpu"`
	MemoryMB    float64 `toml:"ram-mb"`
	Descriptors int     `toml:"max-fds"`
	LinkMbps    float64 `toml:"nic-mbps"`
	DiskMB      float64 `toml:"disk-mb"` // 0 on a machine without a disk
}

// FaultBudget is what may be lost at once while the rules still hold: so many machines, or zones, or regions.
type FaultBudget struct {
	Hosts   int `toml:"hosts-lost"`
	Zones   int `toml:"zones"`
	Regions int `toml:"regions-lost"`
}

// CloudAPI is the platform's list of servers.
type CloudAPI struct {
	Address  string  `toml:"address"`    // ip:port
	Rate     float64 `toml:"rate-s"`     // calls a second, of all processes together
	MaxLagMS float64 `toml:"max-lag-ms"` // age of the list that it answers
}

// MaxLag is how far the platform's list may be behind.
func (c CloudAPI) MaxLag() time.Duration { return milliseconds(c.MaxLagMS) }

// Path returns the path of the settings file that the environment names.
func Path() (string, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return "", errors.Newf("the variable %s is not set", PathVariable)
	}
	return path, nil
}

// Load reads a settings file. If its content is at fault, the error is a *FaultsError.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings")
	}
	return Parse(data)
}

// Heartbeat is the usual time between two signs of life.
func (s *Settings) Heartbeat() time.Duration { return milliseconds(s.HeartbeatMS) }

// Port is the address, ip:port, of the machine's n-th port for own messages, counted from 0.
func (s *Settings) Port(n int) string { return s.address(s.Address, n) }

// LoopbackPort is the address of the machine's n-th port for own messages on the loopback interface.
func (s *Settings) LoopbackPort(n int) string { return s.address("127.0.0.1", n) }

func (s *Settings) address(host string, n int) string {
	return net.JoinHostPort(host, strconv.Itoa(s.PortRange[0]+n))
}

// RegionOf is the region of a zone, empty for an unknown one.
func (s *Settings) RegionOf(zone string) string {
	if region, known := s.Zones[zone]; known {
		return region
	}
	if zone == s.Zone {
		return s.Region
	}
	return ""
}

// KnowsZone reports whether the deployment has a zone of this name.
func (s *Settings) KnowsZone(zone string) bool {
	_, known := s.Zones[zone]
	return known || zone == s.Zone
}

// Serves reports whether the process serves something, such as "edge" or "ctl".
func (s *Settings) Serves(name string) bool {
	return slices.Contains(s.Roles, name)
}

// HasClause reports whether a part of the rules is in force.
func (s *Settings) HasClause(name string) bool {
	return slices.Contains(s.Clauses, name)
}
