package main

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// siteFigures are the fields of a site file that limit the days to generate.
type siteFigures struct {
	LeadS   float64 `toml:"lead_s"`
	LengthS float64 `toml:"length_s"`
	Timing  struct {
		CatchUpS float64 `toml:"catch_up_s"`
	} `toml:"timing"`
	Tolerate struct {
		Machines *int `toml:"machines"`
		Zones    int  `toml:"zones"`
	} `toml:"tolerate"`
	Machines []struct {
		Class string `toml:"class"`
		Count int    `toml:"count"`
	} `toml:"machines"`
}

// MissingFigureError reports that a site file lacks a field that is required to generate days.
type MissingFigureError struct{ Figure string }

// Error implements error.
func (e *MissingFigureError) Error() string { return fmt.Sprintf("the site has no valid %s", e.Figure) }

// limitsOf extracts the limits from a decoded site file.
func limitsOf(site map[string]any) (limits, error) {
	content, err := toml.Marshal(site)
	if err != nil {
		return limits{}, errors.Wrap(err, "encode the site to read its limits")
	}
	var figures siteFigures
	if err := toml.Unmarshal(content, &figures); err != nil {
		return limits{}, errors.Wrap(err, "decode the limits of the site")
	}
	if figures.LengthS <= 0 {
		return limits{}, errors.WithStack(&MissingFigureError{Figure: "length_s"})
	}
	if figures.Tolerate.Machines == nil {
		return limits{}, errors.WithStack(&MissingFigureError{Figure: "tolerate.machines"})
	}
	return figures.limits(), nil
}

func (f *siteFigures) limits() limits {
	found := limits{lengthS: f.LengthS, leadS: f.LeadS, syncS: f.Timing.CatchUpS,
		machines: *f.Tolerate.Machines, zones: f.Tolerate.Zones}
	for _, machines := range f.Machines {
		if machines.Class == "core" {
			found.coreCount += machines.Count
		}
	}
	return found
}
