package main

// fault is one entry of a day: a planned step or a fault. Which fields count depends on its kind.
type fault struct {
	At       float64 `toml:"at"` // seconds from the first request
	Kind     string  `toml:"kind"`
	How      string  `toml:"how,omitempty"` // words that choose the variant
	On       string  `toml:"on,omitempty"`  // class of machines
	ForS     float64 `toml:"for_s,omitempty"`
	GapS     float64 `toml:"gap_s,omitempty"` // pause between steps, in seconds
	Fraction float64 `toml:"share,omitempty"` // part of the things that fit
	Count    int     `toml:"count,omitempty"` // a number of them instead
	X        float64 `toml:"x,omitempty"`     // strength; its meaning is the kind's
	Zone     string  `toml:"zone,omitempty"`
	ToZone   string  `toml:"to_zone,omitempty"`
	planned  bool
}

// closing is the fault at the end of a day, right after one more acknowledged change.
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

// add files the trouble under planned work or faults.
func (d *day) add(added fault) {
	if added.planned {
		d.Plan = append(d.Plan, added)
		return
	}
	d.Faults = append(d.Faults, added)
}
