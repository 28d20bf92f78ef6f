// Command simhost hosts many balancers and speaks the simulator's wire on
// standard input and output. The balancers share nothing; it decides nothing.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/wire"
)

func main() {
	h := &host{instances: map[uint64]*logic.Balancer{}, pages: map[uint64][]logic.Server{}}
	if err := h.run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

type host struct {
	in        *bufio.Reader
	lineNo    int
	line      wire.Line
	reply     bytes.Buffer
	acts      []logic.Action
	instances map[uint64]*logic.Balancer
	pages     map[uint64][]logic.Server
}

// run answers batches until the input ends.
func (h *host) run(in io.Reader, out io.Writer) error {
	h.in = bufio.NewReaderSize(in, 1<<20)
	for {
		err := h.batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", h.lineNo, err)
		}
		h.reply.WriteString("NEXT\n")
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return err
		}
		h.reply.Reset()
	}
}

// next reads and parses one line.
func (h *host) next() error {
	text, err := h.in.ReadString('\n')
	if err != nil {
		if text != "" && errors.Is(err, io.EOF) {
			return errors.New("input ends within a line")
		}
		return err
	}
	h.lineNo++
	return wire.ParseLine(strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r"), &h.line)
}

// within reads a line of a batch, where the input may not end.
func (h *host) within() error {
	err := h.next()
	if errors.Is(err, io.EOF) {
		return errors.New("input ends within a batch")
	}
	return err
}

// batch reads one batch, if there is one, and makes its reply.
func (h *host) batch() error {
	if err := h.next(); err != nil {
		return err
	}
	if h.line.Tag != "MARK" {
		return fmt.Errorf("%s where a MARK was due", h.line.Tag)
	}
	now, err := h.line.Time("t_ms", true)
	if err != nil {
		return err
	}
	for {
		if err := h.within(); err != nil {
			return err
		}
		switch h.line.Tag {
		case "END":
			return nil
		case "PAGE":
			err = h.page()
		default:
			err = h.event(now)
		}
		if err != nil {
			return err
		}
	}
}

func (h *host) page() error {
	slot, err := h.line.Int("slot", true)
	if err != nil {
		return err
	}
	rows, err := h.line.Int("rows_in", false)
	if err != nil {
		return err
	}
	var servers []logic.Server
	for range rows {
		if err := h.within(); err != nil {
			return err
		}
		s, err := h.line.Entry()
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	h.pages[slot] = servers
	return nil
}

// event hands one event to its instance.
func (h *host) event(now time.Duration) error {
	inst, err := h.line.Int("i", true)
	if err != nil {
		return err
	}
	switch h.line.Tag {
	case "PROVISION":
		return h.provision(inst)
	case "DESTROY":
		delete(h.instances, inst)
		return nil
	}
	var ev logic.Event
	var known bool
	if h.line.Tag == "MEMBERS" {
		known, err = true, h.members(&ev)
	} else {
		known, err = h.line.Event(&ev)
	}
	if b := h.instances[inst]; err == nil && known && b != nil {
		h.step(inst, b, now, &ev)
	}
	return err
}

func (h *host) members(ev *logic.Event) error {
	form, _ := h.line.Text("form")
	ev.Kind = logic.EvServerList
	switch form {
	case "Error":
		ev.Kind = logic.EvListLost
		return nil
	case "Complete":
		ev.Complete = true
	case "Persisted":
		ev.Complete, ev.Stored = true, true
	case "Partial":
	default:
		return fmt.Errorf("MEMBERS: form=%q is unknown", form)
	}
	slot, err := h.line.Int("slot", true)
	if err != nil {
		return err
	}
	servers, ok := h.pages[slot]
	if !ok {
		return fmt.Errorf("MEMBERS: slot=%d has had no PAGE", slot)
	}
	ev.Servers = servers
	return nil
}

func (h *host) provision(inst uint64) error {
	delete(h.instances, inst)
	seed, err := h.line.Int("random_seed", true)
	if err != nil {
		return err
	}
	text, ok := h.line.Text("settings")
	if !ok {
		return errors.New("PROVISION: no settings")
	}
	cfg, err := wire.Settings(text)
	if err != nil {
		return fmt.Errorf("PROVISION: %w", err)
	}
	b, err := logic.New(cfg, seed)
	if err != nil {
		wire.WriteText(&h.reply, "BROKEN", inst, err.Error())
		return nil
	}
	h.instances[inst] = b
	return nil
}

// step runs one decision; a panic in the module is told as a fault.
func (h *host) step(inst uint64, b *logic.Balancer, now time.Duration, ev *logic.Event) {
	defer func() {
		if p := recover(); p != nil {
			wire.WriteText(&h.reply, "BROKEN", inst, fmt.Sprint("panic: ", p))
			delete(h.instances, inst)
		}
	}()
	h.acts = b.Step(now, ev, h.acts[:0])
	for i := range h.acts {
		wire.WriteAction(&h.reply, inst, &h.acts[i])
	}
}
