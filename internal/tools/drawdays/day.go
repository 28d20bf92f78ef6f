package main

// fault is one entry of a day: a planned operation or a fault. Its kind determines which fields are used.
type fault struct {
	At       float64 `toml:"at"` // seconds since the first request; negative: before it
	Kind     string  `toml:"kind"`
	How      string  `toml:"how,omitempty"` // space-separated words that select the form
	On       string  `toml:"on,omitempty"`  // machine class
	ForS     float64 `toml:"for_s,omitempty"`
	GapS     float64 `toml:"gap_s,omitempty"` // pause between steps, in seconds
	Fraction float64 `toml:"share,omitempty"` // fraction of the eligible targets
	Count    int     `toml:"count,omitempty"` // number of targets, instead of a fraction
	X        float64 `toml:"x,omitempty"`     // strength; its meaning depends on the kind
	Zone     string  `toml:"zone,omitempty"`
	ToZone   string  `toml:"to_zone,omitempty"`
	planned  bool
}

// closing is the fault at the end of a day, immediately after a last acknowledged change.
type closing struct {
	Kind  string  `toml:"kind"`
	How   string  `toml:"how,omitempty"`
	DownS float64 `toml:"down_s"`
}

// day is one day of a site file.
type day struct {
	Name    string   `toml:"name"`
	Slot    string   `toml:"slot"`
	Seed    int64    `toml:"seed"`
	Closing *closing `toml:"closing,omitempty"`
	Plan    []fault  `toml:"plan"`
	Faults  []fault  `toml:"faults"`
}

// add appends the entry to the planned operations or to the faults.
func (d *day) add(added fault) {
	if added.planned {
		d.Plan = append(d.Plan, added)
		return
	}
	d.Faults = append(d.Faults, added)
}
