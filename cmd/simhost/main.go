// Command simhost hosts many independent balancers and speaks the simulator's
// wire protocol on standard input and output. The balancers share no state, and
// all decisions are made by package logic.
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

// host reads batches of events, passes each event to its balancer and collects the resulting actions in reply.
type host struct {
	in        *bufio.Reader
	lineNo    int // number of the line read last, from 1
	line      wire.Line
	reply     bytes.Buffer
	actions   []logic.Action
	instances map[uint64]*logic.Balancer // balancers by instance number
	pages     map[uint64][]logic.Server  // server lists by slot
}

// run reads batches and writes a reply to each until the input ends. An error in the input names
// its line.
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

// nextInBatch reads the next line of an unfinished batch. The end of the input is an error there.
func (h *host) nextInBatch() error {
	err := h.next()
	if errors.Is(err, io.EOF) {
		return errors.New("input ends within a batch")
	}
	return err
}

// batch reads one batch and appends its actions to the reply. It returns io.EOF if the input ends before the batch.
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
		if err := h.nextInBatch(); err != nil {
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

// page reads the entries of a PAGE and stores them under its slot for later MEMBERS events.
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
		if err := h.nextInBatch(); err != nil {
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

// event passes one event to its instance. Unknown events and events for unknown instances are ignored.
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

// members converts a MEMBERS line to an event. Its server list is the stored page of the named slot.
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
		return fmt.Errorf("MEMBERS: no PAGE received for slot=%d", slot)
	}
	ev.Servers = servers
	return nil
}

// provision creates the balancer of an instance and replaces any previous one. Settings that package logic rejects are
// reported in the reply as BROKEN; a malformed line is an error.
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

// step passes one event to a balancer and appends the resulting actions to the reply. If the balancer panics, the reply
// reports the instance as BROKEN and the instance is removed.
func (h *host) step(inst uint64, b *logic.Balancer, now time.Duration, ev *logic.Event) {
	defer func() {
		if p := recover(); p != nil {
			wire.WriteText(&h.reply, "BROKEN", inst, fmt.Sprint("panic: ", p))
			delete(h.instances, inst)
		}
	}()
	h.actions = b.Step(now, ev, h.actions[:0])
	for i := range h.actions {
		wire.WriteAction(&h.reply, inst, &h.actions[i])
	}
}
