// Package scenario plays the small language in which the network tests are
// written. Each line of a scenario is one step:
//
//	PEER send TEXT     write TEXT to the peer's connection, or hand it to the peer's function
//	PEER expect TEXT   read until TEXT has come; what came before it is passed over
//	PEER close         close the connection; half-close ends the sending alone
//	PEER wait          read until the other side has ended the connection; wait nothing: and no byte has come
//	wait TEXT          take the next event, which must read TEXT
//
// In TEXT, \r and \n stand for themselves. A peer's connection opens at its
// first step. Every wait is for a condition and ends the test after a while.
package scenario

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// patience is how long a step may wait. A test that passes never needs it.
const patience = 10 * time.Second

// Stage is what a scenario is played on.
type Stage struct {
	Open   func(peer string) (net.Conn, error) // makes the connection of a peer
	Calls  map[string]func(string)             // peers that are functions
	events chan string
}

// NewStage makes a stage whose peers are connections made by open.
func NewStage(open func(peer string) (net.Conn, error)) *Stage {
	return &Stage{Open: open, Calls: map[string]func(string){}, events: make(chan string, 1024)}
}

// Event records what the code under test has told. It may be called from any goroutine.
func (s *Stage) Event(text string) { s.events <- text }

// Listen opens a loopback port for the length of the test.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// Dialer opens connections to addr, for peers that are clients of the code under test.
func Dialer(addr string) func(string) (net.Conn, error) {
	return func(string) (net.Conn, error) { return net.DialTimeout("tcp", addr, patience) }
}

// Accepter takes connections from ln, for peers that are its servers. One that does not come is an error.
func Accepter(ln net.Listener) func(string) (net.Conn, error) {
	return func(string) (net.Conn, error) {
		if tcp, ok := ln.(*net.TCPListener); ok {
			if err := tcp.SetDeadline(time.Now().Add(patience)); err != nil {
				return nil, err
			}
		}
		return ln.Accept()
	}
}

type peer struct {
	net.Conn
	in *bufio.Reader
}

// Play plays a scenario. Events that it does not wait for are a failure.
func (s *Stage) Play(t *testing.T, script string) {
	t.Helper()
	peers := map[string]*peer{}
	defer func() {
		for _, p := range peers {
			_ = p.Close() // its peer may have ended it
		}
	}()
	for line := range strings.Lines(script) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		name, rest, _ := strings.Cut(line, " ")
		verb, text, _ := strings.Cut(rest, " ")
		text = strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(text)
		if name == "wait" {
			s.await(t, rest)
			continue
		}
		if call := s.Calls[name]; call != nil {
			call(text)
			continue
		}
		p := peers[name]
		if p == nil {
			conn, err := s.Open(name)
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			p = &peer{conn, bufio.NewReader(conn)}
			peers[name] = p
		}
		if err := p.step(verb, text); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
	}
	select {
	case ev := <-s.events:
		t.Errorf("not waited for: %s", ev)
	default:
	}
}

// Await waits until a condition holds, and ends the test if it does not come to.
func Await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it did not come to this: %s", what)
		}
	}
}

func (s *Stage) await(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s.events:
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("event (-want +got):\n%s", diff)
		}
	case <-time.After(patience):
		t.Fatalf("no event came; want %s", want)
	}
}

func (p *peer) step(verb, text string) error {
	if err := p.SetDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	switch verb {
	case "send":
		_, err := io.WriteString(p, text)
		return err
	case "expect":
		return p.expect(text)
	case "close":
		return p.Close()
	case "half-close":
		return p.Conn.(*net.TCPConn).CloseWrite()
	case "wait":
		n, err := io.Copy(io.Discard, p.in)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if text == "nothing" && n > 0 {
			return fmt.Errorf("%d bytes came", n)
		}
		return nil // ended, by whichever sign
	default:
		return errors.New("no such step")
	}
}

// expect reads no further than the last byte of text.
func (p *peer) expect(text string) error {
	var seen []byte
	for !strings.HasSuffix(string(seen), text) {
		b, err := p.in.ReadByte()
		if err != nil {
			return errors.New(err.Error() + " after " + string(seen))
		}
		seen = append(seen, b)
	}
	return nil
}
