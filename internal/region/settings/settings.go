// Package settings reads the settings file of a process of the regional system: the location of the machine, the addresses
// to listen on, the control machines to contact first, and the limits that the deployment's rules set.
//
// The file is TOML. Unknown keys are ignored, so that a newer file can be read by an older version. Missing keys get
// defaults, except for those without which no process can run (hostname, machine-class, ip-addr, az, port-range).
// Keys that no process uses are read and checked as well, since the operators' documentation lists them and a fault in
// them is a fault of the file; their comments say that they are not used.
//
// The package neither watches the file nor applies settings; each role does so itself. Which keys take effect at once and
// which at the next start is described per role in docs/region/control.md, docs/region/agent.md and docs/region/proxy.md.
package settings

import (
	"net"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
)

// PathVariable is the name of the environment variable with the path of the settings file.
const PathVariable = "FIELDRELAY_SETTINGS"

// MinimumPorts is the minimum size of a machine's port range. Three kinds of traffic have a port each: between control
// machines and agents, among agents, and between agent and proxy.
const MinimumPorts = 3

// Settings is the content of a settings file. It must not be modified after it was read, so that goroutines may share it.
type Settings struct {
	// Hostname is the name of the machine, unique in the deployment. Replicas, members and log lines are identified by
	// it. Required.
	Hostname string `toml:"hostname"`

	// NodeRole is the name of the machine's role in the deployment. The setting is not used.
	NodeRole string `toml:"node-role"`

	// MachineClass is the platform's class of the machine, such as "core" or "edge". Required, but not used.
	MachineClass string `toml:"machine-class"`

	// Roles are the roles of the process, such as "edge", "ctl" and "dir". The setting is not used: the command line
	// selects the role, and Binds the listeners.
	Roles []string `toml:"roles"`

	// Address is the IP address at which other machines reach the ports of this one. Required.
	Address string `toml:"ip-addr"`

	// Zone is the failure domain of the machine. The chain of the control machines is spread over zones, and requests
	// prefer nearby servers. Required.
	Zone string `toml:"az"`

	// Region is the region of Zone. It is used only if Zones does not contain that zone. Default: none.
	Region string `toml:"geo"`

	// PortRange is the first and the last port, both included, for messages of the system itself; see Port. The range
	// has at least MinimumPorts ports and must begin with the same port on all machines. Required.
	PortRange []int `toml:"port-range"`

	// Seeds are the operator addresses, ip:port, of control machines that were known when the file was written. A
	// process contacts the seeds first and learns of all other control machines from the view. At the first start the
	// seeds found the system, and all machines must have the same seeds. With more seeds it is more likely that a
	// joining machine finds one that is up. Default: none.
	Seeds []string `toml:"seed-nodes"`

	// Bootstrap permits a control machine with an empty disk to found the system. It has no effect on a machine whose
	// disk has state. Default: false; it should be true only at the first start of the whole system.
	Bootstrap bool `toml:"bootstrap"`

	// QuorumMember marks the machine as a control machine. The setting is not used: views decide which machines vote.
	QuorumMember bool `toml:"quorum-member"`

	// StateDir is the directory of the control state on disk. Required for control machines; empty on a machine without
	// a disk.
	StateDir string `toml:"state-dir"`

	// Discovery names the method of server discovery. The setting is not used.
	Discovery string `toml:"disco"`

	// Ingress names the method by which clients find a proxy. The setting is not used.
	Ingress string `toml:"ingress"`

	// HeartbeatMS is the usual interval of heartbeats in milliseconds. The setting is not used: control machines have
	// an interval of their own. Default: 1200.
	HeartbeatMS float64 `toml:"heartbeat-ms"`

	// Clauses are the names of the deployment's rules that are in force. The setting is not used: all rules are followed.
	Clauses []string `toml:"clauses"`

	// Zones maps the name of each zone of the deployment to its region. The evacuation of an unknown zone is rejected.
	Zones map[string]string `toml:"zones"`

	// Binds are the addresses to listen on for callers from outside the system.
	Binds Binds `toml:"binds"`

	// Limits are the resources that the process may use.
	Limits Limits `toml:"req-limits"`

	// FaultBudget is the number of failures that acknowledged orders must survive.
	FaultBudget FaultBudget `toml:"fault-budget"`

	// Bounds are the limits that the deployment's rules set.
	Bounds Bounds `toml:"bounds"`

	// CloudAPI configures the polling of the platform's server list.
	CloudAPI CloudAPI `toml:"cloud-api"`

	// Policy switches off mechanisms of the proxy's routing policy.
	Policy Policy `toml:"policy"`
}

// Path returns the path of the settings file from the environment variable PathVariable.
func Path() (string, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return "", errors.Newf("the environment variable %s with the path of the settings file is not set", PathVariable)
	}
	return path, nil
}

// Load reads a settings file. If its content is invalid, the error is a *FaultsError.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings file")
	}
	return Parse(data)
}

// Port returns the address, ip:port, of the machine's n-th port, counted from 0, for messages of the system.
func (s *Settings) Port(n int) string { return s.address(s.Address, n) }

// LoopbackPort returns the address, on the loopback interface, of the machine's n-th port for messages of the system.
func (s *Settings) LoopbackPort(n int) string { return s.address("127.0.0.1", n) }

func (s *Settings) address(host string, n int) string {
	return net.JoinHostPort(host, strconv.Itoa(s.PortRange[0]+n))
}

// RegionOf returns the region of a zone, or "" for an unknown zone.
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
