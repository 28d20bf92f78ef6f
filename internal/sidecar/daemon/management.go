package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/frontend"
	"fieldrelay/internal/sidecar/metrics"
	"fieldrelay/internal/sidecar/relay"
)

// relayTimeout is how long a command waits for the relay. The client of the management address waits one second for its
// answer, however busy the sidecar is.
const relayTimeout = 600 * time.Millisecond

// firstListTimeout is the time after the start for which STATUS answers not ready while there is no server list.
const firstListTimeout = 2 * time.Second

// operations implements the commands of the management address. Its methods return within
// relayTimeout.
type operations struct {
	relay            *relay.Relay
	listeners        *frontend.Set
	metrics          *metrics.Registry
	fleet            *fleetClient
	fleetSuspensions *fleetSuspensions
	stored           *storedState // state stored for the next process
	log              zerolog.Logger

	servingSince atomic.Int64 // time from which clients are served, in Unix nanoseconds; 0: not yet served
	stopping     atomic.Bool
	paused       atomic.Bool
	mu           sync.Mutex // serializes changes of suspensions, so that they are stored in order
}

// Ready reports whether clients are served.
func (o *operations) Ready() bool {
	since := o.servingSince.Load()
	if since == 0 || o.stopping.Load() || o.paused.Load() {
		return false
	}
	return o.relay.Ready() || time.Since(time.Unix(0, since)) > firstListTimeout
}

// Suspend suspends a listed server at this sidecar.
func (o *operations) Suspend(id string) error {
	o.fleetSuspensions.setByHand(id, true)
	err := o.changeSuspension(func(done func([]string, error)) { o.relay.Suspend(id, true, done) })
	o.log.Info().Str("server", id).Err(err).Msg("suspend")
	if err != nil {
		o.fleetSuspensions.setByHand(id, false)
	}
	return err
}

// SuspendFleet suspends a listed server for the whole fleet, or restores it. At this sidecar it takes effect in any case.
func (o *operations) SuspendFleet(id string, suspended bool) error {
	f := o.fleet.running()
	if f == nil {
		return errFleetOff
	}
	if o.relay.IsListed(id) || !suspended {
		return f.SetSuspended(id, suspended)
	}
	return relay.ErrUnknownServer
}

// Restore ends a suspension by Suspend.
func (o *operations) Restore(id string) error {
	if o.fleetSuspensions.setByHand(id, false) {
		return errors.New("suspended for the fleet: RESTORE " + id + " fleet")
	}
	err := o.changeSuspension(func(done func([]string, error)) { o.relay.Restore(id, done) })
	o.log.Info().Str("server", id).Err(err).Msg("restore")
	return err
}

// changeSuspension requests a change from the relay and stores the suspensions that result from it. If the relay is too busy
// to answer within relayTimeout, the change is still in its mailbox and will take effect, so the caller gets no error.
func (o *operations) changeSuspension(request func(done func([]string, error))) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	type result struct {
		names []string
		err   error
	}
	answer := make(chan result, 1)
	request(func(names []string, err error) { answer <- result{names, err} })
	select {
	case r := <-answer:
		if r.err != nil {
			return r.err
		}
		o.store(r.names)
	case <-time.After(relayTimeout):
		o.log.Warn().Msg("suspension pending: no answer from the relay within its timeout")
	}
	return nil
}

// store stores, for the next process, which of the suspended names were suspended by hand.
func (o *operations) store(names []string) {
	if o.stored == nil {
		return
	}
	if err := o.stored.save(keySuspended, o.fleetSuspensions.byHandOnly(names)); err != nil {
		o.log.Error().Err(err).Msg("suspensions not stored")
	}
}

// loadSuspensions returns the names of servers that an earlier process has stored as suspended by hand.
func loadSuspensions(k *storedState) (names []string, err error) {
	if err := k.load(keySuspended, &names); err != nil {
		return nil, err
	}
	if len(names) > relay.MaxSuspended {
		return nil, fmt.Errorf("stored suspensions name %d execute nodes, at most %d are allowed", len(names), relay.MaxSuspended)
	}
	return names, nil
}

// Pause makes the readiness check fail and closes idle connections, until Resume.
func (o *operations) Pause() {
	o.paused.Store(true)
	for _, server := range o.listeners.Servers() {
		server.Pause()
	}
}

// Resume ends a pause.
func (o *operations) Resume() {
	o.paused.Store(false)
	for _, server := range o.listeners.Servers() {
		server.Resume()
	}
}

// platformSocket returns the listening socket that the platform keeps open across the processes of a sidecar.
func platformSocket(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "LB_SOCKET_FD")
	if f == nil {
		return nil, errors.New("LB_SOCKET_FD: no such descriptor")
	}
	defer func() { _ = f.Close() }() // the listener has a descriptor of its own
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("LB_SOCKET_FD: %w", err)
	}
	return ln, nil
}

// errFleetOff is the answer to a fleet command when no fleet is joined.
var errFleetOff = errors.New("fleet off")

// fleetLines returns the lines of a request to the fleet, or errFleetOff.
func (o *operations) fleetLines(request func(Fleet) ([]string, error)) ([]string, error) {
	f := o.fleet.running()
	if f == nil {
		return nil, errFleetOff
	}
	return request(f)
}

// Recover restarts the fleet's voter group from this process, after the loss of its majority.
func (o *operations) Recover() error {
	f := o.fleet.running()
	if f == nil {
		return errFleetOff
	}
	err := f.Recover()
	o.log.Warn().Err(err).Msg("recover")
	return err
}

// Quotas returns a line for each limit of the fleet.
func (o *operations) Quotas() ([]string, error) {
	return o.fleetLines(func(f Fleet) ([]string, error) { return f.Quotas(), nil })
}

// Rules returns lines that describe the rules in force.
func (o *operations) Rules() ([]string, error) { return o.fleetLines(Fleet.Rules) }

// Verdicts returns a line for each server whose health the fleet has decided on.
func (o *operations) Verdicts() ([]string, error) { return o.fleetLines(Fleet.Verdicts) }

// Peers returns a line for each member of the fleet.
func (o *operations) Peers() ([]string, error) { return o.fleetLines(Fleet.Peers) }

// Figures returns the metrics of the sidecar and of the fleet as StatsD lines.
func (o *operations) Figures() []string {
	lines := o.metrics.Lines()
	if f := o.fleet.running(); f != nil {
		lines = append(lines, f.Figures(metricsPrefix)...)
	}
	return lines
}
