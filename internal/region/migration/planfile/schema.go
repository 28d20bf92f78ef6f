package planfile

import (
	"fieldrelay/internal/region/migration/capacity"
)

// File is the content of a plan file. Times of day are strings such as "15:04" or "15:04:05", durations are strings
// such as "1m30s". The keys are an interface to operators; golden_test.go guards them.
type File struct {
	Name          string        `toml:"name"`
	Begin         string        `toml:"begin"`            // time of day at which the first stage may begin
	Window        string        `toml:"window,omitempty"` // time limit for all replacements, from begin; empty: no limit
	BatchFraction float64       `toml:"share,omitempty"`  // largest replaced fraction of a service in a region; 0: plan.DefaultBatchFraction
	Headroom      Headroom      `toml:"room"`
	SurgePools    []SurgePool   `toml:"place,omitempty"`
	Capacities    []Capacity    `toml:"capacity,omitempty"`
	Replacements  []Replacement `toml:"replace"`
	Periods       []Period      `toml:"period,omitempty"`
	Stages        []Stage       `toml:"stage,omitempty"`
}

// Headroom is the capacity that must stay free.
type Headroom struct {
	Margin  float64 `toml:"margin"` // fraction of the demand
	Hosts   int     `toml:"hosts-lost"`
	Zones   int     `toml:"zones-lost"`
	Regions int     `toml:"regions-lost"`
}

// SurgePool is the number of additional nodes of a kind that can run in a zone beside the present ones.
type SurgePool struct {
	Zone string `toml:"zone"`
	Kind string `toml:"kind"`
	Free int    `toml:"free"`
}

// Amounts are the amounts of resources, in the units of package capacity; 0 means unknown.
type Amounts struct {
	Slots       float64 `toml:"slots,omitempty"`
	Memory      float64 `toml:"memory,omitempty"`
	Prefill     float64 `toml:"reading,omitempty"`
	Decode      float64 `toml:"writing,omitempty"`
	Requests    float64 `toml:"requests,omitempty"`
	Connections float64 `toml:"connections,omitempty"`
}

func (a *Amounts) amount() capacity.Amount {
	return capacity.Amount{
		capacity.Slots:       a.Slots,
		capacity.Memory:      a.Memory,
		capacity.Prefill:     a.Prefill,
		capacity.Decode:      a.Decode,
		capacity.Requests:    a.Requests,
		capacity.Connections: a.Connections,
	}
}

// Capacity is the capacity of each server of a service, or of each edge machine, where the configuration does not give it.
// With New it applies to new nodes only. If several entries give the amount of a resource, the last one applies.
type Capacity struct {
	Kind    string `toml:"kind"`
	Service string `toml:"service,omitempty"`
	New     bool   `toml:"new,omitempty"`
	Amounts
}

// Replacement names an old node and its new node. Servers are named by address (old ones alternatively by incarnation),
// machines by host.
type Replacement struct {
	Kind  string `toml:"kind"`
	Old   string `toml:"old"`
	New   string `toml:"new"`
	Zone  string `toml:"zone,omitempty"` // zone of the new node; empty: the zone of the old one
	Surge bool   `toml:"beside"`         // both nodes can run at once
	// Expected durations; empty: the default, see defaultTimes.
	Start string `toml:"start,omitempty"`
	Warm  string `toml:"warm,omitempty"`
	Drain string `toml:"drain,omitempty"`
	Stop  string `toml:"stop,omitempty"`
}

// Period is a part of the day with the peak demand expected in it.
type Period struct {
	From  string `toml:"from"`
	Until string `toml:"until"`
	Loads []Load `toml:"load"`
}

// Load is the demand of the clients of a region on a service, or on the edge machines.
type Load struct {
	Region        string   `toml:"region"`
	Kind          string   `toml:"kind"`
	Service       string   `toml:"service,omitempty"`
	Model         string   `toml:"model,omitempty"`
	HomeRegions   []string `toml:"homes,omitempty"`
	CachedPrefill float64  `toml:"saved,omitempty"` // prompt tokens a second that need no prefill, since their prefix is cached
	Amounts
}

// Stage is a stage of a plan. Replace has the names of the old nodes of its replacements.
type Stage struct {
	Begin    string   `toml:"begin"` // time since the midnight before the file's begin; may exceed 24:00:00
	Duration string   `toml:"lasts"`
	Replace  []string `toml:"replace"`
}
