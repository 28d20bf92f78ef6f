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

// Handler carries out commands. Its methods must return quickly: they must not wait for the data path.
type Handler interface {
	// Ready answers STATUS: whether the process is ready for clients.
	Ready() bool
	// Figures answers METRICS: StatsD lines without line ends.
	Figures() []string
	// Suspend carries out SUSPEND ID; an unknown id is an error.
	Suspend(id string) error
	// Restore carries out RESTORE ID; an unknown id is an error.
	Restore(id string) error
	// Pause makes the readiness check fail and closes idle connections, until Resume.
	Pause()
	// Resume ends Pause.
	Resume()
	// Peers answers PEERS: a line for each member of the fleet, or an error if there is no fleet.
	Peers() ([]string, error)
	// Quotas answers QUOTAS: a line for each limit of the fleet, or an error if there is no fleet.
	Quotas() ([]string, error)
	// Verdicts answers VERDICTS: a line for each execute node whose health the fleet has decided on, or an error if the fleet
	// makes no such decisions.
	Verdicts() ([]string, error)
	// Rules answers RULES: the rules in force and those being distributed, or an error if there are none.
	Rules() ([]string, error)
	// SuspendFleet carries out SUSPEND ID fleet and RESTORE ID fleet, for all members, or returns an error if there is no fleet.
	SuspendFleet(id string, suspended bool) error
	// Recover carries out RECOVER: it restarts the fleet's voter group from this process, or returns an error if there is no
	// fleet.
	Recover() error
}

const (
	// readTimeout is the time in which a client must send its line, so that one that sends nothing does not occupy a slot
	// forever.
	readTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	// maxConnections bounds the connections served at once. A connection beyond it is closed unread.
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

// Serve serves a listener until Close. The listener may have been inherited from the replaced process.
func Serve(ln net.Listener, h Handler, log zerolog.Logger) *Server {
	s := &Server{handler: h, log: log, slots: make(chan struct{}, maxConnections), ln: ln}
	s.wg.Add(1)
	go s.serve()
	return s
}

// Listener returns the listener, to be handed over to a new process.
func (s *Server) Listener() net.Listener { return s.ln }

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close stops accepting connections and waits for the answers in progress.
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
				s.log.Error().Err(err).Msg("management address: accept failed, no more commands are served")
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

// answer reads one command line and writes its answer.
func (s *Server) answer(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	if nc.SetReadDeadline(time.Now().Add(readTimeout)) != nil {
		return // the connection is closed already
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
	_, _ = nc.Write([]byte(b.String())) // an error means that the client has disconnected
}

// Execute carries out one command line and returns the lines of its answer.
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
