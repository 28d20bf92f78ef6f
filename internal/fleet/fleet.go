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
	mostQueued = 4096                   // frames that wait for the actor; one over it is dropped
	farewell   = 100 * time.Millisecond // for the last datagrams and streams to leave
	askWait    = 500 * time.Millisecond // a caller of the management address waits no longer
)

// Fleet is the actor: a Core with clock and sockets.
type Fleet struct {
	log      zerolog.Logger
	channel  *peer.Channel
	box      *mailbox.Mailbox
	done     chan struct{}
	closing  sync.Once
	overflow atomic.Int64 // frames dropped since the mailbox was full
	limits   limits
	seen     seenHere
	refused  atomic.Int64 // frames of another fleet or version, or that are none
	mode     atomic.Int32
	number   atomic.Int64 // of the view that this member goes by
	members  atomic.Int64 // of that view
	avoided  atomic.Int64 // execute nodes, by verdict

	// The following belong to the actor.
	settings settings.Settings
	core     *Core
	keeper   *keeper
	origin   time.Time
	wake     *time.Timer
	changed  func(all []verdict.Statement)
	avoid    func(nodes []string)
	drains   func(news []verdict.Statement)
	allot    func(tenant string, rate float64)
	ruled    ruled
	strange  map[string]bool // senders refused, which are told in one line each
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
		strange: map[string]bool{}, changed: opts.Changed, avoid: opts.Avoid, drains: opts.Drains, allot: opts.Allot}
	f.seen.origin = f.origin
	f.limits.origin = f.origin
	f.limits.allowed = opts.Tenants
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
		if f.keeper, kept, why, err = openKeeper(set.State, set.Fleet, set.Name); err != nil {
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
		Limits: limits, Demand: f.limits.demand, Words: opts.Words}
	if set.Verdicts && f.avoid != nil {
		f.seen.on = true
		cfg.Seen, cfg.VerdictPct, cfg.Member.Zone = &f.seen, set.VerdictPc, opts.Zone[:min(len(opts.Zone), member.MaxZoneBytes)]
	}
	push, err := f.ruled.begin(&cfg, set, opts, log)
	if err != nil {
		channel.Close()
		return nil, errors.Join(err, f.keeper.close())
	}
	f.core, err = NewCore(cfg, 0)
	if err != nil {
		channel.Close()
		return nil, errors.Join(fmt.Errorf("fleet.state: %w", err), f.keeper.close())
	}
	f.wake = time.AfterFunc(time.Hour, func() { f.box.Put(func() { f.step(Tick{}) }) })
	log.Info().Str("fleet", set.Fleet).Str("name", set.Name).Str("listen", channel.Addr()).Strs("join", set.Join).
		Dur("pace", set.PaceTime()).Msg("fleet on")
	f.limits.tell(f.core.Holder())
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
	if f.box.Len() >= mostQueued {
		f.overflow.Add(1)
		return
	}
	f.box.Put(func() { f.got(b) })
}

func (f *Fleet) got(b []byte) {
	frame, err := peer.Decode(b, f.settings.Fleet)
	if err == nil {
		f.step(Got{frame})
		return
	}
	f.refused.Add(1)
	// Each stranger is told once; there is room for a few of them.
	who := frame.Fleet + "/" + frame.From.Name
	if (errors.Is(err, peer.ErrFleet) || errors.Is(err, peer.ErrVersion)) && len(f.strange) < 64 && !f.strange[who] {
		f.strange[who] = true
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
			if err := f.keeper.save(a.Change); err != nil {
				// What was not kept must not be answered for: without its state this process is no voter.
				f.log.Error().Err(err).Msg("voter's state not kept: the fleet is left")
				go f.Abandon()
				return
			}
		case Adopted:
			f.number.Store(int64(a.View.ID.Number))
			f.members.Store(int64(len(a.View.Members)))
			f.log.Info().Stringer("view", a.View.ID).Int("members", len(a.View.Members)).Str("sum", fmt.Sprintf("%x", a.View.Sum())).Msg("view adopted")
		case Decided:
			f.log.Info().Stringer("view", a.View.ID).Int("members", len(a.View.Members)).Str("sum", fmt.Sprintf("%x", a.View.Sum())).Msg("view decided")
		case WordsChanged:
			if f.changed != nil {
				f.changed(a.All)
			}
		case DrainsChanged:
			if f.drains != nil {
				f.drains(a.News)
			}
		case Avoid:
			f.avoided.Store(int64(len(a.Nodes)))
			f.avoid(a.Nodes)
		case VerdictLine:
			f.log.Info().Str("node", a.Node).Str("verdict", a.Event).Strs("observers", a.Observers).Dur("for", a.Term).Msg("verdict")
		case PartsChanged:
			f.limits.tell(f.core.Holder())
		case RulesForced:
			f.goBy(a)
		case RulesLine:
			f.ruled.line(f.log, a)
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
			f.log.WithLevel(level).Stringer("mode", a.Mode).Stringer("was", a.Was).Str("why", a.Why).Msg("fleet mode")
		}
	}
	f.ruled.look(f.core)
	if f.allot != nil {
		f.limits.allotted(f.allot) // also once a lease has run out: nobody says so
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

// ask runs a question on the actor and waits for its end, askWait at the most.
func (f *Fleet) ask(do func()) bool {
	answered := make(chan struct{})
	if !f.box.Put(func() { do(); close(answered) }) {
		return false
	}
	select {
	case <-answered:
		return true
	case <-time.After(askWait):
		return false
	}
}

// Peers has a line for each member that is known, this one first: name, state, incarnation, last heard, address, the view
// in which it belongs to those that this process goes by, boot, and whether it votes or leads.
func (f *Fleet) Peers() ([]string, error) {
	var lines []string
	ok := f.ask(func() {
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
		figure("mode", "g", int64(f.Mode())), figure("view", "g", f.number.Load()), figure("members", "g", f.members.Load()),
		figure("datagrams_sent", "c", c.SentDatagrams), figure("frames_streamed", "c", c.SentStreamed), figure("bytes_sent", "c", c.SentBytes),
		figure("frames_got", "c", c.GotFrames), figure("bytes_got", "c", c.GotBytes),
		figure("rules", "g", f.ruled.number.Load()), figure("rules_behind", "g", f.ruled.behind.Load()),
		figure("nodes_avoided", "g", f.avoided.Load()), figure("let", "c", let), figure("turned_back", "c", refused),
		figure("frames_dropped", "c", c.Dropped+f.overflow.Load()), figure("frames_refused", "c", f.refused.Load()+c.Refused),
	}
}

// Recover founds a new group of voters with this process alone, by the operator's word.
func (f *Fleet) Recover() error {
	if !f.ask(func() { f.step(Recover{}) }) {
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
	if !f.seen.on {
		return nil, errors.New("fleet.verdicts off")
	}
	if !f.ask(func() { lines = f.core.Judge().Lines(time.Since(f.origin)) }) {
		return nil, errors.New("fleet busy or closed")
	}
	return lines, nil
}

// Outcome takes in what came of a claim at an execute node, from any goroutine.
func (f *Fleet) Outcome(node string, failed bool, took time.Duration) {
	f.seen.outcome(node, failed, took)
}

// Drains takes in that this sidecar's list has an execute node, by its start, as draining or gone; or no longer so.
func (f *Fleet) Drains(node string, since time.Duration, drains bool) {
	if f.seen.on {
		f.box.Put(func() { f.step(Drains{Node: node, Since: since, Drains: drains}) })
	}
}

// Listed takes in which execute nodes take claims, likewise.
func (f *Fleet) Listed(nodes []verdict.Node) {
	f.seen.list(nodes)
	if list, changed := f.limits.list(nodes); changed {
		f.box.Put(func() { f.step(Limits{list}) })
	}
}

// Claim lets an attempt at an execute node through the limits of the fleet, or not; done, if there is one, is called once
// it has ended. Nothing is waited for.
func (f *Fleet) Claim(node, class, tenant string, again bool, warm float64, ends time.Time) (done func(), ok bool) {
	return f.limits.claim(node, class, tenant, again, warm, ends)
}

// Say tells the whole fleet that an execute node is suspended, or restored.
func (f *Fleet) Say(node string, suspended bool) error {
	if !f.ask(func() { f.step(Say{Node: node, Suspended: suspended}) }) {
		return errors.New("fleet busy or closed")
	}
	return nil
}

// SetQuotas replaces the limits of the fleet.
func (f *Fleet) SetQuotas(all quota.All) {
	f.box.Put(func() {
		f.ruled.tables = all
		if !f.ruled.limits { // those of the edition in force come before the file's own
			f.step(Limits{f.limits.set(all)})
		}
	})
}

// SetTenants takes over the tenants of new settings.
func (f *Fleet) SetTenants(tenants []logic.Tenant) {
	f.box.Put(func() { f.step(Limits{f.limits.allow(tenants)}) })
}

// Set takes over settings of which only join and dial differ.
func (f *Fleet) Set(next settings.Settings) {
	f.box.Put(func() {
		f.settings.Join, f.settings.Dial = next.Join, next.Dial
		f.step(Change{Join: next.Join})
	})
}

// Close leaves the fleet: the others are told, so that nobody has to detect anything.
func (f *Fleet) Close() { f.close(true) }

// Abandon ends without a word, for a process that goes on under this name.
func (f *Fleet) Abandon() { f.close(false) }

func (f *Fleet) close(tell bool) {
	f.closing.Do(func() {
		if tell {
			f.ask(func() { f.step(Leave{}) })
			<-time.After(farewell)
		}
		f.box.Put(func() { f.wake.Stop() })
		f.channel.Close()
		f.box.Close()
		<-f.done
		f.wake.Stop()
		if err := f.keeper.close(); err != nil {
			f.log.Error().Err(err).Msg("voter's state not closed")
		}
	})
}
