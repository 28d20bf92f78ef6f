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
	maxRefusedPeers = 64                     // refused senders that are logged
	leaveLinger     = 100 * time.Millisecond // for the last datagrams and streams to leave
	actorTimeout    = 500 * time.Millisecond // for a caller of the management address
)

// Fleet is the actor around a Core: clock, sockets and disk. Its exported methods are safe for concurrent use; those that serve
// requests do not wait for the actor.
type Fleet struct {
	log     zerolog.Logger
	channel *peer.Channel
	box     *mailbox.Mailbox
	done    chan struct{} // closed when the actor has ended
	closing sync.Once

	limits        limits
	observations  observations
	droppedFrames atomic.Int64 // since the mailbox was full
	refusedFrames atomic.Int64 // of another fleet or version, or malformed
	mode          atomic.Int32
	viewNumber    atomic.Int64 // of the view in force here
	viewMembers   atomic.Int64 // of that view
	avoidedNodes  atomic.Int64 // execute nodes, by verdict

	// The following belong to the actor.
	settings     settings.Settings
	core         *Core
	voterStore   *voterStore // nil: nothing is stored
	origin       time.Time   // of the clock that the Core is stepped by
	wake         *time.Timer // of the next Tick
	rules        rulesState
	refusedPeers map[string]bool // senders that were refused, each of which is logged once

	// The callbacks of Options, called on the actor. They may be nil.
	suspensionsChanged func(all []verdict.Statement)
	avoid              func(nodes []string)
	drainingChanged    func(updates []verdict.Statement)
	allotmentChanged   func(tenant string, rate float64)
}

// Options are what a Fleet is started with.
type Options = options.Options

// Start opens the sockets and the voter's state, and joins the fleet. Its errors name the setting that they are about.
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
		Dur("pace", set.PaceTime()).Msg("fleet on")
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

// newCore makes the Core from the settings and from what an earlier process stored. push is the edition of rules to push; nil:
// none.
func (f *Fleet) newCore(opts Options, limits []quota.Limit) (push *rules.Edition, err error) {
	set := f.settings
	boot, seed := member.NewBoot(time.Now().UnixMilli(), random()), random()
	var stored *view.StoredState
	if set.State != "" {
		var unusable string
		if f.voterStore, stored, unusable, err = openVoterStore(set.State, set.Fleet, set.Name); err != nil {
			return nil, fmt.Errorf("fleet.state: %w", err)
		}
		if unusable != "" { // without its state this process is a new voter, if it is one
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

// random draws a number that other processes do not draw.
func random() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// Addr is the address on which it listens.
func (f *Fleet) Addr() string { return f.channel.Addr() }

// Mode returns the present mode.
func (f *Fleet) Mode() Mode { return Mode(f.mode.Load()) }

// deliver passes a frame to the actor, unless too many are queued: the mailbox itself has no bound.
func (f *Fleet) deliver(b []byte) {
	if f.box.Len() >= maxQueued {
		f.droppedFrames.Add(1)
		return
	}
	f.box.Put(func() { f.receive(b) })
}

// receive takes in a frame, or counts it as refused.
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

// runOnActor runs a function on the actor and waits for its end, up to actorTimeout. It reports whether the function has ended.
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

// Close leaves the fleet and waits for the actor's end. It announces that to the others, so that they need not detect it.
func (f *Fleet) Close() { f.close(true) }

// Abandon ends without an announcement, for another process that goes on under this name.
func (f *Fleet) Abandon() { f.close(false) }

// close ends the actor, once.
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
