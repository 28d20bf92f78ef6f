// Package front keeps the fronts of a daemon: where submitters reach it. Which
// there are can change while it serves, in two steps: Prepare binds what is
// new, and only Commit lets anything take effect.
package front

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/socket"
)

// Server takes jobs from submitters on one listener.
type Server interface {
	// Serve answers the connections of ln until Shutdown. It is called once, on a goroutine of its own.
	Serve(ln net.Listener) error
	// SetMaxConns bounds the connections that are open at a time. It may be called at any time, also before Serve.
	SetMaxConns(conns int)
	// TrimIdle closes connections that have carried no request for a while: their bytes are needed.
	TrimIdle()
	// Pause makes readiness say no and ends connections once idle, until Resume.
	Pause()
	Resume()
	// MarkNotReady makes readiness say no; all else goes on.
	MarkNotReady()
	// Shutdown closes the listener, ends idle connections and waits until all that was taken is answered.
	Shutdown(ctx context.Context) error
}

// Settings are the section front of the operator's file.
type Settings struct {
	HTTP []Listener `toml:"http"` // further HTTP listeners, beside the platform's
}

// Listener is a listener.
type Listener struct {
	Address     string `toml:"listen"`      // host:port, or unix: and a path
	Mode        string `toml:"mode"`        // of a Unix socket's file, in octal digits; 0600 if empty
	Connections int    `toml:"connections"` // that are open at a time; 64 if 0
}

const (
	unixPrefix          = "unix:"
	defaultMode         = 0o600
	defaultConnections  = 64
	backlogTimeout      = 500 * time.Millisecond // for what waits to be accepted at a front that goes away,
	backlogPollInterval = 5 * time.Millisecond   // looked at so often
	maxSocketPath       = 100                    // bytes; the system takes 107 (unix(7), sun_path)
)

// MaxConns is the number of connections that the listener may hold.
func (l *Listener) MaxConns() int {
	if l.Connections == 0 {
		return defaultConnections
	}
	return l.Connections
}

func (l *Listener) path() (string, bool) { return strings.CutPrefix(l.Address, unixPrefix) }

func (l *Listener) mode() (os.FileMode, error) {
	if l.Mode == "" {
		return defaultMode, nil
	}
	mode, err := strconv.ParseUint(l.Mode, 8, 32)
	if err == nil && mode > 0o777 {
		err = strconv.ErrRange
	}
	return os.FileMode(mode), err
}

// Check calls fault for each key whose value cannot be used. conns is the number of connections for all listeners
// together.
func (s *Settings) Check(conns int, fault func(key string, read any, allowed string)) {
	seen := map[string]bool{}
	left := conns
	for i := range s.HTTP {
		l, key := &s.HTTP[i], fmt.Sprintf("http[%d].", i)
		path, unix := l.path()
		_, port, err := net.SplitHostPort(l.Address)
		switch {
		case unix && (path == "" || len(path) > maxSocketPath):
			fault(key+"listen", l.Address, fmt.Sprintf("unix: and a path of up to %d bytes", maxSocketPath))
		case !unix && (err != nil || port == "" || port == "0"):
			fault(key+"listen", l.Address, "host:port, or unix: and a path")
		case seen[l.Address]:
			fault(key+"listen", l.Address, "an address that no other front has")
		}
		seen[l.Address] = true
		if _, err := l.mode(); err != nil || l.Mode != "" && !unix {
			fault(key+"mode", l.Mode, "up to three octal digits, for a Unix socket")
		}
		if left -= l.MaxConns(); l.Connections < 0 || left < 0 {
			fault(key+"connections", l.Connections, fmt.Sprintf("1 or more, of %d for all fronts beside the platform's", conns))
		}
	}
}

// Set is the fronts that serve. One goroutine uses it; Fronts may be called from any.
type Set struct {
	newServer    func(l Listener) Server
	log          zerolog.Logger
	inherited    map[string]net.Listener // handed over by the process before this one, by address
	drainTimeout time.Duration           // for what a front that goes away has taken

	failed chan error

	mu      sync.Mutex
	running map[string]*serving // by address
}

type serving struct {
	Server
	settings Listener
	ln       net.Listener
}

// NewSet makes a set that serves nothing yet. open makes a front for a listener. adopted are listeners that are open
// already; those that no settings name are closed by Settle.
func NewSet(open func(Listener) Server, adopted map[string]net.Listener, patience time.Duration, log zerolog.Logger) *Set {
	return &Set{newServer: open, log: log, inherited: adopted, drainTimeout: patience, running: map[string]*serving{}, failed: make(chan error, 1)}
}

// Failed receives the error of a front that cannot go on.
func (s *Set) Failed() <-chan error { return s.failed }

// Change is what Prepare has bound. Either Commit or Abort ends it.
type Change struct {
	set     *Set
	bound   []*serving
	kept    []Listener
	removed []*serving
}

// Prepare binds what want names and does not serve yet. If anything cannot be bound, nothing stays bound and nothing
// has changed.
func (s *Set) Prepare(want []Listener) (*Change, error) {
	c := &Change{set: s}
	named := map[string]bool{}
	for _, l := range want {
		if named[l.Address] {
			c.Abort()
			return nil, fmt.Errorf("front %s: named twice", l.Address)
		}
		named[l.Address] = true
		if r := s.running[l.Address]; r != nil {
			c.kept = append(c.kept, l)
			continue
		}
		ln := s.inherited[l.Address]
		if ln == nil {
			var err error
			if ln, err = Bind(l); err != nil {
				c.Abort()
				return nil, fmt.Errorf("front %s: %w", l.Address, err)
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

// Abort gives back what was bound.
func (c *Change) Abort() {
	for _, b := range c.bound {
		if c.set.inherited[b.settings.Address] == nil {
			b.ln.Close()
			b.removeSocketFile()
		}
	}
	c.bound = nil
}

// Commit lets the new fronts serve and drains those that go away, without waiting for that.
func (c *Change) Commit() {
	s := c.set
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range c.kept {
		r := s.running[l.Address]
		r.settings = l
		r.SetMaxConns(l.MaxConns())
		r.setMode(s.log)
	}
	for _, b := range c.bound {
		delete(s.inherited, b.settings.Address)
		b.Server = s.newServer(b.settings)
		b.SetMaxConns(b.settings.MaxConns())
		s.running[b.settings.Address] = b
		s.log.Info().Str("front", b.settings.Address).Stringer("address", b.ln.Addr()).Int("connections", b.settings.MaxConns()).Msg("front opened")
		go func() {
			if err := b.Serve(b.ln); err != nil && !errors.Is(err, net.ErrClosed) {
				select {
				case s.failed <- fmt.Errorf("front %s: %w", b.settings.Address, err):
				default:
				}
			}
		}()
	}
	for _, r := range c.removed {
		delete(s.running, r.settings.Address)
		r.removeSocketFile() // before its listener closes: none may bind in between and lose its file
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), s.drainTimeout)
			defer cancel()
			r.waitForBacklog()
			err := r.Shutdown(ctx)
			s.log.Info().Str("front", r.settings.Address).AnErr("left", err).Msg("front closed")
		}()
	}
}

// CloseUnused closes what was handed over and is not used.
func (s *Set) CloseUnused() {
	for address, ln := range s.inherited {
		ln.Close()
		delete(s.inherited, address)
	}
}

// Servers are the fronts that serve now, for Trim and the like.
func (s *Set) Servers() []Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Server
	for _, r := range s.running {
		all = append(all, r.Server)
	}
	return all
}

// Listeners are the listeners that serve now, by address.
func (s *Set) Listeners() map[string]net.Listener {
	all := map[string]net.Listener{}
	for address, r := range s.running {
		all[address] = r.ln
	}
	return all
}

// Shutdown ends all fronts at once and waits until all that was taken is answered. With handed over, the files of
// Unix sockets stay: another process serves there.
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

// Bind opens a listener. The file of a Unix socket that nobody listens at, left by a process that was killed, is
// replaced; one that another process serves is an error.
func Bind(l Listener) (net.Listener, error) {
	path, unix := l.path()
	if !unix {
		return net.Listen("tcp", l.Address)
	}
	mode, err := l.mode()
	if err != nil {
		return nil, err
	}
	switch info, err := os.Lstat(path); {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, err
	case info.Mode()&fs.ModeSocket == 0:
		return nil, fmt.Errorf("%s is there and is no socket", path)
	default:
		nc, err := net.DialTimeout("unix", path, time.Second)
		if err == nil {
			nc.Close()
			return nil, fmt.Errorf("%s: %w", path, syscall.EADDRINUSE)
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return nil, err
		}
	}
	// Under another name until its mode is set: nobody may connect in between.
	making := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(making)
	ln, err := net.Listen("unix", making)
	if err != nil {
		return nil, err
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	if err = os.Chmod(making, mode); err == nil {
		err = os.Rename(making, path)
	}
	if err != nil {
		ln.Close()
		os.Remove(making)
		return nil, err
	}
	return ln, nil
}

// waitForBacklog waits a moment until no connection waits to be accepted: what waits when a listener closes is reset.
func (s *serving) waitForBacklog() {
	for end := time.Now().Add(backlogTimeout); socket.Pending(s.ln) && time.Now().Before(end); {
		<-time.After(backlogPollInterval)
	}
}

func (s *serving) removeSocketFile() {
	if path, unix := s.settings.path(); unix {
		os.Remove(path)
	}
}

func (s *serving) setMode(log zerolog.Logger) {
	if path, unix := s.settings.path(); unix {
		if mode, err := s.settings.mode(); err == nil {
			if err := os.Chmod(path, mode); err != nil {
				log.Error().Err(err).Msg("mode of a socket not set")
			}
		}
	}
}
