package emulate

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"fieldrelay/internal/sidecar/logic"
)

// Scenario is what is emulated. Times are in the unit that the key names.
type Scenario struct {
	Version  int     `toml:"version"`
	Name     string  `toml:"name"`
	Length   float64 `toml:"length_s"`
	Sidecars int     `toml:"sidecars"`
	Load     Load    `toml:"load"`
	Net      Net     `toml:"net"`
	List     List    `toml:"list"`
	Clients  Clients `toml:"clients"`
	Classes  []Class `toml:"class"`
	Nodes    []Nodes `toml:"nodes"`
	Fleet    Fleet   `toml:"fleet"`
	Faults   []Fault `toml:"trouble"`
}

// Load is how requests come: open-loop, whatever becomes of those before them.
type Load struct {
	Rate   float64 `toml:"rate"`  // requests a second of all sidecars together
	Share  float64 `toml:"share"` // or: of what the nodes can do
	Shape  string  `toml:"shape"` // steady, wave or burst
	At     float64 `toml:"at_s"`  // of a burst
	For    float64 `toml:"for_s"` // of a burst, or the length of a wave
	Factor float64 `toml:"factor"`
}

// Net is the way between sidecars and nodes.
type Net struct {
	Delay  float64 `toml:"delay_ms"` // one way
	Jitter float64 `toml:"jitter"`   // part of the delay that is drawn anew for each message
}

// List is how sidecars learn of nodes.
type List struct {
	Delay  float64 `toml:"delay_ms"`
	Jitter float64 `toml:"jitter"`
	Loss   float64 `toml:"loss"` // part of the changes that a watch breaks on, and is to be asked for again
}

// Clients is what submitters do with what is not served.
type Clients struct {
	Retries int     `toml:"retries"`
	Backoff float64 `toml:"backoff_ms"` // doubles with each
	Honour  float64 `toml:"honour"`     // part that stays away as long as it is told to
}

// Class is a class of requests.
type Class struct {
	Name          string  `toml:"name"`
	Effect        string  `toml:"effect"` // free, guarded or single_shot
	Share         float64 `toml:"share"`
	Work          float64 `toml:"work_ms"` // mean, of a core at speed 1
	Dist          string  `toml:"dist"`    // fixed, exp or lognormal
	CV            float64 `toml:"cv"`      // of lognormal
	LatencyTarget float64 `toml:"aim_ms"`
	Deadline      float64 `toml:"deadline_ms"`
	LateValue     float64 `toml:"late_worth"`
	Value         float64 `toml:"worth"`
	Window        float64 `toml:"window_ms"`
}

// Nodes are execute nodes of a kind.
type Nodes struct {
	Count       int     `toml:"count"`
	Cores       int     `toml:"cores"`
	Speed       float64 `toml:"speed"`
	Slots       int     `toml:"slots"`  // requests in work at a time: as many as cores is FIFO, more share the cores
	Queue       int     `toml:"queue"`  // that wait beyond that; more are turned away
	Errors      float64 `toml:"errors"` // part that fails
	WarmupSpeed float64 `toml:"cold_from"`
	Warmup      float64 `toml:"cold_s"`
	Conns       int     `toml:"conns"` // held at most; 0: any number
	Handshake   float64 `toml:"handshake_ms"`
}

// Fault is something that goes wrong with some of the nodes.
type Fault struct {
	Kind     string  `toml:"kind"` // slow, fail, crash, drain, or cut: silent to the sidecars of a zone
	At       float64 `toml:"at_s"`
	For      float64 `toml:"for_s"`
	Fraction float64 `toml:"part"` // of the nodes
	Size     float64 `toml:"size"` // times slower, or the part that fails, or of the sidecars that are cut off
}

var effects = map[string]logic.Effect{"free": logic.Safe, "guarded": logic.Keyed, "single_shot": logic.Unsafe}

// Bounds of a scenario: beyond them a figure is a slip of the pen.
const (
	mostLength   = 24 * 3600.0
	mostSidecars = 100_000
	mostNodes    = 100_000
	mostMillis   = 1e9
	version      = 1
)

// Read reads a scenario from a file. The error has a line for each fault, with file, line and key.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a scenario from a text. file stands in the faults.
func Parse(file string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(s)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	var faults []error
	switch {
	case errors.As(err, &unknown):
		for i := range unknown.Errors {
			e := &unknown.Errors[i]
			line, column := e.Position()
			faults = append(faults, fmt.Errorf("%s:%d:%d: %s: unknown key", file, line, column, strings.Join(e.Key(), ".")))
		}
	case errors.As(err, &wrong):
		line, column := wrong.Position()
		return nil, fmt.Errorf("%s:%d:%d: %s: %s", file, line, column, strings.Join(wrong.Key(), "."), strings.TrimPrefix(err.Error(), "toml: "))
	case err != nil:
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	s.fill()
	s.check(func(key string, read any, allowed string) {
		faults = append(faults, fmt.Errorf("%s:%d: %s: %v; allowed: %s", file, lineOf(text, key), key, read, allowed))
	})
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return s, nil
}

// lineOf finds the line of a key such as class[1].share: that of the nth table of the name, or of the key in it.
func lineOf(text []byte, key string) int {
	section, name, in := strings.Cut(key, ".")
	if !in {
		section, name = "", key
	}
	table, index := section, 0
	if i := strings.IndexByte(section, '['); i >= 0 {
		table = section[:i]
		_, _ = fmt.Sscanf(section[i:], "[%d]", &index) // unreadable: the first one
	}
	here, found, seen := "", 1, -1
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			if here = strings.Trim(line, "[] "); here == table {
				if seen++; seen == index {
					found = i + 1
				}
			}
			continue
		}
		k, _, _ := strings.Cut(line, "=")
		if strings.TrimSpace(k) == name && here == table && (table == "" || seen == index) {
			return i + 1
		}
	}
	return found
}

func (s *Scenario) fill() {
	defaultToOne := func(to *float64) {
		if *to == 0 {
			*to = 1
		}
	}
	if s.Load.Shape == "" {
		s.Load.Shape = "steady"
	}
	defaultToOne(&s.Load.Factor)
	for i := range s.Classes {
		c := &s.Classes[i]
		defaultToOne(&c.Share)
		defaultToOne(&c.Value)
		if c.Dist == "" {
			c.Dist = "exp"
		}
		if c.Effect == "" {
			c.Effect = "free"
		}
	}
	for i := range s.Nodes {
		n := &s.Nodes[i]
		defaultToOne(&n.Speed)
		defaultToOne(&n.WarmupSpeed)
		if n.Slots == 0 {
			n.Slots = n.Cores
		}
	}
}

// capacity is the work that all nodes do in a second, in seconds of a core at speed 1.
func (s *Scenario) capacity() float64 {
	all := 0.0
	for _, n := range s.Nodes {
		all += float64(n.Count) * float64(n.Cores) * n.Speed
	}
	return all
}

// meanWork is that of a request, in seconds.
func (s *Scenario) meanWork() float64 {
	work, share := 0.0, 0.0
	for _, c := range s.Classes {
		work, share = work+c.Share*c.Work/1e3, share+c.Share
	}
	return work / share
}

// rate is the number of requests a second at a time, of all sidecars.
func (s *Scenario) rate(at time.Duration) float64 {
	base := s.Load.Rate
	if base == 0 {
		base = s.Load.Share * s.capacity() / s.meanWork()
	}
	t := at.Seconds()
	switch s.Load.Shape {
	case "burst":
		if t >= s.Load.At && t < s.Load.At+s.Load.For {
			base *= s.Load.Factor
		}
	case "wave":
		base *= 1 + (s.Load.Factor-1)*math.Sin(2*math.Pi*(t-s.Load.At)/s.Load.For)
	}
	return base
}

// peak bounds the rate from above.
func (s *Scenario) peak() float64 {
	steady := *s
	steady.Load.Shape = "steady"
	base := steady.rate(0)
	if s.Load.Shape == "wave" {
		return base * (1 + math.Abs(s.Load.Factor-1))
	}
	return base * max(1, s.Load.Factor)
}

// module is what a sidecar's decision module is told.
func (s *Scenario) module() logic.Config {
	cfg := logic.Config{Zone: "a", Balancers: s.Sidecars, Subscribe: true, Tick: 5 * time.Millisecond,
		Contract: logic.Contract{AnswerGrace: 20 * time.Millisecond, ListInterval: 10 * time.Second, SlowStartMinCapacity: 1},
		Limits:   logic.Limits{MaxAttempts: 6, Cancel: true, RetryAfter: true, MaxRetryAfter: 3 * time.Second}}
	for _, n := range s.Nodes {
		cfg.Contract.SlowStartMinCapacity = min(cfg.Contract.SlowStartMinCapacity, n.WarmupSpeed)
		cfg.Contract.SlowStartWindow = max(cfg.Contract.SlowStartWindow, seconds(n.Warmup))
	}
	for _, c := range s.Classes {
		cfg.Classes = append(cfg.Classes, logic.Class{Name: c.Name, Effect: effects[c.Effect], Group: logic.GroupAll,
			Window: seconds(c.Window / 1e3), LatencyTarget: seconds(c.LatencyTarget / 1e3), Deadline: seconds(c.Deadline / 1e3),
			LateValue: c.LateValue, Value: c.Value})
	}
	return cfg
}
