// Package config reads and checks the configuration of a sidecar, and fills in
// defaults: the environment, the file that LB_CONFIG names with the platform's
// settings in it, and the operator's file.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"

	"fieldrelay/internal/sidecar/frontend"
	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/source/endpoints"
)

// Defaults of keys that the configuration does not set.
const (
	defaultCores       = 1.0
	defaultMemoryMB    = 192
	defaultSockets     = 1024
	defaultDialTimeout = time.Second
	defaultConnIdle    = 30 * time.Second
	defaultDrainGrace  = 500 * time.Millisecond
)

const (
	operatorListenersFraction  = 0.5 // largest fraction of client connections for the operator's own listeners
	maxCores                   = 1024
	minMemoryMB                = 16  // MB; the program itself uses about 10
	minSockets                 = 64  // fewer do not suffice for the reserved descriptors and a connection on each side
	reservedDescriptorsDivisor = 16  // one descriptor in this many is reserved for the poller, the log and discovery
	minReservedDescriptors     = 24  // minimum number of reserved descriptors
	inboundFraction            = 0.6 // fraction of the remaining descriptors for client connections; the rest is for execute nodes
)

// Limits are the machine resources that the sidecar may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is a checked configuration.
type Config struct {
	Name, Listen, Discovery string
	Mgmt                    string // host:port of the management address; empty: none
	SocketFD                int    // the platform's listening socket, inherited as this descriptor; -1: none
	Seed                    uint64
	Known                   endpoints.List // stored server list, which may be outdated
	Logic                   logic.Config
	Operator                Operator
	show                    []func() []Shown

	DialTimeout, ConnIdle, DrainGrace time.Duration

	Procs       int   // threads that run Go code
	MemoryBytes int64 // memory limit beyond which the sidecar is killed
	Inbound     int   // maximum number of connections from clients
	Outbound    int   // maximum number of connections to execute nodes
}

// file is the format of the configuration file.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Mgmt      string          `json:"mgmt"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Load reads the configuration that the environment names, and the operator's file unless its path is empty. The error is
// a FaultsError, with a line for each fault.
func Load(getenv func(string) string, operator string) (*Config, error) {
	return read(getenv, operator, func(env, file string) string { return cmp.Or(env, file) })
}

// Reload reads the configuration again. The file has been replaced since the environment was set, so the file's discovery
// address takes precedence over that of the environment.
func Reload(getenv func(string) string, operator string) (*Config, error) {
	return read(getenv, operator, func(env, file string) string { return cmp.Or(file, env) })
}

func read(getenv func(string) string, operator string, discovery func(env, file string) string) (*Config, error) {
	path := getenv("LB_CONFIG")
	src := &source{file: path}
	cfg := &Config{}
	if text, err := os.ReadFile(path); path == "" {
		src.faults = FaultsError{{File: "LB_CONFIG", Read: "not set", Allowed: "it names the configuration file"}}
	} else if err != nil {
		src.faults = FaultsError{{File: "LB_CONFIG", Read: "cannot be read", Allowed: err.Error()}}
	} else {
		cfg = parse(src, text, getenv, discovery)
	}
	own, ownSrc := readOperator(operator)
	cfg.Operator = own
	if len(src.faults)+len(ownSrc.faults) == 0 {
		own.Frontend.Check(int(operatorListenersFraction*float64(cfg.Inbound)), ownSrc.under("front"))
	}
	if err := append(src.faults, ownSrc.faults...).err(); err != nil {
		return nil, err
	}
	cfg.show = append(cfg.show, func() []Shown { return show(reflect.ValueOf(own), "toml", "", ownSrc.from) })
	return cfg, nil
}

// Shown returns every setting in force, with its origin.
func (c *Config) Shown() []Shown {
	var all []Shown
	for _, show := range c.show {
		all = append(all, show()...)
	}
	return all
}

// from returns the origin of the value of a key: the file, or default.
func (s *source) from(key string) string {
	if s.has(key) {
		return s.file
	}
	return "default"
}

var fileSchema = sync.OnceValue(func() schema {
	return schemaOf(reflect.TypeFor[struct {
		file
		Settings Settings `json:"settings"`
	}](), "json")
})

// parse reads the text of the configuration file, and adds its faults to src. The positions of keys are determined only if
// there is a fault, so that a normal start needs no memory for them.
func parse(src *source, text []byte, getenv func(string) string, discovery func(env, file string) string) *Config {
	cfg := build(src, text, getenv, discovery)
	if len(src.faults) == 0 {
		return cfg
	}
	src.faults = nil
	src.locate(text)
	if len(src.faults) > 0 {
		return &Config{} // after values of the wrong kind or bad syntax no further check is possible
	}
	return build(src, text, getenv, discovery)
}

// locate determines the position of each key, and adds faults for values of the wrong kind.
func (s *source) locate(text []byte) {
	leaves, err := scanJSON(text)
	if err != nil {
		f := Fault{File: s.file, Read: "not JSON", Allowed: err.Error()}
		if syntax := new(json.SyntaxError); errors.As(json.Unmarshal(text, new(any)), &syntax) {
			f.Line, f.Column = lineColumn(text, int(syntax.Offset)-1)
			f.Allowed = syntax.Error()
		}
		s.faults = append(s.faults, f)
		return
	}
	fileSchema().check(s, leaves, false)
}

// build creates a configuration from the text of the file and the environment.
func build(src *source, text []byte, getenv func(string) string, discovery func(env, file string) string) *Config {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		src.faults = append(src.faults, Fault{File: src.file, Read: "cannot be used", Allowed: err.Error()})
		return &Config{}
	}
	cfg := &Config{
		Name:      cmp.Or(getenv("LB_NAME"), f.Name, "fieldrelay"),
		Listen:    cmp.Or(getenv("LB_LISTEN"), f.Listen),
		Mgmt:      cmp.Or(getenv("LB_MGMT"), f.Mgmt),
		Discovery: discovery(getenv("LB_DISCOVERY"), f.Discovery),
	}
	cfg.checkAddresses(src)
	cfg.SocketFD = src.descriptor(getenv("LB_SOCKET_FD"))
	cfg.Seed = src.seed(f.Seed)
	cfg.Known = src.knownServers(f.Known)
	cfg.size(src, &f.Limits)
	s := cfg.settings(src, f.Settings)
	if len(src.faults) > 0 {
		return cfg
	}
	f.Name, f.Listen, f.Discovery = cfg.Name, cfg.Listen, cfg.Discovery
	f.Seed = cmp.Or(f.Seed, "drawn at each start")
	cfg.show = append(cfg.show, func() []Shown {
		if src.leaves == nil {
			src.locate(text)
		}
		from := func(key string) string { return cfg.origin(src, getenv, key) }
		return append(show(reflect.ValueOf(f), "json", "", from), show(reflect.ValueOf(*s), "json", "settings", from)...)
	})
	return cfg
}

// checkAddresses adds a fault for each address that is not host:port.
func (c *Config) checkAddresses(src *source) {
	for _, required := range []struct{ key, address string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(required.address); err != nil {
			src.fault(required.key, required.address, "host:port")
		}
	}
	if _, _, err := net.SplitHostPort(c.Mgmt); c.Mgmt != "" && err != nil {
		src.fault("mgmt", c.Mgmt, "host:port, or nothing")
	}
}

// origin returns the origin of the value of a key: an environment variable, the file, or default.
func (c *Config) origin(src *source, getenv func(string) string, key string) string {
	variable := "LB_" + strings.ToUpper(key)
	value := getenv(variable)
	if !strings.Contains(key, ".") && value != "" && (key != "discovery" || c.Discovery == value) {
		return variable
	}
	return src.from(key)
}

// Bounds of the descriptor that LB_SOCKET_FD may name. Descriptors below 3 are standard input, output and error.
const (
	minSocketDescriptor = 3
	maxSocketDescriptor = 1 << 20
)

// descriptor parses LB_SOCKET_FD. It returns -1 if the variable is not set or faulty.
func (s *source) descriptor(value string) int {
	if value == "" {
		return -1
	}
	number, err := strconv.Atoi(value)
	if err != nil || number < minSocketDescriptor || number > maxSocketDescriptor {
		s.faults = append(s.faults, Fault{File: "LB_SOCKET_FD", Read: value, Allowed: "a descriptor number of 3 or more"})
		return -1
	}
	return number
}

// seed parses the seed, or returns a random one if none is set.
func (s *source) seed(value string) uint64 {
	if value == "" {
		return rand.Uint64()
	}
	seed, err := strconv.ParseUint(value, 16, 64)
	if err != nil {
		s.fault("seed", value, "up to 16 hex digits")
	}
	return seed
}

// knownServers decodes the stored server list.
func (s *source) knownServers(text []byte) endpoints.List {
	if len(text) == 0 || string(text) == "null" {
		return endpoints.List{}
	}
	known, err := endpoints.Parse(text)
	if err != nil {
		key, why, _ := strings.Cut(err.Error(), ": ")
		s.fault("known."+key, errors.New(why), "discovery's form")
	}
	return known
}

// size checks the limits and divides them.
func (c *Config) size(src *source, l *Limits) {
	l.Cores = cmp.Or(l.Cores, defaultCores)
	l.MemoryMB = cmp.Or(l.MemoryMB, defaultMemoryMB)
	l.Sockets = cmp.Or(l.Sockets, defaultSockets)
	if l.Cores < 0 || l.Cores > maxCores {
		src.fault("limits.cores", l.Cores, fmt.Sprintf("a number of cores, up to %d", maxCores))
	}
	if l.MemoryMB < minMemoryMB {
		src.fault("limits.memory_mb", l.MemoryMB, fmt.Sprintf("%d or more", minMemoryMB))
	}
	if l.Sockets < minSockets {
		src.fault("limits.sockets", l.Sockets, fmt.Sprintf("%d or more", minSockets))
	}
	c.Procs = int(math.Ceil(l.Cores))
	c.MemoryBytes = int64(l.MemoryMB) << 20
	usable := l.Sockets - max(l.Sockets/reservedDescriptorsDivisor, minReservedDescriptors)
	c.Inbound = int(inboundFraction * float64(usable))
	c.Outbound = usable - c.Inbound
}

// settings checks the platform's settings, and returns them with defaults filled in.
func (c *Config) settings(src *source, text json.RawMessage) *Settings {
	if len(text) == 0 {
		src.missing("settings", "what the platform gives an instance")
		return nil
	}
	s, err := ParseSettings(text)
	if err == nil {
		c.Logic, err = s.Logic()
	}
	if err != nil {
		key, why, _ := strings.Cut(strings.TrimPrefix(err.Error(), "settings: "), ": ")
		src.fault("settings."+key, errors.New(why), "what the platform gives an instance")
		return nil
	}
	if len(c.Logic.Classes) == 0 {
		src.missing("settings.classes", "one class at the least")
	}
	if c.Logic.Tick <= 0 {
		src.fault("settings.tick_ms", float64(s.Tick), "over 0")
	}
	if s.Limits.Attempts <= 0 {
		src.fault("settings.limits.send_cap", s.Limits.Attempts, "a whole number over 0")
	}
	for i, cl := range s.Classes {
		key := fmt.Sprintf("settings.classes[%d].", i)
		if cl.Name == "" {
			src.missing(key+"name", "the class's name")
		}
		if cl.Deadline <= 0 {
			src.fault(key+"deadline_ms", float64(cl.Deadline), "over 0")
		}
	}
	for _, t := range []struct {
		key      string
		value    *Millis
		to       *time.Duration
		standard time.Duration
	}{
		{"limits.dial_timeout_ms", &s.Limits.DialTimeout, &c.DialTimeout, defaultDialTimeout},
		{"limits.conn_idle_ms", &s.Limits.ConnIdle, &c.ConnIdle, defaultConnIdle},
		{"contract.drain_grace_ms", &s.Contract.DrainGrace, &c.DrainGrace, defaultDrainGrace},
	} {
		if *t.value < 0 {
			src.fault("settings."+t.key, float64(*t.value), "0 or more")
		}
		*t.to = cmp.Or(t.value.Duration(), t.standard)
		*t.value = Millis(*t.to) / Millis(time.Millisecond)
	}
	return s
}

// Changed returns the keys that differ in next and take effect only at a start.
func (c *Config) Changed(next *Config) []string {
	var keys []string
	for _, k := range []struct {
		key  string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"limits", c.Procs == next.Procs && c.MemoryBytes == next.MemoryBytes && c.Inbound == next.Inbound &&
			c.Outbound == next.Outbound},
		{"settings", c.DialTimeout == next.DialTimeout && c.ConnIdle == next.ConnIdle && c.DrainGrace == next.DrainGrace &&
			reflect.DeepEqual(c.Logic, next.Logic)},
		{"replace", c.Operator.Replace == next.Operator.Replace},
	} {
		if !k.same {
			keys = append(keys, k.key)
		}
	}
	return keys
}

// Fronts returns all listeners, the platform's first. The platform's listener gets the connections that the operator's
// listeners leave.
func (c *Config) Fronts() []frontend.Listener {
	platform := frontend.Listener{Address: c.Listen, Connections: c.Inbound}
	for _, l := range c.Operator.Frontend.HTTP {
		platform.Connections -= l.MaxConns()
	}
	return append([]frontend.Listener{platform}, c.Operator.Frontend.HTTP...)
}

// LongestDeadline returns the longest deadline of any class.
func (c *Config) LongestDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Logic.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
