// Package endpoints decodes the server list in the format of discovery and of the stored list: JSON objects with a
// generation and instances. It checks each entry. It does not read files or open connections.
package endpoints

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

// List is one object of discovery: the whole list, or the entries that changed.
type List struct {
	Generation uint64
	Reset      bool // the object is the whole list
	Instances  []Instance
}

// Instance is one server in discovery's list.
type Instance struct {
	ID      string
	Addr    string
	Zone    string
	Cell    int
	State   logic.State
	Started time.Duration // Unix time of the most recent start; 0: long ago
}

var states = map[string]logic.State{"Ready": logic.Ready, "Terminating": logic.Draining, "Gone": logic.Gone}

// KeyError is the error of a key with an unusable value.
type KeyError struct {
	Key    string // path of the key, such as instances[3].hostPort
	Reason string
}

// Error names the key and the reason.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// keyError returns a KeyError for a key of the entry at an index.
func keyError(i int, key, format string, args ...any) error {
	return &KeyError{fmt.Sprintf("instances[%d].%s", i, key), fmt.Sprintf(format, args...)}
}

// entryJSON is the JSON encoding of an entry.
type entryJSON struct {
	ID        string `json:"instanceId"`
	Addr      string `json:"hostPort"`
	Zone      string `json:"zone"`
	Cell      int    `json:"cell"`
	Lifecycle string `json:"lifecycle"`
	Started   int64  `json:"startedAtMs"`
}

// instance checks an entry and converts it. i is the index of the entry in the list, for errors.
func (e *entryJSON) instance(i int) (Instance, error) {
	state, ok := states[e.Lifecycle]
	_, _, err := net.SplitHostPort(e.Addr)
	switch {
	case e.ID == "":
		return Instance{}, keyError(i, "instanceId", "missing")
	case !ok:
		return Instance{}, keyError(i, "lifecycle", "%q is unknown", e.Lifecycle)
	case err != nil && state != logic.Gone:
		return Instance{}, keyError(i, "hostPort", "%q is not host:port", e.Addr)
	case e.Started < 0 || e.Started > maxMillis:
		return Instance{}, keyError(i, "startedAtMs", "%d is out of range", e.Started)
	}
	return Instance{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Cell: e.Cell,
		State: state, Started: time.Duration(e.Started) * time.Millisecond}, nil
}

// maxMillis bounds a Unix time in milliseconds, so that it fits into a time.Duration.
const maxMillis = int64(1) << 43

// ErrTooLong is the error of an object that takes more bytes than the decoder allows.
var ErrTooLong = errors.New("object too long")

// Decoder reads a sequence of objects. It buffers at most one entry, so that decoding a list of thousands of entries makes no
// further copies of the list. It is not safe for concurrent use.
type Decoder struct {
	in       *limitedReader
	json     *json.Decoder
	maxBytes int
	// OnEntry, unless nil, is called before each entry is decoded.
	OnEntry func()
}

// NewDecoder returns a decoder of objects of up to maxBytes each, with any amount of white space between them.
func NewDecoder(r io.Reader, maxBytes int) *Decoder {
	in := &limitedReader{from: r}
	return &Decoder{in: in, json: json.NewDecoder(in), maxBytes: maxBytes}
}

// limitedReader reads at most left bytes of an object.
type limitedReader struct {
	from  io.Reader
	left  int
	begun bool // a part of the current object has been read
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := b.from.Read(p[:min(len(p), b.left)])
	// White space between two objects is not limited, since an idle watch sends empty lines.
	if len(bytes.TrimSpace(p[:n])) > 0 {
		b.left -= n
		b.begun = true
	}
	return n, err
}

// InObject reports whether an object has been read in part. It may be called by the reader that Next reads from.
func (d *Decoder) InObject() bool { return d.in.begun }

// Next reads an object. At the end of the sequence it returns io.EOF. After any other error the decoder cannot be
// used; an error about a value names its key.
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
	hasGeneration := false
	for d.json.More() {
		key, err := d.json.Token()
		if err != nil {
			return List{}, unexpectedEOF(err)
		}
		if err := d.value(key, &l); err != nil {
			return List{}, err
		}
		hasGeneration = hasGeneration || key == "generation"
	}
	if _, err := d.json.Token(); err != nil {
		return List{}, unexpectedEOF(err)
	}
	if !hasGeneration {
		return List{}, &KeyError{"generation", "missing"}
	}
	return l, nil
}

// value decodes the value of a key into l. Unknown keys are skipped.
func (d *Decoder) value(key json.Token, l *List) (err error) {
	var into any = new(json.RawMessage)
	switch key {
	case "generation":
		into = &l.Generation
	case "reset":
		into = &l.Reset
	case "instances":
		l.Instances, err = d.entries()
		return unexpectedEOF(err)
	}
	if err := d.json.Decode(into); err != nil {
		return fmt.Errorf("%v: %w", key, unexpectedEOF(err))
	}
	return nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF: within an object it is not the end of the sequence.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// entries decodes the list of entries. null is decoded as an empty list.
func (d *Decoder) entries() ([]Instance, error) {
	t, err := d.json.Token()
	if err != nil || t == nil {
		return nil, err
	}
	if t != json.Delim('[') {
		return nil, fmt.Errorf("instances: %v is not a list", t)
	}
	var all []Instance
	zones := map[string]string{} // one string for each zone name, shared by its entries
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

// Parse decodes a text that consists of one object. An error about a value names its key.
func Parse(text []byte) (List, error) {
	d := NewDecoder(bytes.NewReader(text), len(text)+1)
	l, err := d.Next()
	if err != nil {
		return List{}, unexpectedEOF(err)
	}
	if _, err := d.json.Token(); !errors.Is(err, io.EOF) {
		return List{}, errors.New("trailing data after the JSON object")
	}
	return l, nil
}
