package settings

import (
	"time"

	"fieldrelay/internal/region/policy"
)

// Binds are the addresses, ip:port, on which the process listens for callers from outside the system. Default of each:
// empty, the process does not listen there.
type Binds struct {
	// Edge is the address at which a proxy accepts clients' requests.
	Edge string `toml:"edge"`

	// Ready is the address at which a proxy answers the platform's health checks.
	Ready string `toml:"readyz"`

	// Control is the address at which a control machine accepts the operator's orders. Seeds name a control machine by
	// this address.
	Control string `toml:"ctl"`

	// Directory is the address at which a control machine answers the lookups of clients. It may equal Control.
	Directory string `toml:"dir"`
}

// Limits are the resources of the machine that the process may use.
type Limits struct {
	// CPUFraction is the fraction of a core that the process may use. The setting is not used. Default: 0.25.
	CPUFraction float64 `toml:"cpu-frac"`

	// Cores is the number of cores of the machine. The setting is not used. Default: 1.
	Cores float64 `toml:"ncpu"`

	// MemoryMB is the memory of the process in MB. The soft memory limit of the Go runtime is three quarters of it, and
	// the bodies that a proxy buffers may take at most an eighth of it. With less memory, garbage collection takes more
	// CPU and large bodies are rejected earlier. Default: 256.
	MemoryMB float64 `toml:"ram-mb"`

	// Descriptors is the number of file descriptors of the process. It bounds the client connections of a proxy.
	// Default: 1024.
	Descriptors int `toml:"max-fds"`

	// LinkMbps is the bandwidth of the machine's network link in Mbit/s. It bounds the registers of a control machine,
	// which must be transferred within SyncS. Default: 100.
	LinkMbps float64 `toml:"nic-mbps"`

	// DiskMB is the size of the disk in MB, 0 on a machine without a disk. It bounds the state and the registers of a
	// control machine. Default: 0.
	DiskMB float64 `toml:"disk-mb"`
}

// FaultBudget is the number of simultaneous failures without the loss of an acknowledged order. A higher budget needs
// more replicas in the chain: an order takes longer, and without enough replicas it is rejected with 503.
type FaultBudget struct {
	// Hosts is the number of machines that may fail: the chain has at least one replica more, or else all voters.
	// Default: 1.
	Hosts int `toml:"hosts-lost"`

	// Zones is the number of zones that may fail: the chain spans at least one zone more. Default: 0.
	Zones int `toml:"zones"`

	// Regions is the number of regions that may fail: the chain spans at least one region more, and is spread over
	// regions before zones. Each order then waits for round trips between regions. Default: 0.
	Regions int `toml:"regions-lost"`
}

// CloudAPI configures the polling of the platform's server list.
type CloudAPI struct {
	// Address is the ip:port of the platform's API. Default: empty, the machine does not poll the server list.
	Address string `toml:"address"`

	// Rate is the number of calls per second that the platform accepts from all processes together. The server list is
	// polled with at most a third of this rate. With many pages, or at a low rate, changes of the list arrive later.
	// Default: 10.
	Rate float64 `toml:"rate-s"`

	// MaxLagMS is the maximum lag, in milliseconds, of the platform's own server list; see MaxLag. Default: 1000.
	MaxLagMS float64 `toml:"max-lag-ms"`
}

// MaxLag returns the maximum lag of the platform's own server list behind the actual servers.
func (c CloudAPI) MaxLag() time.Duration { return milliseconds(c.MaxLagMS) }

// Policy selects the mechanisms of the proxy's routing policy. A change takes effect at the next start of the process.
type Policy struct {
	// Off are the names of the mechanisms that are switched off; package policy defines them. Default: none.
	Off []string `toml:"off"`
}

// Switches returns the mechanisms that are switched off.
func (p Policy) Switches() policy.Switches {
	switches, _ := policy.Parse(p.Off) // Off was validated when the settings were read
	return switches
}
