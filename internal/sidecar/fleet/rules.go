package fleet

import (
	"bytes"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/fleet/settings"
	"fieldrelay/internal/sidecar/quota"
	"fieldrelay/internal/sidecar/rules"
	"fieldrelay/internal/sidecar/store"
	"fieldrelay/internal/sidecar/versionskew"
)

// rulesState is the actor's state of the rules.
type rulesState struct {
	enabled          bool               // whether rules are on; set before the actor starts
	storeOptions     store.Options      // options of the store that has the edition in force; without a path nothing is stored
	pushedDigest     rules.Digest       // digest of the edition last read from the rules file
	fileLimits       quota.SettingsList // limits of the operator's file
	hasEditionLimits bool               // whether the edition in force has limits, which take precedence over fileLimits

	// The following metrics are read from any goroutine.
	editionNumber atomic.Int64 // number of the edition in force
	behind        atomic.Int64 // 1: the edition of the view is not in force here
}

const (
	editionFile        = "rules.kept"
	editionKey         = "edition"
	maxEditionBytes    = 2 * rules.MaxBytes
	editionOpenTimeout = 2 * time.Second
)

// load reads the edition to push and the stored one. Faults in the rules file are returned as an error, and the sidecar does not
// start; a stored edition that cannot be used is logged and ignored.
func (r *rulesState) load(cfg *CoreConfig, set settings.Settings, opts Options, log zerolog.Logger) (push *rules.Edition, err error) {
	r.enabled, r.fileLimits = opts.Rules.On, opts.Quotas
	if cfg.Rules, err = versionskew.Configure(opts.Rules); err != nil || cfg.Rules == nil {
		return nil, err
	}
	cfg.Member.Reads = cfg.Rules.Reads.String()
	if opts.Rules.File != "" {
		e, err := versionskew.ReadFile(opts.Rules.File)
		if err != nil {
			return nil, err
		}
		push, r.pushedDigest = &e, e.Digest()
	}
	if set.State == "" {
		return push, nil
	}
	r.storeOptions = store.Options{Path: filepath.Join(set.State, editionFile), Owner: set.Fleet + "/" + set.Name, MaxBytes: maxEditionBytes, LockTimeout: editionOpenTimeout}
	found, err := store.Edit(store.OSFileSystem{}, r.storeOptions, func(s store.Store) error {
		if text, ok := s.Get(editionKey); ok {
			return cbor.Unmarshal(text, &cfg.Rules.Stored)
		}
		return nil
	})
	if err != nil || found.Warning != "" {
		cfg.Rules.Stored = rules.Edition{}
		log.Warn().Err(err).Str("reason", found.Warning).Msg("stored edition of rules not used")
	}
	return push, nil
}

// store stores the edition in force, unless it is already stored.
func (r *rulesState) store(e rules.Edition) error {
	if r.storeOptions.Path == "" {
		return nil
	}
	text, err := cbor.Marshal(e)
	if err != nil {
		return err
	}
	_, err = store.Edit(store.OSFileSystem{}, r.storeOptions, func(s store.Store) error {
		if was, ok := s.Get(editionKey); ok && bytes.Equal(was, text) {
			return nil
		}
		var b store.Batch
		b.Put(editionKey, text)
		return s.Commit(&b)
	})
	return err
}

// updateFigures updates the metrics from the Core.
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

// enforceRules stores an edition and puts its limits in force; without any, those of the operator's file.
func (f *Fleet) enforceRules(a RulesEnforced) {
	if err := f.rules.store(a.Compiled.Edition); err != nil {
		f.log.Error().Err(err).Msg("edition of rules not stored")
	}
	f.log.Info().Uint64("edition", a.Compiled.Edition.Number).Str("digest", a.Compiled.Edition.Digest().String()).Msg("rules in force")
	all := f.rules.fileLimits
	if f.rules.hasEditionLimits = a.Compiled.Limits != nil; f.rules.hasEditionLimits {
		all = a.Compiled.Limits.Settings()
	}
	list := f.limits.set(all)
	f.box.Put(func() { f.step(SetLimits{list}) })
}
