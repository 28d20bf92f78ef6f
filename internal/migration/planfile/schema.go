package planfile

import "fieldrelay/internal/migration/room"

// File is the content of a migration's file. Times are texts: "15:04" or "15:04:05" of the day, and durations
// such as "1m30s".
type File struct {
	Name          string        `toml:"name"`
	Begin         string        `toml:"begin"`            // time of day
	Window        string        `toml:"window,omitempty"` // from begin, in which all must be done; empty: any time
	BatchFraction float64       `toml:"share,omitempty"`  // largest part of a service in a region that a stage replaces
	Headroom      Headroom      `toml:"room"`
	SurgePools    []SurgePool   `toml:"place,omitempty"`
	Capacities    []Capacity    `toml:"capacity,omitempty"`
	Replacements  []Replacement `toml:"replace"`
	Periods       []Period      `toml:"period,omitempty"`
	Stages        []Stage       `toml:"stage,omitempty"`
}

// Headroom is what must stay free.
type Headroom struct {
	Margin  float64 `toml:"margin"` // part of the demand
	Hosts   int     `toml:"hosts-lost"`
	Zones   int     `toml:"zones-lost"`
	Regions int     `toml:"regions-lost"`
}

// SurgePool tells how many nodes can run in a zone beside those that are there.
type SurgePool struct {
	Zone string `toml:"zone"`
	Kind string `toml:"kind"`
	Free int    `toml:"free"`
}

// Amounts are amounts of the resources; what is 0 is not told.
type Amounts struct {
	Slots       float64 `toml:"slots,omitempty"`
	Memory      float64 `toml:"memory,omitempty"`
	Prefill     float64 `toml:"reading,omitempty"`
	Decode      float64 `toml:"writing,omitempty"`
	Requests    float64 `toml:"requests,omitempty"`
	Connections float64 `toml:"connections,omitempty"`
}

func (a *Amounts) amount() room.Amount {
	return room.Amount{
		room.Slots:       a.Slots,
		room.Memory:      a.Memory,
		room.Prefill:     a.Prefill,
		room.Decode:      a.Decode,
		room.Requests:    a.Requests,
		room.Connections: a.Connections,
	}
}

// Capacity tells what a node bears, where the configuration does not: each server of a service, or each edge
// machine. New tells it of the nodes that come.
type Capacity struct {
	Kind    string `toml:"kind"`
	Service string `toml:"service,omitempty"`
	New     bool   `toml:"new,omitempty"`
	Amounts
}

// Replacement names a node that goes and the one that comes. Servers are named by address (or, the old one, by
// incarnation), machines by host.
type Replacement struct {
	Kind  string `toml:"kind"`
	Old   string `toml:"old"`
	New   string `toml:"new"`
	Zone  string `toml:"zone,omitempty"` // of the new node; empty: as the old one
	Surge bool   `toml:"beside"`         // both can run at once
	// Expected times, empty for the usual ones.
	Start string `toml:"start,omitempty"`
	Warm  string `toml:"warm,omitempty"`
	Drain string `toml:"drain,omitempty"`
	Stop  string `toml:"stop,omitempty"`
}

// Period is a part of the day with the highest demand that is expected in it.
type Period struct {
	From  string `toml:"from"`
	Until string `toml:"until"`
	Loads []Load `toml:"load"`
}

// Load is what the clients of a region ask of a service, or of the edge machines.
type Load struct {
	Region        string   `toml:"region"`
	Kind          string   `toml:"kind"`
	Service       string   `toml:"service,omitempty"`
	Model         string   `toml:"model,omitempty"`
	HomeRegions   []string `toml:"homes,omitempty"`
	CachedPrefill float64  `toml:"saved,omitempty"` // prompt tokens a second that kept prompts save
	Amounts
}

// Stage is a stage of a plan. Replacements are named by their old nodes.
type Stage struct {
	Begin    string   `toml:"begin"` // since the midnight before the file's begin; may pass 24:00:00
	Duration string   `toml:"lasts"`
	Replace  []string `toml:"replace"`
}
