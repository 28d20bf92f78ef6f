// Package frontend manages the listeners at which clients reach the sidecar, and a server for each. The set of
// listeners can change while they serve, in two steps: Prepare binds new listeners, and Commit puts the whole change
// into effect. The package knows no protocol: its servers are those of package frontend/http.
package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/socket"
)

// A removed listener is shut down once its backlog is accepted, or after backlogTimeout. The backlog is checked every
// backlogPollInterval.
const (
	backlogTimeout      = 500 * time.Millisecond
	backlogPollInterval = 5 * time.Millisecond
)

// Server serves the clients of one listener. Its methods may be called from any goroutine.
type Server interface {
	// Serve serves the connections of ln until Shutdown. It is called once.
	Serve(ln net.Listener) error
	// SetMaxConns bounds the number of open connections. It may be called before Serve.
	SetMaxConns(conns int)
	// TrimIdle closes the connections that have carried no request for a while, to free memory.
	TrimIdle()
	// Pause makes the readiness check fail and closes idle connections, until Resume.
	Pause()
	// Resume ends a pause.
	Resume()
	// MarkNotReady makes the readiness check fail; requests are still served.
	MarkNotReady()
	// Shutdown closes the listener and the idle connections and waits until all requests are answered, or returns the
	// error of ctx.
	Shutdown(ctx context.Context) error
}

// ListenerError is the error of a listener that cannot be opened or has failed while serving.
type ListenerError struct {
	Address string // listener address as written in the settings
	Err     error
}

// Error returns the cause, preceded by the listener's address as written in the settings.
func (e *ListenerError) Error() string { return fmt.Sprintf("front %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *ListenerError) Unwrap() error { return e.Err }

// errNamedTwice is the cause for an address that occurs twice in the settings.
var errNamedTwice = errors.New("named twice")

// Set is the set of active listeners. It is for use by one goroutine, except that Servers may be called from any.
type Set struct {
	newServer    func(Listener) Server
	log          zerolog.Logger
	inherited    map[string]net.Listener // listeners handed over by the previous process and not used yet, by address
	drainTimeout time.Duration           // bounds the wait for the requests at a removed listener
	failed       chan error

	mu      sync.Mutex          // guards running against concurrent calls of Servers
	running map[string]*serving // active listeners by address
}

// serving is a listener and its server.
type serving struct {
	Server
	settings Listener
	ln       net.Listener
}

// NewSet returns a set without active listeners. newServer creates the server of a listener. inherited holds listeners
// that are already open, by address; CloseUnused closes those that the settings do not use. drainTimeout bounds the
// wait for the requests at a removed listener.
func NewSet(newServer func(Listener) Server, inherited map[string]net.Listener, drainTimeout time.Duration,
	log zerolog.Logger) *Set {
	return &Set{newServer: newServer, log: log, inherited: inherited, drainTimeout: drainTimeout,
		running: map[string]*serving{}, failed: make(chan error, 1)}
}

// Failed returns a channel that receives the *ListenerError of the first listener that fails while serving.
func (s *Set) Failed() <-chan error { return s.failed }

// Change is a prepared change of the set. It must be ended by either Commit or Abort.
type Change struct {
	set       *Set
	bound     []*serving // new listeners, bound but not serving yet
	remaining []Listener // new settings of the listeners that stay
	removed   []*serving // listeners to remove
}

// Prepare binds the wanted listeners that are not active yet. If it returns an error, which is a *ListenerError, no
// listener is left bound and the set is unchanged.
func (s *Set) Prepare(want []Listener) (*Change, error) {
	c := &Change{set: s}
	named := map[string]bool{}
	for _, l := range want {
		if named[l.Address] {
			c.Abort()
			return nil, &ListenerError{l.Address, errNamedTwice}
		}
		named[l.Address] = true
		if s.running[l.Address] != nil {
			c.remaining = append(c.remaining, l)
			continue
		}
		ln := s.inherited[l.Address]
		if ln == nil {
			var err error
			if ln, err = Bind(l); err != nil {
				c.Abort()
				return nil, &ListenerError{l.Address, err}
			}
		}
		c.bound = append(c.bound, &serving{settings: l, ln: ln})
	}
	for address, r := range s.running {
		if !named[address] {
			c.removed = append(c.removed, r)
		}
	}
	return c, nil
}

// Abort closes the newly bound listeners, except inherited ones.
func (c *Change) Abort() {
	for _, b := range c.bound {
		if c.set.inherited[b.settings.Address] == nil {
			_ = b.ln.Close() // no connection has been served
			b.removeSocketFile()
		}
	}
	c.bound = nil
}

// Commit starts serving the new listeners and drains the removed ones. It does not wait for the drains.
func (c *Change) Commit() {
	s := c.set
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range c.remaining {
		r := s.running[l.Address]
		r.settings = l
		r.SetMaxConns(l.MaxConns())
		r.setMode(s.log)
	}
	for _, b := range c.bound {
		s.open(b)
	}
	for _, r := range c.removed {
		delete(s.running, r.settings.Address)
		r.removeSocketFile() // before the listener closes, since afterwards another listener may own a file of that name
		go s.drain(r)
	}
}

// open starts serving a bound listener. s.mu must be held.
func (s *Set) open(b *serving) {
	delete(s.inherited, b.settings.Address)
	b.Server = s.newServer(b.settings)
	b.SetMaxConns(b.settings.MaxConns())
	s.running[b.settings.Address] = b
	s.log.Info().Str("listener", b.settings.Address).Stringer("address", b.ln.Addr()).
		Int("max_conns", b.settings.MaxConns()).Msg("listener opened")
	go func() {
		if err := b.Serve(b.ln); err != nil && !errors.Is(err, net.ErrClosed) {
			select {
			case s.failed <- &ListenerError{b.settings.Address, err}:
			default: // an earlier failure is reported already, and ends the process
			}
		}
	}()
}

// drain shuts down a removed listener.
func (s *Set) drain(r *serving) {
	ctx, cancel := context.WithTimeout(context.Background(), s.drainTimeout)
	defer cancel()
	r.waitForBacklog()
	err := r.Shutdown(ctx)
	s.log.Info().Str("listener", r.settings.Address).Err(err).Msg("listener closed")
}

// CloseUnused closes the inherited listeners that no committed change has used.
func (s *Set) CloseUnused() {
	for address, ln := range s.inherited {
		_ = ln.Close() // nothing depends on the result
		delete(s.inherited, address)
	}
}

// Servers returns the servers of the active listeners.
func (s *Set) Servers() []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Server
	for _, r := range s.running {
		all = append(all, r.Server)
	}
	return all
}

// Listeners returns the active listeners by address.
func (s *Set) Listeners() map[string]net.Listener {
	all := map[string]net.Listener{}
	for address, r := range s.running {
		all[address] = r.ln
	}
	return all
}

// Shutdown shuts down all servers concurrently, waits until all requests are answered, and returns the first error. If
// handedOver is set, the files of Unix sockets stay, since another process now serves these sockets.
func (s *Set) Shutdown(ctx context.Context, handedOver bool) error {
	ended := make(chan error, len(s.running))
	for _, r := range s.running {
		if !handedOver {
			r.removeSocketFile()
		}
		go func() { ended <- r.Shutdown(ctx) }()
	}
	var first error
	for range s.running {
		if err := <-ended; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// waitForBacklog waits until no connection waits to be accepted: closing a listener resets the connections in its
// backlog.
func (s *serving) waitForBacklog() {
	for end := time.Now().Add(backlogTimeout); socket.Pending(s.ln) && time.Now().Before(end); {
		<-time.After(backlogPollInterval)
	}
}

func (s *serving) removeSocketFile() {
	if path, unix := s.settings.path(); unix {
		_ = os.Remove(path) // if the file stays, the next Bind replaces it
	}
}

// setMode sets the mode of a Unix socket's file to that of the current settings.
func (s *serving) setMode(log zerolog.Logger) {
	path, unix := s.settings.path()
	mode, err := s.settings.mode()
	if !unix || err != nil {
		return
	}
	if err := os.Chmod(path, mode); err != nil {
		log.Error().Err(err).Str("path", path).Msg("setting the mode of the socket file failed")
	}
}
