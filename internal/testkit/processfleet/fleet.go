package processfleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"fieldrelay/internal/testkit/checker"
	"fieldrelay/internal/testkit/fakebackend"
	"fieldrelay/internal/testkit/faultline"
)

// Options are what a rig is made with.
type Options struct {
	Binary   string   // of the sidecars
	Others   []string // of the last of them, in place of Binary: mixed versions
	Sidecars int
	Nodes    int           // execute nodes
	Work     time.Duration // of an execute node for a request
	Cores    int           // of an execute node: so many requests at a time, as many more wait ten times over; 0: any number
	Dir      string        // for files; it has to be there
	Seed     uint64
	Operator string            // more keys of the section fleet, as TOML lines
	Tail     string            // more sections
	TailOf   map[string]string // of one sidecar, in place of Tail
	Pace     time.Duration     // 0: 250 ms
	Lease    time.Duration     // 0: 20 paces
	Keep     bool              // voters keep their state in a folder
	NoFleet  bool              // no section fleet at all
	Direct   bool              // sidecars reach each other without injectors
	History  *checker.History
}

// Classes are those that the sidecars serve and the checker judges by.
var Classes = []checker.Class{
	{Name: "look"},
	{Name: "pay", Window: keyWindow}, // keyed, every node drops a repeat
	{Name: "order", Single: true},
}

const (
	keyWindow  = 12 * time.Second
	startBound = 20 * time.Second
	stateDir   = "state"
	seedCount  = 3 // members whose addresses the others join by
)

// Fleet is a running fleet.
type Fleet struct {
	Sidecars []*Sidecar
	History  *checker.History

	opts  Options
	nodes []*fakebackend.Node
	lists []*fakebackend.Discovery
	links map[linkID]*faultline.Link
	// senders are the sidecars by the addresses of nodes that are theirs alone.
	senders map[string]string

	mu   sync.Mutex
	keys map[string]time.Time // of keyed work begun, for all nodes
}

// linkID names a directed link.
type linkID struct{ From, To string }

func (l linkID) String() string { return l.From + ">" + l.To }

// New makes all places and links; no process runs yet.
func New(opts Options) (r *Fleet, err error) {
	if opts.Pace == 0 {
		opts.Pace = 250 * time.Millisecond
	}
	if opts.Lease == 0 {
		opts.Lease = 20 * opts.Pace
	}
	r = &Fleet{opts: opts, History: opts.History, links: map[linkID]*faultline.Link{}, senders: map[string]string{}, keys: map[string]time.Time{}}
	if r.History == nil {
		r.History = checker.NewHistory()
	}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.Close())
		}
	}()
	for i := range opts.Nodes {
		if err := r.addNode(i); err != nil {
			return nil, err
		}
	}
	for i := range opts.Sidecars {
		if err := r.addSidecar(i); err != nil {
			return nil, err
		}
	}
	for _, s := range r.Sidecars {
		if err := r.connect(s); err != nil {
			return nil, err
		}
	}
	for _, s := range r.Sidecars {
		if err := r.write(s); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// nodeConnections is how many connections an execute node accepts.
const nodeConnections = 32

// addNode makes an execute node.
func (r *Fleet) addNode(index int) error {
	n, err := fakebackend.NewNode(r.opts.Work, nodeConnections)
	if err != nil {
		return err
	}
	n.Cores, n.Queue, n.Work = r.opts.Cores, 10*r.opts.Cores, &fakebackend.WorkLog{}
	name := nodeName(index)
	n.Ran = func(id, key, class string) bool { return r.ran(name, id, key, class) }
	r.nodes = append(r.nodes, n)
	return nil
}

// addSidecar makes the place of a sidecar, at a loopback address that depends on this process.
func (r *Fleet) addSidecar(index int) error {
	name := fmt.Sprintf("s%d", index+1)
	s := &Sidecar{Name: name, Binary: r.opts.Binary, index: index, hist: r.History, dir: filepath.Join(r.opts.Dir, name)}
	if other := index - (r.opts.Sidecars - len(r.opts.Others)); other >= 0 {
		s.Binary = r.opts.Others[other]
	}
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return err
	}
	host := fmt.Sprintf("127.%d.%d.%d", 16+os.Getpid()>>8&0xf, os.Getpid()&0xff, index%250+1)
	ports, err := freePorts(host, 3)
	if err != nil {
		return err
	}
	s.ClientAddress, s.Mgmt, s.Peer = ports[0], ports[1], ports[2]
	r.Sidecars = append(r.Sidecars, s)
	return nil
}

// Twin is a place under the name of another sidecar, at addresses of its own. The rig must be a direct one.
func (r *Fleet) Twin(of *Sidecar) (*Sidecar, error) {
	ports, err := freePorts("127.0.0.1", 3)
	if err != nil {
		return nil, err
	}
	s := &Sidecar{Name: of.Name, ClientAddress: ports[0], Mgmt: ports[1], Peer: ports[2], Binary: of.Binary, index: of.index, hist: r.History, dir: of.dir + "-twin"}
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return nil, err
	}
	r.Sidecars = append(r.Sidecars, s)
	return s, r.write(s)
}

// Start starts all processes and waits until they serve.
func (r *Fleet) Start() error {
	for _, s := range r.Sidecars {
		if err := s.Start(); err != nil {
			return err
		}
	}
	for _, s := range r.Sidecars {
		if err := s.ready(startBound); err != nil {
			return err
		}
	}
	return nil
}

// Link is an injector by its ends: sidecar names, "n1" and so on, "discovery", "client".
func (r *Fleet) Link(from, to string) *faultline.Link { return r.links[linkID{from, to}] }

// Sidecar is a member by its name.
func (r *Fleet) Sidecar(name string) *Sidecar {
	for _, s := range r.Sidecars {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// ran takes note of work at a node, and tells whether the node knows the key.
func (r *Fleet) ran(node, id, key, class string) bool {
	r.mu.Lock()
	now := time.Now()
	repeat := false
	if class == "pay" && key != "" {
		began, known := r.keys[key]
		if repeat = known && now.Sub(began) < keyWindow; !repeat {
			r.keys[key] = now
		}
	}
	r.mu.Unlock()
	kind := checker.Ran
	if repeat {
		kind = checker.Duplicate
	}
	r.History.Add(checker.Entry{Kind: kind, ID: id, Key: key, Class: class, Node: node})
	return repeat
}

// Hits adds up what all links did.
func (r *Fleet) Hits() (sum faultline.Hits) {
	for _, l := range r.links {
		h := l.Hits()
		sum.Datagrams += h.Datagrams
		sum.Lost += h.Lost
		sum.Duplicated += h.Duplicated
		sum.Reordered += h.Reordered
		sum.Delayed += h.Delayed
		sum.Streams += h.Streams
		sum.Refused += h.Refused
		sum.Hung += h.Hung
		sum.Cut += h.Cut
		sum.HalfClosed += h.HalfClosed
		sum.Held += h.Held
	}
	return sum
}

// Close ends every process and link.
func (r *Fleet) Close() error {
	var errs []error
	for _, s := range r.Sidecars {
		errs = append(errs, s.Kill())
	}
	for _, l := range r.links {
		l.Close()
	}
	for _, d := range r.lists {
		d.Close()
	}
	for _, n := range r.nodes {
		n.Close()
	}
	return errors.Join(errs...)
}
