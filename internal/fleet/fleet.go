package fleet

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/fleet/options"
	"fieldrelay/internal/fleet/settings"
	"fieldrelay/internal/mailbox"
	"fieldrelay/internal/member"
	"fieldrelay/internal/peer"
	"fieldrelay/internal/quota"
	"fieldrelay/internal/verdict"
	"fieldrelay/internal/view"
	"fieldrelay/logic"
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

// step runs the Core and does what it wants.
func (f *Fleet) step(e Event) {
	for _, a := range f.core.Step(time.Since(f.origin), e) {
		switch a := a.(type) {
		case Transmit:
			f.transmit(a)
		case MemberChanged:
			f.log.Info().Str("member", a.Record.Name).Str("addr", a.Record.Addr).Stringer("state", a.Record.State).Stringer("was", a.Was).
				Uint64("incarnation", a.Record.Incarnation).Bool("new", a.New).Str("by", a.Record.SuspectedBy).Msg("member changed")
		case Save:
			if err := f.voterStore.save(a.Change); err != nil {
				// What was not kept must not be answered for: without its state this process is no voter.
				f.log.Error().Err(err).Msg("voter's state not kept: the fleet is left")
				go f.Abandon()
				return
			}
		case Adopted:
			f.viewNumber.Store(int64(a.View.ID.Number))
			f.viewMembers.Store(int64(len(a.View.Members)))
			f.log.Info().Stringer("view", a.View.ID).Int("members", len(a.View.Members)).Str("sum", fmt.Sprintf("%x", a.View.Sum())).Msg("view adopted")
		case Decided:
			f.log.Info().Stringer("view", a.View.ID).Int("members", len(a.View.Members)).Str("sum", fmt.Sprintf("%x", a.View.Sum())).Msg("view decided")
		case SuspensionsChanged:
			if f.changed != nil {
				f.changed(a.All)
			}
		case DrainingChanged:
			if f.drains != nil {
				f.drains(a.Updates)
			}
		case Avoid:
			f.avoidedNodes.Store(int64(len(a.Nodes)))
			f.avoid(a.Nodes)
		case VerdictLog:
			f.log.Info().Str("node", a.Node).Str("verdict", a.Event).Strs("observers", a.Observers).Dur("for", a.Term).Msg("verdict")
		case QuotaSharesChanged:
			f.limits.updateShares(f.core.Holder())
		case RulesEnforced:
			f.enforceRules(a)
		case RulesLog:
			f.rules.log(f.log, a)
		case Notice:
			level := zerolog.InfoLevel
			if a.Alert {
				level = zerolog.ErrorLevel
			}
			f.log.WithLevel(level).Msg(a.Text)
		case ModeChanged:
			f.mode.Store(int32(a.Mode))
			level := zerolog.InfoLevel
			if a.Mode == Yielded {
				level = zerolog.ErrorLevel
				if f.avoid != nil { // nothing more is decided here
					f.avoid(nil)
				}
			}
			f.log.WithLevel(level).Stringer("mode", a.Mode).Stringer("was", a.Was).Str("why", a.Reason).Msg("fleet mode")
		}
	}
	f.rules.updateFigures(f.core)
	if f.allot != nil {
		f.limits.reportAllotments(f.allot) // also once a lease has run out: nobody says so
	}
	f.wake.Reset(max(0, f.core.Next()-time.Since(f.origin)))
}

func (f *Fleet) transmit(t Transmit) {
	b, err := peer.Encode(t.Frame)
	if err != nil {
		f.log.Error().Err(err).Msg("frame not sent")
		return
	}
	to := cmp.Or(f.settings.Dial[t.To.Name], t.To.Addr)
	if t.Stream || len(b) > peer.MostDatagram {
		f.channel.Stream(to, b)
		return
	}
	if err := f.channel.Datagram(to, b); err != nil {
		f.log.Debug().Err(err).Str("to", to).Msg("datagram not sent")
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

// Peers has a line for each member that is known, this one first: name, state, incarnation, last heard, address, the view
// in which it belongs to those that this process goes by, boot, and whether it votes or leads.
func (f *Fleet) Peers() ([]string, error) {
	var lines []string
	ok := f.runOnActor(func() {
		now, self := time.Since(f.origin), f.core.Members().Self()
		v, has := f.core.Views().View()
		in := func(name string, boot uint64) string {
			if m, ok := v.Find(name); has && ok && m.Boot == boot {
				return v.ID.String()
			}
			return "none"
		}
		group, leader := f.core.Views().VoterGroup()
		role := func(name string) string {
			if name == self.Name && !f.core.Views().VoteCounts() {
				return "" // one of its name did, before it was started anew, and may still be counted in its place
			}
			for _, voter := range group.Voters {
				if voter.Name == name && name == leader {
					return " leads"
				} else if voter.Name == name {
					return " votes"
				}
			}
			return ""
		}
		held := max(0, f.core.Views().LeaseEnd()-now)
		lines = append(lines, fmt.Sprintf("%s self inc=%d heard=0ms addr=%s view=%s mode=%s held=%dms boot=%x%s", self.Name, self.Incarnation, self.Addr,
			in(self.Name, self.Boot), strings.ReplaceAll(f.core.Mode().String(), " ", "-"), held.Milliseconds(), self.Boot, role(self.Name)))
		for _, k := range f.core.Members().Others() {
			heard := "never"
			if k.LastContact >= 0 {
				heard = fmt.Sprintf("%dms", (now - k.LastContact).Milliseconds())
			}
			lines = append(lines, fmt.Sprintf("%s %s inc=%d heard=%s addr=%s view=%s boot=%x%s", k.Name, k.State, k.Incarnation, heard, k.Addr,
				in(k.Name, k.Boot), k.Boot, role(k.Name)))
		}
	})
	if !ok {
		return nil, errors.New("fleet busy or closed")
	}
	return lines, nil
}

// Figures are the StatsD lines of the fleet, without line ends. Nothing is waited for: what the actor alone knows is as
// old as its last step.
func (f *Fleet) Figures(prefix string) []string {
	c := f.channel.Counts()
	let, refused := f.limits.counts()
	figure := func(name, kind string, v int64) string {
		return strings.Join([]string{prefix, ".fleet.", name, ":", fmt.Sprint(v), "|", kind}, "")
	}
	return []string{
		figure("mode", "g", int64(f.Mode())), figure("view", "g", f.viewNumber.Load()), figure("members", "g", f.viewMembers.Load()),
		figure("datagrams_sent", "c", c.SentDatagrams), figure("frames_streamed", "c", c.SentStreamed), figure("bytes_sent", "c", c.SentBytes),
		figure("frames_got", "c", c.GotFrames), figure("bytes_got", "c", c.GotBytes),
		figure("rules", "g", f.rules.editionNumber.Load()), figure("rules_behind", "g", f.rules.behind.Load()),
		figure("nodes_avoided", "g", f.avoidedNodes.Load()), figure("let", "c", let), figure("turned_back", "c", refused),
		figure("frames_dropped", "c", c.Dropped+f.droppedFrames.Load()), figure("frames_refused", "c", f.refusedFrames.Load()+c.Refused),
	}
}

// Recover founds a new group of voters with this process alone, by the operator's word.
func (f *Fleet) Recover() error {
	if !f.runOnActor(func() { f.step(Recover{}) }) {
		return errors.New("fleet busy or closed")
	}
	return nil
}

// Admit lets a request through the limits of the fleet, or tells after what time to come again. done is called once
// when the request has ended; ends is when that is at the latest. Nothing is waited for.
func (f *Fleet) Admit(class, tenant string, again bool, ends time.Time) (done func(), after time.Duration, ok bool) {
	return f.limits.admit(class, tenant, again, ends)
}

// Quotas has a line for each limit of the fleet.
func (f *Fleet) Quotas() []string { return f.limits.lines() }

// Verdicts has a line for each execute node that is spoken of.
func (f *Fleet) Verdicts() (lines []string, err error) {
	if !f.observations.enabled {
		return nil, errors.New("fleet.verdicts off")
	}
	if !f.runOnActor(func() { lines = f.core.Evaluator().Lines(time.Since(f.origin)) }) {
		return nil, errors.New("fleet busy or closed")
	}
	return lines, nil
}

// Outcome takes in what came of a claim at an execute node, from any goroutine.
func (f *Fleet) Outcome(node string, failed bool, took time.Duration) {
	f.observations.count(node, failed, took)
}

// SetDraining takes in that this sidecar's list has an execute node, by its start, as draining or gone; or no longer so.
func (f *Fleet) Drains(node string, since time.Duration, drains bool) {
	if f.observations.enabled {
		f.box.Put(func() { f.step(SetDraining{Node: node, Since: since, Draining: drains}) })
	}
}

// Listed takes in which execute nodes take claims, likewise.
func (f *Fleet) Listed(nodes []verdict.Node) {
	f.observations.setNodes(nodes)
	if list, changed := f.limits.setNodes(nodes); changed {
		f.box.Put(func() { f.step(SetLimits{list}) })
	}
}

// Claim lets an attempt at an execute node through the limits of the fleet, or not; done, if there is one, is called once
// it has ended. Nothing is waited for.
func (f *Fleet) Claim(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool) {
	return f.limits.claim(node, class, tenant, again, warm, ends)
}

// SetSuspended tells the whole fleet that an execute node is suspended, or restored.
func (f *Fleet) Say(node string, suspended bool) error {
	if !f.runOnActor(func() { f.step(SetSuspended{Node: node, Suspended: suspended}) }) {
		return errors.New("fleet busy or closed")
	}
	return nil
}

// SetQuotas replaces the limits of the fleet.
func (f *Fleet) SetQuotas(all quota.All) {
	f.box.Put(func() {
		f.rules.fileLimits = all
		if !f.rules.hasEditionLimits { // those of the edition in force come before the file's own
			f.step(SetLimits{f.limits.set(all)})
		}
	})
}

// SetTenants takes over the tenants of new settings.
func (f *Fleet) SetTenants(tenants []logic.Tenant) {
	f.box.Put(func() { f.step(SetLimits{f.limits.setTenants(tenants)}) })
}

// Set takes over settings of which only join and dial differ.
func (f *Fleet) Set(next settings.Settings) {
	f.box.Put(func() {
		f.settings.Join, f.settings.Dial = next.Join, next.Dial
		f.step(SetSeeds{Join: next.Join})
	})
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
