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

	"fieldrelay/internal/fleet/options"
	"fieldrelay/internal/fleet/settings"
	"fieldrelay/internal/mailbox"
	"fieldrelay/internal/member"
	"fieldrelay/internal/peer"
	"fieldrelay/internal/verdict"
	"fieldrelay/internal/view"
)

const (
	maxQueued    = 4096                   // frames that wait for the actor; one over it is dropped
	leaveLinger  = 100 * time.Millisecond // for the last datagrams and streams to leave
	actorTimeout = 500 * time.Millisecond // a caller of the management address waits no longer
)

// Fleet is the actor: a Core with clock and sockets.
type Fleet struct {
	log           zerolog.Logger
	channel       *peer.Channel
	box           *mailbox.Mailbox
	done          chan struct{}
	closing       sync.Once
	droppedFrames atomic.Int64 // frames dropped since the mailbox was full
	limits        limits
	observations  observations
	refusedFrames atomic.Int64 // frames of another fleet or version, or that are none
	mode          atomic.Int32
	viewNumber    atomic.Int64 // of the view that this member goes by
	viewMembers   atomic.Int64 // of that view
	avoidedNodes  atomic.Int64 // execute nodes, by verdict

	// The following belong to the actor.
	settings     settings.Settings
	core         *Core
	voterStore   *voterStore
	origin       time.Time
	wake         *time.Timer
	changed      func(all []verdict.Statement)
	avoid        func(nodes []string)
	drains       func(news []verdict.Statement)
	allot        func(tenant string, rate float64)
	rules        rulesState
	refusedPeers map[string]bool // senders refused, which are told in one line each
}

// Options are what a Fleet is started with.
type Options = options.Options

// Start opens the sockets and joins.
func Start(opts Options, log zerolog.Logger) (*Fleet, error) {
	set := opts.Settings
	set.Name = cmp.Or(set.Name, opts.Name)
	if err := (member.Record{Name: set.Name}).Valid(); err != nil {
		return nil, fmt.Errorf("fleet.name: %w", err)
	}
	f := &Fleet{log: log, box: mailbox.New(), done: make(chan struct{}), settings: set, origin: time.Now(),
		refusedPeers: map[string]bool{}, changed: opts.Changed, avoid: opts.Avoid, drains: opts.Drains, allot: opts.Allot}
	f.observations.origin = f.origin
	f.limits.origin = f.origin
	f.limits.tenants = opts.Tenants
	limits := f.limits.set(opts.Quotas)
	channel, err := peer.Listen(set.Listen, f.deliver)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	f.channel = channel
	boot, seed := member.NewBoot(time.Now().UnixMilli(), random()), random()
	var kept *view.StoredState
	if set.State != "" {
		var why string
		if f.voterStore, kept, why, err = openVoterStore(set.State, set.Fleet, set.Name); err != nil {
			channel.Close()
			return nil, fmt.Errorf("fleet.state: %w", err)
		}
		if why != "" { // without its state this process is a new voter, if it is one
			log.Error().Msg(why)
		}
	}
	cfg := CoreConfig{Fleet: set.Fleet,
		Member: member.Config{Name: set.Name, Addr: cmp.Or(set.Advertise, channel.Addr()), Boot: boot, Join: set.Join,
			Pace: set.PaceTime(), Seed: seed},
		View: view.Config{Name: set.Name, Boot: boot, Voters: set.Voters, Pace: set.PaceTime(), Lease: set.LeaseTime(),
			Drift: set.DriftPart(), Seed: seed, Stored: kept, Refound: set.Refounds()},
		Limits: limits, Demand: f.limits.demand, Suspensions: opts.Words}
	if set.Verdicts && f.avoid != nil {
		f.observations.enabled = true
		cfg.Observations, cfg.VerdictPercent, cfg.Member.Zone = &f.observations, set.VerdictPc, opts.Zone[:min(len(opts.Zone), member.MaxZoneBytes)]
	}
	push, err := f.rules.load(&cfg, set, opts, log)
	if err != nil {
		channel.Close()
		return nil, errors.Join(err, f.voterStore.close())
	}
	f.core, err = NewCore(cfg, 0)
	if err != nil {
		channel.Close()
		return nil, errors.Join(fmt.Errorf("fleet.state: %w", err), f.voterStore.close())
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

func random() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// Addr is where it listens.
func (f *Fleet) Addr() string { return f.channel.Addr() }

// Mode is the present mode. It may be asked from any goroutine.
func (f *Fleet) Mode() Mode { return Mode(f.mode.Load()) }

// deliver passes a frame to the actor. The mailbox has no bound of its own, so the bound is here.
func (f *Fleet) deliver(b []byte) {
	if f.box.Len() >= maxQueued {
		f.droppedFrames.Add(1)
		return
	}
	f.box.Put(func() { f.receive(b) })
}

func (f *Fleet) receive(b []byte) {
	frame, err := peer.Decode(b, f.settings.Fleet)
	if err == nil {
		f.step(Received{frame})
		return
	}
	f.refusedFrames.Add(1)
	// Each stranger is told once; there is room for a few of them.
	who := frame.Fleet + "/" + frame.From.Name
	if (errors.Is(err, peer.ErrFleet) || errors.Is(err, peer.ErrVersion)) && len(f.refusedPeers) < 64 && !f.refusedPeers[who] {
		f.refusedPeers[who] = true
		f.log.Warn().Err(err).Str("their fleet", frame.Fleet).Str("name", frame.From.Name).Str("addr", frame.From.Addr).Msg("peer refused")
	}
}

// ask runs a question on the actor and waits for its end, actorTimeout at the most.
func (f *Fleet) runOnActor(do func()) bool {
	answered := make(chan struct{})
	if !f.box.Put(func() { do(); close(answered) }) {
		return false
	}
	select {
	case <-answered:
		return true
	case <-time.After(actorTimeout):
		return false
	}
}

// Close leaves the fleet: the others are told, so that nobody has to detect anything.
func (f *Fleet) Close() { f.close(true) }

// Abandon ends without a word, for a process that goes on under this name.
func (f *Fleet) Abandon() { f.close(false) }

func (f *Fleet) close(tell bool) {
	f.closing.Do(func() {
		if tell {
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
