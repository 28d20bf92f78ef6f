package fleet

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/fleet/options"
	"fieldrelay/internal/sidecar/fleet/settings"
	"fieldrelay/internal/sidecar/mailbox"
	"fieldrelay/internal/sidecar/member"
	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/verdict"
	"fieldrelay/internal/sidecar/view"
)

const (
	maxQueued       = 4096                   // frames queued for the actor; further ones are dropped
	maxRefusedPeers = 64                     // bound on the senders whose refusal is logged
	leaveLinger     = 100 * time.Millisecond // wait after the announcement of the leave, so that the last datagrams and streams are sent
	actorTimeout    = 500 * time.Millisecond // time for which a caller of the management address waits for the actor
)

// Fleet is the actor that runs a Core, with its clock, sockets and disk. Its exported methods are safe for concurrent use; those
// on the path of requests do not wait for the actor.
type Fleet struct {
	log     zerolog.Logger
	channel *peer.Channel
	box     *mailbox.Mailbox
	done    chan struct{} // closed when the actor has ended
	closing sync.Once

	limits        limits
	observations  observations
	droppedFrames atomic.Int64 // frames dropped because the mailbox was full
	refusedFrames atomic.Int64 // frames of another fleet or version, and malformed frames
	mode          atomic.Int32
	viewNumber    atomic.Int64 // number of the view in force at this member
	viewMembers   atomic.Int64 // number of members of the view in force at this member
	avoidedNodes  atomic.Int64 // number of execute nodes avoided by verdict

	// The following fields belong to the actor.
	settings     settings.Settings
	core         *Core
	voterStore   *voterStore // nil: the voter's state is not stored
	origin       time.Time   // zero of the clock that the Core is stepped with
	wake         *time.Timer // timer of the next Tick
	rules        rulesState
	refusedPeers map[string]bool // senders whose refusal was logged, as fleet/name; each is logged once

	// The callbacks of Options, called on the actor's goroutine. They may be nil.
	suspensionsChanged func(all []verdict.Statement)
	avoid              func(nodes []string)
	drainingChanged    func(updates []verdict.Statement)
	allotmentChanged   func(tenant string, rate float64)
}

// Options configure a Fleet at its start.
type Options = options.Options

// Start opens the sockets and the voter's state, and joins the fleet. Its errors name the setting that caused them.
func Start(opts Options, log zerolog.Logger) (*Fleet, error) {
	set := opts.Settings
	set.Name = cmp.Or(set.Name, opts.Name)
	if err := (member.Record{Name: set.Name}).Valid(); err != nil {
		return nil, fmt.Errorf("fleet.name: %w", err)
	}
	f := &Fleet{log: log, box: mailbox.New(), done: make(chan struct{}), settings: set, origin: time.Now(),
		refusedPeers: make(map[string]bool), suspensionsChanged: opts.SuspensionsChanged, avoid: opts.Avoid, drainingChanged: opts.DrainingChanged, allotmentChanged: opts.AllotmentChanged}
	f.observations.origin = f.origin
	f.limits.origin = f.origin
	f.limits.tenants = opts.Tenants
	limits := f.limits.set(opts.Quotas)
	channel, err := peer.Listen(set.Listen, f.deliver)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	f.channel = channel
	push, err := f.newCore(opts, limits)
	if err != nil {
		channel.Close()
		return nil, errors.Join(err, f.voterStore.close())
	}
	f.wake = time.AfterFunc(time.Hour, func() { f.box.Put(func() { f.step(Tick{}) }) })
	log.Info().Str("fleet", set.Fleet).Str("name", set.Name).Str("listen", channel.Addr()).Strs("join", set.Join).
		Dur("pace", set.PaceTime()).Msg("fleet started")
	f.limits.updateShares(f.core.Holder())
	f.box.Put(func() { f.step(Tick{}) })
	if push != nil {
		f.box.Put(func() { f.step(PushRules{*push}) })
	}
	go func() {
		defer close(f.done)
		f.box.Run()
	}()
	return f, nil
}

// newCore creates the Core from the settings and from the state that an earlier process stored. push is the edition of rules to
// push; nil: none.
func (f *Fleet) newCore(opts Options, limits []quota.Limit) (push *rules.Edition, err error) {
	set := f.settings
	boot, seed := member.NewBoot(time.Now().UnixMilli(), random()), random()
	var stored *view.StoredState
	if set.State != "" {
		var unusable string
		if f.voterStore, stored, unusable, err = openVoterStore(set.State, set.Fleet, set.Name); err != nil {
			return nil, fmt.Errorf("fleet.state: %w", err)
		}
		if unusable != "" { // without its state this process votes, if at all, as a new voter
			f.log.Error().Msg(unusable)
		}
	}
	cfg := CoreConfig{Fleet: set.Fleet,
		Member: member.Config{Name: set.Name, Addr: cmp.Or(set.Advertise, f.channel.Addr()), Boot: boot, Join: set.Join,
			Pace: set.PaceTime(), Seed: seed},
		View: view.Config{Name: set.Name, Boot: boot, Voters: set.Voters, Pace: set.PaceTime(), Lease: set.LeaseTime(),
			Drift: set.DriftFraction(), Seed: seed, Stored: stored, Refound: set.Refounds()},
		Limits: limits, Demand: f.limits.demand, Suspensions: opts.Suspensions}
	if set.Verdicts && f.avoid != nil {
		f.observations.enabled = true
		cfg.Observations, cfg.VerdictPercent, cfg.Member.Zone = &f.observations, set.VerdictPercent, opts.Zone[:min(len(opts.Zone), member.MaxZoneBytes)]
	}
	if push, err = f.rules.load(&cfg, set, opts, f.log); err != nil {
		return nil, err
	}
	if f.core, err = NewCore(cfg, 0); err != nil {
		return nil, fmt.Errorf("fleet.state: %w", err)
	}
	return push, nil
}

// random returns a random number from the operating system, which differs from those of other processes.
func random() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// Addr returns the address on which the fleet's channel listens.
func (f *Fleet) Addr() string { return f.channel.Addr() }

// Mode returns the present mode.
func (f *Fleet) Mode() Mode { return Mode(f.mode.Load()) }

// deliver queues a frame for the actor. It drops the frame if maxQueued are queued, since the mailbox itself is unbounded.
func (f *Fleet) deliver(b []byte) {
	if f.box.Len() >= maxQueued {
		f.droppedFrames.Add(1)
		return
	}
	f.box.Put(func() { f.receive(b) })
}

// receive decodes a frame and steps the Core with it. A frame that cannot be decoded is counted as refused.
func (f *Fleet) receive(b []byte) {
	frame, err := peer.Decode(b, f.settings.Fleet)
	if err == nil {
		f.step(Received{frame})
		return
	}
	f.refusedFrames.Add(1)
	sender := frame.Fleet + "/" + frame.From.Name
	if (errors.Is(err, peer.ErrFleet) || errors.Is(err, peer.ErrVersion)) && len(f.refusedPeers) < maxRefusedPeers && !f.refusedPeers[sender] {
		f.refusedPeers[sender] = true
		f.log.Warn().Err(err).Str("peer_fleet", frame.Fleet).Str("name", frame.From.Name).Str("addr", frame.From.Addr).Msg("peer refused")
	}
}

// runOnActor runs a function on the actor and waits up to actorTimeout for its return. It reports whether the function returned in
// time.
func (f *Fleet) runOnActor(do func()) bool {
	ended := make(chan struct{})
	if !f.box.Put(func() { do(); close(ended) }) {
		return false
	}
	select {
	case <-ended:
		return true
	case <-time.After(actorTimeout):
		return false
	}
}

// Close leaves the fleet and waits for the actor's end. It announces the leave to the other members, so that they need not detect a
// failure.
func (f *Fleet) Close() { f.close(true) }

// Abandon closes the fleet without announcing a leave, so that another process can continue under this member's name.
func (f *Fleet) Abandon() { f.close(false) }

// close ends the actor. Further calls do nothing.
func (f *Fleet) close(announce bool) {
	f.closing.Do(func() {
		if announce {
			f.runOnActor(func() { f.step(Leave{}) })
			<-time.After(leaveLinger)
		}
		f.box.Put(func() { f.wake.Stop() })
		f.channel.Close()
		f.box.Close()
		<-f.done
		f.wake.Stop()
		if err := f.voterStore.close(); err != nil {
			f.log.Error().Err(err).Msg("voter's state not closed")
		}
	})
}
