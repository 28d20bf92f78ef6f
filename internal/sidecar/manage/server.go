package manage

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Handler carries out commands. Each method must come back at once: it may not wait for the data path.
type Handler interface {
	// Ready answers STATUS: whether the process takes clients.
	Ready() bool
	// Figures answers METRICS: StatsD lines without their ends.
	Figures() []string
	// Suspend carries out SUSPEND ID; an unknown id is an error.
	Suspend(id string) error
	// Restore carries out RESTORE ID; an unknown id is an error.
	Restore(id string) error
	// Pause sends clients away.
	Pause()
	// Resume takes clients again.
	Resume()
	// Peers answers PEERS: a line a member of the fleet; an error where there is none.
	Peers() ([]string, error)
	// Quotas answers QUOTAS: a line a limit of the fleet; an error where there is none.
	Quotas() ([]string, error)
	// Verdicts answers VERDICTS: a line for each execute node that is spoken of; an error where no verdicts are made.
	Verdicts() ([]string, error)
	// Rules answers RULES: the rules in force and those on their way; an error where there are none.
	Rules() ([]string, error)
	// SuspendFleet carries out SUSPEND ID fleet and RESTORE ID fleet: for all members; an error where there is no fleet.
	SuspendFleet(id string, suspended bool) error
	// Recover carries out RECOVER: the fleet's voters begin anew with this process; an error where there is no fleet.
	Recover() error
}

const (
	// A caller has this long to send its line: one that sends nothing holds one place, not the address.
	readTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	// maxConnections bounds the connections served at once. One over it is closed unread.
	maxConnections = 64
)

// Server answers commands on one listener.
type Server struct {
	handler Handler
	log     zerolog.Logger
	slots   chan struct{}
	ln      net.Listener
	wg      sync.WaitGroup
}

// Listen binds address (host:port) and serves it until Close.
func Listen(address string, h Handler, log zerolog.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return Serve(ln, h, log), nil
}

// Serve serves a listener until Close. The process before this one may have had it.
func Serve(ln net.Listener, h Handler, log zerolog.Logger) *Server {
	s := &Server{handler: h, log: log, slots: make(chan struct{}, maxConnections), ln: ln}
	s.wg.Add(1)
	go s.serve()
	return s
}

// Listener is what it listens on, for a process that goes on with it.
func (s *Server) Listener() net.Listener { return s.ln }

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close stops taking callers and waits for those being answered.
func (s *Server) Close() error {
	err := s.ln.Close()
	s.wg.Wait()
	return err
}

func (s *Server) serve() {
	defer s.wg.Done()
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				s.log.Error().Err(err).Msg("management address fails")
			}
			return
		}
		select {
		case s.slots <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			defer func() { <-s.slots }()
			s.answer(nc)
		}()
	}
}

// answer reads one line and writes its answer.
func (s *Server) answer(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	if nc.SetReadDeadline(time.Now().Add(readTimeout)) != nil {
		return // it is closed already
	}
	line, err := bufio.NewReaderSize(nc, MaxLineBytes).ReadSlice('\n')
	if err != nil && (!errors.Is(err, io.EOF) || len(line) == 0) {
		if len(line) >= MaxLineBytes {
			s.write(nc, []string{"fail line longer than 512 bytes"})
		}
		return
	}
	if nc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return
	}
	s.write(nc, Execute(s.handler, strings.TrimRight(string(line), "\r\n")))
}

func (s *Server) write(nc net.Conn, lines []string) {
	var b strings.Builder
	for _, l := range lines {
		b.WriteString(l)
		b.WriteByte('\n')
	}
	_, _ = nc.Write([]byte(b.String())) // the caller may have gone
}

// Execute carries out one line and gives the lines of its answer.
func Execute(h Handler, line string) []string {
	c, err := Parse(line)
	if err != nil {
		return []string{"fail " + err.Error()}
	}
	switch c.Verb {
	case Status:
		if h.Ready() {
			return []string{"ok ready"}
		}
		return []string{"fail not ready"}
	case Metrics:
		return append(append([]string{"ok"}, h.Figures()...), "eof")
	case Suspend, Restore:
		do := h.Suspend
		if c.Verb == Restore {
			do = h.Restore
		}
		if c.Fleet {
			do = func(id string) error { return h.SuspendFleet(id, c.Verb == Suspend) }
		}
		if err := do(c.ID); err != nil {
			return []string{"fail " + err.Error()}
		}
		return []string{"ok " + strings.ToLower(string(c.Verb)) + " " + c.ID}
	case Peers, Quotas, Verdicts, Rules:
		query := map[Verb]func() ([]string, error){Peers: h.Peers, Quotas: h.Quotas, Verdicts: h.Verdicts, Rules: h.Rules}[c.Verb]
		lines, err := query()
		if err != nil {
			return []string{"fail " + err.Error()}
		}
		return append(append([]string{"ok"}, lines...), "eof")
	case Recover:
		if err := h.Recover(); err != nil {
			return []string{"fail " + err.Error()}
		}
		return []string{"ok recovered"}
	case Pause:
		h.Pause()
		return []string{"ok paused"}
	default:
		h.Resume()
		return []string{"ok resumed"}
	}
}
