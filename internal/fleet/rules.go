package fleet

import (
	"bytes"
	"errors"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"fieldrelay/internal/fleet/settings"
	"fieldrelay/internal/member"
	"fieldrelay/internal/peer"
	"fieldrelay/internal/quota"
	"fieldrelay/internal/rules"
	"fieldrelay/internal/skew"
	rulesettings "fieldrelay/internal/skew/settings"
	"fieldrelay/internal/store"
	"fieldrelay/internal/view"
)

// newSkew makes the checker of rules, which looks at members and views as they are when it is called.
func (c *Core) newSkew(cfg skew.Config, now time.Duration) {
	cfg.Name, cfg.Boot, cfg.Pace, cfg.Seed = c.cfg.Member.Name, c.cfg.Member.Boot, c.cfg.Member.Pace, c.cfg.Member.Seed
	cfg.Bound = view.Bound(c.cfg.View.Lease, c.cfg.View.Drift)
	cfg.View, cfg.Decided = c.views.View, c.views.Decided
	cfg.HoldsLease = func() bool { return c.views.HoldsLease(c.now) }
	cfg.Leader = func() string { _, leader := c.views.VoterGroup(); return leader }
	cfg.Members = c.rulesMembers
	c.skew = skew.New(cfg, now)
}

// readers are those whose understanding of rules may matter.
func (c *Core) rulesMembers() []skew.Member {
	self := c.member.Self()
	all := []skew.Member{{Name: self.Name, Boot: self.Boot, Reads: self.Reads, AbsentFor: -1}}
	for _, k := range c.member.Others() {
		switch {
		case k.Present():
			all = append(all, skew.Member{Name: k.Name, Boot: k.Boot, Reads: k.Reads, AbsentFor: -1})
		case k.State == member.Failed:
			all = append(all, skew.Member{Name: k.Name, Boot: k.Boot, Reads: k.Reads, AbsentFor: c.now - k.StateSince})
		}
	}
	return all
}

// Skew is the checker of rules; nil: no rules.
func (c *Core) Skew() *skew.Machine { return c.skew }

// rule runs the checker of rules and does what it wants.
func (c *Core) stepSkew(e skew.Event) {
	if c.skew == nil {
		return
	}
	for _, a := range c.skew.Step(c.now, e) {
		switch a := a.(type) {
		case skew.Send:
			if to, ok := c.member.Peer(a.To); ok && to.Addr != "" {
				c.transmit(to, peer.Frame{Rules: &a.Message}, false)
			}
		case skew.Gossip:
			c.gossip(peer.Frame{Rules: &a.Message})
		case skew.Propose:
			c.stepViews(view.ProposeRules{Rules: a.Rules})
		case skew.Enforce:
			c.out = append(c.out, RulesEnforced{a.Compiled})
		case skew.LogEntry:
			c.out = append(c.out, RulesLog{a})
		}
	}
}

// ruled is the actor's part in rules.
type rulesState struct {
	enabled          bool          // set before anybody asks
	storeOptions     store.Options // of the edition gone by; no path: it is not kept
	pushedDigest     rules.Digest  // of what was read from the file last
	fileLimits       quota.All     // of the operator's file
	hasEditionLimits bool          // an edition in force has limits

	editionNumber atomic.Int64 // of the edition gone by
	behind        atomic.Int64 // 1: this member does not go by its view's
}

const (
	editionFile        = "rules.kept"
	editionKey         = "edition"
	maxEditionBytes    = 2 * rules.MostBytes
	editionOpenTimeout = 2 * time.Second
)

// begin reads what is pushed from here and what was kept. A file with faults keeps the sidecar from being started; an
// edition that was kept and cannot be used is one line.
func (r *rulesState) load(cfg *CoreConfig, set settings.Settings, opts Options, log zerolog.Logger) (push *rules.Edition, err error) {
	r.enabled, r.fileLimits = opts.Rules.On, opts.Quotas
	if cfg.Rules, err = skew.Configure(opts.Rules); err != nil || cfg.Rules == nil {
		return nil, err
	}
	cfg.Member.Reads = cfg.Rules.Reads.String()
	if opts.Rules.File != "" {
		e, err := skew.ReadFile(opts.Rules.File)
		if err != nil {
			return nil, err
		}
		push, r.pushedDigest = &e, e.Digest()
	}
	if set.State == "" {
		return push, nil
	}
	r.storeOptions = store.Options{Path: filepath.Join(set.State, editionFile), Owner: set.Fleet + "/" + set.Name, Most: maxEditionBytes, Wait: editionOpenTimeout}
	found, err := store.Edit(store.Disk{}, r.storeOptions, func(s store.Store) error {
		if text, ok := s.Get(editionKey); ok {
			return cbor.Unmarshal(text, &cfg.Rules.Stored)
		}
		return nil
	})
	if err != nil || found.Why != "" {
		cfg.Rules.Stored = rules.Edition{}
		log.Warn().Err(err).Str("why", found.Why).Msg("edition kept before not taken")
	}
	return push, nil
}

// keep keeps the edition that is gone by.
func (r *rulesState) store(e rules.Edition) error {
	if r.storeOptions.Path == "" {
		return nil
	}
	text, err := cbor.Marshal(e)
	if err != nil {
		return err
	}
	_, err = store.Edit(store.Disk{}, r.storeOptions, func(s store.Store) error {
		if was, ok := s.Get(editionKey); ok && bytes.Equal(was, text) {
			return nil
		}
		var b store.Batch
		b.Put(editionKey, text)
		return s.Commit(&b)
	})
	return err
}

func (r *rulesState) log(log zerolog.Logger, l RulesLog) {
	level := zerolog.InfoLevel
	if l.Alert {
		level = zerolog.ErrorLevel
	}
	log.WithLevel(level).Str("rules", l.Text).Msg("rules")
}

// look keeps what the figures tell.
func (r *rulesState) updateFigures(c *Core) {
	if c.skew == nil {
		return
	}
	if e := c.skew.Edition(); e != nil {
		r.editionNumber.Store(int64(e.Edition.Number))
	}
	behind := int64(0)
	if c.skew.Behind() != "" {
		behind = 1
	}
	r.behind.Store(behind)
}

// enforceRules puts an edition in force here, whole.
func (f *Fleet) enforceRules(a RulesEnforced) {
	if err := f.rules.store(a.Compiled.Edition); err != nil {
		f.log.Error().Err(err).Msg("edition not kept for the next process")
	}
	f.log.Info().Uint64("edition", a.Compiled.Edition.Number).Str("digest", a.Compiled.Edition.Digest().String()).Msg("rules in force")
	all := f.rules.fileLimits
	if f.rules.hasEditionLimits = a.Compiled.Limits != nil; f.rules.hasEditionLimits {
		all = a.Compiled.Limits.Settings()
	}
	list := f.limits.set(all)
	f.box.Put(func() { f.step(SetLimits{list}) })
}

// CheckRules reads the file of rules of new settings, without any effect.
func (f *Fleet) CheckRules(next rulesettings.Settings) error {
	if next.File == "" {
		return nil
	}
	_, err := skew.ReadFile(next.File)
	return err
}

// SetRules pushes what the file says now, if that is not what it said last.
func (f *Fleet) SetRules(next rulesettings.Settings) {
	var e rules.Edition
	if next.File != "" {
		var err error
		if e, err = skew.ReadFile(next.File); err != nil { // it has changed since it was checked
			f.log.Error().Err(err).Msg("rules not pushed")
			return
		}
	}
	f.box.Put(func() {
		if next.File != "" && e.Digest() != f.rules.pushedDigest {
			f.rules.pushedDigest = e.Digest()
			f.step(PushRules{e})
		}
	})
}

// Rules has what there is to tell of rules.
func (f *Fleet) Rules() (lines []string, err error) {
	if !f.rules.enabled {
		return nil, errors.New("rules off")
	}
	if !f.runOnActor(func() { lines = f.core.Skew().Lines() }) {
		return nil, errors.New("fleet busy or closed")
	}
	return lines, nil
}
