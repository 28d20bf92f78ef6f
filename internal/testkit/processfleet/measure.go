package processfleet

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"fieldrelay/internal/testkit/checker"
	"fieldrelay/internal/testkit/faultline"
)

// Spread is what a set of times came to.
type Spread struct {
	Median, P99, Most time.Duration
	N                 int
}

func spread(all []time.Duration) (s Spread) {
	if s.N = len(all); s.N == 0 {
		return s
	}
	slices.Sort(all)
	at := func(p float64) time.Duration { return all[min(len(all)-1, int(p*float64(len(all))))] }
	return Spread{Median: at(0.5), P99: at(0.99), Most: all[len(all)-1], N: len(all)}
}

// Detection is what became of a number of crashes.
type Detection struct {
	Known Spread // until each survivor believed it: one time a survivor and crash
	All   Spread // until all survivors did
	View  Spread // until all survivors held the next view
	Back  Spread // until all held a view with the one that was started again
}

const detectBound = 60 * time.Second

// Crashes kills one sidecar after another, voters too, starts each again, and tells how soon the others knew.
func (r *Fleet) Crashes(n int) (d Detection, err error) {
	var known, all, view, back []time.Duration
	for i := range n {
		if _, ok := Until(detectBound, func() bool { return r.Agreed() && r.Agrees() }); !ok {
			return d, errors.New("no fleet to begin with: " + r.dissent() + r.disagreement())
		}
		victim := r.Sidecars[(i*7+3)%len(r.Sidecars)]
		from := r.History.Now()
		before := len(r.History.Entries())
		if err := victim.Kill(); err != nil {
			return d, err
		}
		if _, ok := Until(detectBound, func() bool {
			for _, s := range r.Sidecars {
				if s != victim && s.Believes(victim.Name) != "failed" {
					return false
				}
			}
			return true
		}); !ok {
			return d, errors.New(victim.Name + " is not known to have failed: " + r.disagreement())
		}
		last := time.Duration(0)
		for _, e := range r.History.Entries()[before:] {
			if e.Kind == checker.Member && e.Peer == victim.Name && e.State == "failed" {
				known = append(known, e.At-from)
				last = max(last, e.At-from)
			}
		}
		all = append(all, last)
		if _, ok := Until(detectBound, r.Agreed); !ok {
			return d, errors.New("no view without " + victim.Name + ": " + r.dissent())
		}
		view = append(view, r.History.Now()-from)
		if err := victim.Start(); err != nil {
			return d, err
		}
		from = r.History.Now()
		if _, ok := Until(detectBound, r.Agreed); !ok {
			return d, errors.New("no view with " + victim.Name + ": " + r.dissent())
		}
		back = append(back, r.History.Now()-from)
		if err := r.awaitVotes(victim); err != nil {
			return d, err
		}
	}
	return Detection{spread(known), spread(all), spread(view), spread(back)}, nil
}

// awaitVotes waits until a voter votes again: without its state it is a new one.
func (r *Fleet) awaitVotes(s *Sidecar) error {
	if !slices.Contains(r.Voters(), s.Name) {
		return nil
	}
	if _, ok := Until(detectBound, func() bool {
		lines, err := s.Manage("PEERS")
		return err == nil && len(lines) > 1 && (strings.HasSuffix(lines[1], " votes") || strings.HasSuffix(lines[1], " leads"))
	}); !ok {
		return errors.New(s.Name + " does not vote again")
	}
	return nil
}

// Usage is what members cost in a second.
type Usage struct {
	Messages, Bytes         float64 // sent, the mean of those who do not vote
	VoterMessages, VoterMax float64 // of voters: messages, the mean; bytes, the busiest
	CPU                     float64 // of a core, the mean of all
	ResidentKB              int     // the most of any
	FalseFailures           int     // beliefs that one that ran had failed
	Views                   int     // that were decided meanwhile
}

// Usage looks at the fleet for a time in which nobody is struck but by what is set on the links.
func (r *Fleet) Usage(length time.Duration) (u Usage, err error) {
	before := make([]usageReading, len(r.Sidecars))
	entries := len(r.History.Entries())
	from := time.Now()
	for i, s := range r.Sidecars {
		if before[i], err = s.readUsage(); err != nil {
			return u, err
		}
	}
	<-time.After(length)
	seconds := time.Since(from).Seconds()
	others := 0
	for i, s := range r.Sidecars {
		after, err := s.readUsage()
		if err != nil {
			return u, err
		}
		messages, bytes := float64(after.messages-before[i].messages)/seconds, float64(after.bytes-before[i].bytes)/seconds
		u.ResidentKB = max(u.ResidentKB, before[i].residentKB, after.residentKB)
		u.CPU += (after.cpu - before[i].cpu).Seconds() / seconds / float64(len(r.Sidecars))
		if slices.Contains(r.Voters(), s.Name) {
			u.VoterMessages += messages / float64(len(r.Voters()))
			u.VoterMax = max(u.VoterMax, bytes)
			continue
		}
		others++
		u.Messages += messages
		u.Bytes += bytes
	}
	u.Messages, u.Bytes = u.Messages/float64(max(1, others)), u.Bytes/float64(max(1, others))
	u.countEvents(r.History.Entries()[entries:])
	return u, nil
}

// usageReading is what a sidecar has used since its start.
type usageReading struct {
	messages, bytes int64
	cpu             time.Duration
	residentKB      int // at present
}

// readUsage asks a sidecar for its figures, and the system for what its process uses.
func (s *Sidecar) readUsage() (x usageReading, err error) {
	lines, err := s.Manage("METRICS")
	if err != nil {
		return x, err
	}
	for _, l := range lines {
		name, value, _ := strings.Cut(l, ":")
		value, _, _ = strings.Cut(value, "|")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "lb.fleet.datagrams_sent", "lb.fleet.frames_streamed":
			x.messages += n
		case "lb.fleet.bytes_sent":
			x.bytes += n
		}
	}
	res, err := s.Resources()
	x.residentKB, x.cpu = res.ResidentKB, res.CPU
	return x, err
}

// countEvents counts wrong beliefs and views.
func (u *Usage) countEvents(entries []checker.Entry) {
	for _, e := range entries {
		switch {
		case e.Kind == checker.Member && e.State == "failed":
			u.FalseFailures++
		case e.Kind == checker.View && e.State == "decided":
			u.Views++
		}
	}
}

// Weather sets a fault on all links between sidecars.
func (r *Fleet) Weather(f faultline.Fault) {
	for id, l := range r.links {
		if r.Sidecar(id.From) != nil && r.Sidecar(id.To) != nil {
			l.Set(f, faultline.Fault{})
		}
	}
}

// isolate cuts a sidecar off from all others, or joins it to them again.
func (r *Fleet) isolate(s *Sidecar, off bool) {
	f := faultline.Fault{Drop: off}
	for id, l := range r.links {
		if id.From == s.Name && r.Sidecar(id.To) != nil || id.To == s.Name && r.Sidecar(id.From) != nil {
			l.Set(f, f)
		}
	}
}

// String is the median and the 99th percentile, for people.
func (s Spread) String() string {
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	return fmt.Sprintf("median %d ms, p99 %d ms, most %d ms (%d)", ms(s.Median), ms(s.P99), ms(s.Most), s.N)
}
