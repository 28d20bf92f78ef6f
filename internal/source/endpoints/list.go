// Package endpoints is the form in which discovery, and the stored list, name execute nodes.
package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"fieldrelay/logic"
)

// List is one object of discovery: the whole list, or the entries that changed.
type List struct {
	Generation uint64
	Reset      bool // it is the whole list
	Instances  []Instance
}

// Instance is one execute node as discovery names it.
type Instance struct {
	ID      string
	Addr    string
	Zone    string
	Cell    int
	State   logic.State
	Started time.Duration // Unix time of its most recent start; 0: long ago
}

var states = map[string]logic.State{"Ready": logic.Ready, "Terminating": logic.Draining, "Gone": logic.Gone}

// form is an entry as it is written.
type entryJSON struct {
	ID        string `json:"instanceId"`
	Addr      string `json:"hostPort"`
	Zone      string `json:"zone"`
	Cell      int    `json:"cell"`
	Lifecycle string `json:"lifecycle"`
	Started   int64  `json:"startedAtMs"`
}

// instance checks the entry of a number.
func (e *entryJSON) instance(i int) (Instance, error) {
	state, ok := states[e.Lifecycle]
	_, _, err := net.SplitHostPort(e.Addr)
	switch {
	case e.ID == "":
		return Instance{}, fmt.Errorf("instances[%d].instanceId: missing", i)
	case !ok:
		return Instance{}, fmt.Errorf("instances[%d].lifecycle: %q is unknown", i, e.Lifecycle)
	case err != nil && state != logic.Gone:
		return Instance{}, fmt.Errorf("instances[%d].hostPort: %q is not host:port", i, e.Addr)
	case e.Started < 0 || e.Started > maxMillis:
		return Instance{}, fmt.Errorf("instances[%d].startedAtMs: %d is out of range", i, e.Started)
	}
	return Instance{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Cell: e.Cell,
		State: state, Started: time.Duration(e.Started) * time.Millisecond}, nil
}

// maxMillis keeps a Unix time within a duration.
const maxMillis = int64(1) << 43

// ErrTooLong tells that an object takes more bytes than the decoder was allowed.
var ErrTooLong = errors.New("object too long")

// Decoder reads object after object and holds no more than an entry of one in the form in which it came: a list of
// thousands takes no second and third copy of itself.
type Decoder struct {
	in       *limitedReader
	json     *json.Decoder
	maxBytes int
	// OnEntry, if there is one, is called before an entry is kept.
	OnEntry func()
}

// NewDecoder reads objects of most bytes each, and white space between them.
func NewDecoder(r io.Reader, maxBytes int) *Decoder {
	in := &limitedReader{from: r}
	return &Decoder{in: in, json: json.NewDecoder(in), maxBytes: maxBytes}
}

// bounded gives no more than left bytes.
type limitedReader struct {
	from  io.Reader
	left  int
	begun bool // something of the present object has been given
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := b.from.Read(p[:min(len(p), b.left)])
	// White space alone, between two objects, may go on for good.
	if len(bytes.TrimSpace(p[:n])) > 0 {
		b.left -= n
		b.begun = true
	}
	return n, err
}

// InObject tells whether an object has begun and not ended. It is asked while Next reads.
func (d *Decoder) InObject() bool { return d.in.begun }

// Next reads an object. At the end of all it returns io.EOF; any other error ends the decoder's use and names the key
// at fault.
func (d *Decoder) Next() (List, error) {
	d.in.left = d.maxBytes
	rest, _ := io.ReadAll(d.json.Buffered())
	d.in.begun = len(bytes.TrimSpace(rest)) > 0
	t, err := d.json.Token()
	if err != nil {
		return List{}, err
	}
	if t != json.Delim('{') {
		return List{}, fmt.Errorf("%v is not an object", t)
	}
	var l List
	known := false
	for d.json.More() {
		key, err := d.json.Token()
		if err != nil {
			return List{}, unexpectedEOF(err)
		}
		var into any = new(json.RawMessage)
		switch key {
		case "generation":
			known, into = true, &l.Generation
		case "reset":
			into = &l.Reset
		case "instances":
			if l.Instances, err = d.entries(); err != nil {
				return List{}, unexpectedEOF(err)
			}
			continue
		}
		if err := d.json.Decode(into); err != nil {
			return List{}, fmt.Errorf("%v: %w", key, unexpectedEOF(err))
		}
	}
	if _, err := d.json.Token(); err != nil {
		return List{}, unexpectedEOF(err)
	}
	if !known {
		return List{}, errors.New("generation: missing")
	}
	return l, nil
}

// unended tells the end of all within an object from that between two.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (d *Decoder) entries() ([]Instance, error) {
	t, err := d.json.Token()
	if err != nil || t == nil { // null is an empty list
		return nil, err
	}
	if t != json.Delim('[') {
		return nil, fmt.Errorf("instances: %v is not a list", t)
	}
	var all []Instance
	zones := map[string]string{} // one copy of each
	for d.json.More() {
		if d.OnEntry != nil {
			d.OnEntry()
		}
		var e entryJSON
		if err := d.json.Decode(&e); err != nil {
			return nil, fmt.Errorf("instances[%d]: %w", len(all), err)
		}
		i, err := e.instance(len(all))
		if err != nil {
			return nil, err
		}
		if _, ok := zones[i.Zone]; !ok {
			zones[i.Zone] = i.Zone
		}
		i.Zone = zones[i.Zone]
		all = append(all, i)
	}
	_, err = d.json.Token()
	return all, err
}

// Parse reads a text that is one object. The error names the key at fault.
func Parse(text []byte) (List, error) {
	d := NewDecoder(bytes.NewReader(text), len(text)+1)
	l, err := d.Next()
	if err != nil {
		return List{}, unexpectedEOF(err)
	}
	if _, err := d.json.Token(); !errors.Is(err, io.EOF) {
		return List{}, errors.New("more stands behind the object")
	}
	return l, nil
}
