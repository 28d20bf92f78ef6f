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

	"fieldrelay/internal/front"
	"fieldrelay/internal/metrics"
	"fieldrelay/internal/relay"
)

// What the management address waits for the relay, at most: a caller waits a second, however busy the sidecar is.
const relayTimeout = 600 * time.Millisecond

// firstListTimeout is how long STATUS waits for the first list before it says yes all the same.
const firstListTimeout = 2 * time.Second

// operations carries out the commands of the management address. Its methods come back within relayTimeout.
type operations struct {
	relay            *relay.Relay
	listeners        *front.Set
	metrics          *metrics.Registry
	fleet            *fleetClient
	fleetSuspensions *fleetSuspensions
	stored           *storedState // for the process after this one
	log              zerolog.Logger

	servingSince atomic.Int64 // Unix nanoseconds since fronts take clients; 0: not yet
	stopping     atomic.Bool
	paused       atomic.Bool
	mu           sync.Mutex // one suspension at a time, so that the file is written in order
}

func (o *operations) Ready() bool {
	since := o.servingSince.Load()
	if since == 0 || o.stopping.Load() || o.paused.Load() {
		return false
	}
	return o.relay.Ready() || time.Since(time.Unix(0, since)) > firstListTimeout
}

func (o *operations) Suspend(id string) error {
	o.fleetSuspensions.setByHand(id, true)
	err := o.changeSuspension(func(done func([]string, error)) { o.relay.Suspend(id, true, done) })
	o.log.Info().Str("node", id).AnErr("refused", err).Msg("suspend")
	if err != nil {
		o.fleetSuspensions.setByHand(id, false)
	}
	return err
}

// SuspendFleet suspends a listed execute node for the whole fleet, or restores it. It holds here in any case.
func (o *operations) SuspendFleet(id string, suspended bool) error {
	f := o.fleet.running()
	if f == nil {
		return errors.New("fleet off")
	}
	if o.relay.IsListed(id) || !suspended {
		return f.Say(id, suspended)
	}
	return relay.ErrUnknownServer
}

func (o *operations) Restore(id string) error {
	if o.fleetSuspensions.setByHand(id, false) {
		return errors.New("suspended for the fleet: RESTORE " + id + " fleet")
	}
	err := o.changeSuspension(func(done func([]string, error)) { o.relay.Restore(id, done) })
	o.log.Info().Str("node", id).AnErr("refused", err).Msg("restore")
	return err
}

// change asks the relay and keeps what it then suspends. A relay too busy to answer in time has the change in its
// mailbox all the same: it takes effect, and the caller hears yes.
func (o *operations) changeSuspension(ask func(done func([]string, error))) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	type result struct {
		names []string
		err   error
	}
	told := make(chan result, 1)
	ask(func(names []string, err error) { told <- result{names, err} })
	select {
	case r := <-told:
		if r.err != nil {
			return r.err
		}
		o.store(r.names)
	case <-time.After(relayTimeout):
		o.log.Warn().Msg("relay slow to take a suspension: answered before it was done")
	}
	return nil
}

// keep writes the names suspended now where the process after this one finds them.
func (o *operations) store(names []string) {
	if o.stored == nil {
		return
	}
	if err := o.stored.save(keySuspended, o.fleetSuspensions.byHandOnly(names)); err != nil {
		o.log.Error().Err(err).Msg("suspensions not kept for the next process")
	}
}

// suspensions reads what the process before this one kept. None kept is none.
func loadSuspensions(k *storedState) (names []string, err error) {
	if err := k.load(keySuspended, &names); err != nil {
		return nil, err
	}
	if len(names) > relay.MaxSuspended {
		return nil, fmt.Errorf("%d suspended execute nodes, %d at most", len(names), relay.MaxSuspended)
	}
	return names, nil
}

func (o *operations) Pause() {
	o.paused.Store(true)
	for _, f := range o.listeners.Servers() {
		f.Pause()
	}
}

func (o *operations) Resume() {
	o.paused.Store(false)
	for _, f := range o.listeners.Servers() {
		f.Resume()
	}
}

// platformSocket takes the listening socket that the platform holds for all processes of a sidecar.
func platformSocket(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "LB_SOCKET_FD")
	if f == nil {
		return nil, errors.New("LB_SOCKET_FD: no such descriptor")
	}
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, errors.New("LB_SOCKET_FD: " + err.Error())
	}
	return ln, nil
}
