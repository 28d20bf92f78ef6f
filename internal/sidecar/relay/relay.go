// Package relay hosts the decision module, package logic, in the sidecar. One actor owns the module, the
// requests and their attempts: it turns what clients, servers and the server list report into the module's
// events, and the module's actions into calls of servers and final answers. It knows no protocol and decides
// nothing itself, except that suspended and ejected servers, and those reported to drain, are shown to the
// module as draining. docs/architecture.md shows its place in a sidecar.
package relay

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/logic"
	"fieldrelay/internal/sidecar/mailbox"
)

// Relay is the actor. Its methods may be called from any goroutine and do not block, unless they say so.
type Relay struct {
	log       zerolog.Logger
	transport Transport
	list      ServerList
	mailbox   *mailbox.Mailbox
	epoch     time.Time     // start, with the monotonic clock
	epochUnix time.Duration // epoch in Unix time
	lastID    atomic.Uint64 // id of the request submitted last
	ready     atomic.Bool

	// Number of listed servers, and number of those that are suspended, ejected or reported to drain.
	listed, unavailable atomic.Int64

	// The fields below belong to the actor.

	cfg         logic.Config
	seed        uint64
	balancer    *logic.Balancer
	incarnation int  // generation of the balancer: timers set for an earlier generation are ignored
	restarting  bool // set while a replaced balancer has not yet received the list
	actions     []logic.Action
	observer    Observer // may be nil

	requests    map[uint64]*request
	recentCalls map[string]bool // call ids of open requests and of requests that ended within duplicateWindow
	servers     map[uint64]*server

	suspended        map[string]bool          // names of suspended servers
	ejected          map[string]bool          // names of ejected servers
	reportedDraining map[string]time.Duration // start times of servers reported to drain, by name
}

// New returns a relay whose decision module has the settings cfg and takes its random numbers from seed. It
// returns the error of logic.New.
func New(cfg logic.Config, seed uint64, transport Transport, log zerolog.Logger) (*Relay, error) {
	b, err := logic.New(cfg, seed)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &Relay{
		log: log, cfg: cfg, seed: seed, transport: transport, mailbox: mailbox.New(),
		epoch: now, epochUnix: time.Duration(now.UnixNano()), balancer: b,
		requests: map[uint64]*request{}, recentCalls: map[string]bool{}, servers: map[uint64]*server{},
		suspended: map[string]bool{},
	}, nil
}

// SetObserver registers an observer. It must be called before Start; without an observer no attempt is limited
// and no outcome is reported.
func (r *Relay) SetObserver(o Observer) { r.observer = o }

// Start runs the actor for the rest of the process.
func (r *Relay) Start(list ServerList) {
	r.list = list
	go r.mailbox.Run()
}

// Reconfigure applies the classes, the bound on attempts and the tenants of new settings to requests submitted
// from now on; open requests keep their class. done is called on the actor with the module's error; if that is
// not nil, nothing has changed.
func (r *Relay) Reconfigure(next logic.Config, done func(error)) {
	classes, attempts := next.Classes, next.Limits.MaxAttempts
	r.mailbox.Put(func() {
		err := r.balancer.SetClasses(classes, attempts)
		if err == nil {
			r.balancer.SetTenants(next.Tenants, next.OverShareValue)
			r.cfg.Classes, r.cfg.Limits.MaxAttempts = classes, attempts
			r.cfg.Tenants, r.cfg.OverShareValue = next.Tenants, next.OverShareValue
		}
		done(err)
	})
}

// SetTenantAllowance sets this sidecar's part of a tenant's allowance, in requests per second. A negative rate
// restores the initial equal part.
func (r *Relay) SetTenantAllowance(tenant string, rate float64) {
	r.mailbox.Put(func() { r.balancer.SetTenantAllowance(tenant, rate) })
}

// Ready reports whether at least one listed server accepts requests.
func (r *Relay) Ready() bool { return r.ready.Load() }

// moduleTime converts t to the module's clock: Unix time at the start plus the monotonic time since then. The
// clock never goes back and can be compared with the times in the list.
func (r *Relay) moduleTime(t time.Time) time.Duration { return r.epochUnix + t.Sub(r.epoch) }

func (r *Relay) now() time.Duration { return r.moduleTime(time.Now()) }
