// Package processfleet runs a fleet of real sidecar processes with an injector on every
// directed link: sidecar to sidecar, sidecar to execute node, sidecar to
// discovery, client to sidecar. Stand-ins play the nodes and discovery, checked
// clients ask and ask again, and all that happens goes into one history.
//
// No process outlives the rig: each is started by one thread that lives as
// long as this process does, and the system ends what that thread started when
// it ends, also when it is killed.
package processfleet

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"fieldrelay/internal/testkit/checker"
	"fieldrelay/internal/testkit/spawn"
)

// Sidecar is one member's place: its name and addresses, and the process that runs there now, if one does.
type Sidecar struct {
	Name          string
	ClientAddress string // where clients reach it, without the injector
	Mgmt          string
	Peer          string // its address in the fleet, likewise
	Binary        string
	dir           string
	index         int
	hist          *checker.History

	mu            sync.Mutex
	cmd           *exec.Cmd
	stopRequested bool // its end was asked for
	stopped       bool
	heir          *os.Process // that has replaced it
	ended         chan struct{}
	serving       chan struct{} // closed once it takes clients
	peers         map[string]string
	mode          string
	view          string // that it goes by,
	members       int    // and of how many
	boots         int
}

// Start starts the process.
func (s *Sidecar) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd != nil {
		return errors.New(s.Name + " runs already")
	}
	cmd := exec.Command(s.Binary)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(s.dir, "config.json"),
		"FIELDRELAY_OPERATOR="+filepath.Join(s.dir, "operator.toml"), "TMPDIR="+s.dir)
	log, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	read, write, err := os.Pipe()
	if err != nil {
		_ = log.Close()
		return err
	}
	cmd.Stderr = write
	err = spawn.Start(cmd)
	_ = write.Close() // the process has its own copy
	if err != nil {
		_ = read.Close()
		_ = log.Close()
		return err
	}
	s.cmd, s.stopRequested, s.stopped, s.boots = cmd, false, false, s.boots+1
	s.ended, s.serving, s.peers, s.mode, s.view, s.members = make(chan struct{}), make(chan struct{}), map[string]string{}, "alone", "", 0
	go s.watch(cmd, read, log, s.ended, s.serving)
	return nil
}

// logLine is what is read of a line of a sidecar's log.
type logLine struct {
	Message, Member, State, Mode string
	View, Sum                    string
	PID, Members                 int
}

// maxLogLine is the longest line of a log that is read, in bytes.
const maxLogLine = 1 << 20

// watch reads the log until the process ends.
func (s *Sidecar) watch(cmd *exec.Cmd, read io.ReadCloser, log io.WriteCloser, ended, serving chan struct{}) {
	defer func() { _ = log.Close() }()
	defer func() { _ = read.Close() }()
	in := bufio.NewScanner(read)
	in.Buffer(nil, maxLogLine)
	last := ""
	var once sync.Once
	for in.Scan() {
		_, _ = fmt.Fprintln(log, in.Text())
		last = in.Text()
		var line logLine
		if json.Unmarshal(in.Bytes(), &line) != nil {
			continue
		}
		if line.Message == "serving" {
			once.Do(func() { close(serving) })
		}
		s.take(line)
	}
	s.processEnded(cmd.Wait(), last)
	close(ended)
}

// take takes in a line of the log.
func (s *Sidecar) take(line logLine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch line.Message {
	case "replaced": // the new process writes to the same log
		if heir, err := os.FindProcess(line.PID); err == nil {
			s.heir, s.peers, s.mode, s.view, s.members = heir, map[string]string{}, "alone", "", 0
		}
	case "member changed":
		s.hist.Add(checker.Entry{Kind: checker.Member, Sidecar: s.Name, Peer: line.Member, State: line.State})
		s.peers[line.Member] = line.State
	case "view decided", "view adopted":
		s.hist.Add(checker.Entry{Kind: checker.View, Sidecar: s.Name, ID: line.View, Key: line.Sum, State: strings.TrimPrefix(line.Message, "view ")})
		if line.Message == "view adopted" {
			s.view, s.members = line.View, line.Members
		}
	case "fleet mode":
		s.hist.Add(checker.Entry{Kind: checker.Mode, Sidecar: s.Name, State: line.Mode})
		s.mode = line.Mode
	}
}

// processEnded records the end of the process, with its last line unless the end was requested.
func (s *Sidecar) processEnded(err error, last string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heir != nil { // the log has ended, so it has too
		s.heir, err = nil, nil
	}
	e := checker.Entry{Kind: checker.Ended, Sidecar: s.Name}
	if !s.stopRequested {
		e.Err = fmt.Sprint(err, ": ", last)
	}
	s.hist.Add(e)
	s.cmd = nil
}

// signal sends a signal to the process that this Sidecar started, and to no other.
func (s *Sidecar) signal(sig syscall.Signal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return errors.New(s.Name + " does not run")
	}
	switch sig {
	case syscall.SIGKILL, syscall.SIGTERM:
		s.stopRequested = true
	case syscall.SIGSTOP:
		s.stopped = true
	case syscall.SIGCONT:
		s.stopped = false
	}
	if s.heir != nil {
		if sig == syscall.SIGKILL { // the one before may still drain
			_ = s.cmd.Process.Signal(sig)
		}
		return s.heir.Signal(sig)
	}
	return s.cmd.Process.Signal(sig)
}

// end ends the process and waits for that.
func (s *Sidecar) end(sig syscall.Signal, within time.Duration) error {
	s.mu.Lock()
	ended, stopped := s.ended, s.stopped
	running := s.cmd != nil
	s.mu.Unlock()
	if !running {
		return nil
	}
	if stopped && sig != syscall.SIGKILL {
		_ = s.signal(syscall.SIGCONT) // the next signal tells whether it has ended
	}
	if err := s.signal(sig); err != nil {
		return nil // it has just ended
	}
	select {
	case <-ended:
		return nil
	case <-time.After(within):
		return fmt.Errorf("%s: not ended within %v of %v", s.Name, within, sig)
	}
}

// Kill ends the process with SIGKILL.
func (s *Sidecar) Kill() error { return s.end(syscall.SIGKILL, 10*time.Second) }

// Terminate ends it with SIGTERM: it answers what it has taken.
func (s *Sidecar) Terminate() error { return s.end(syscall.SIGTERM, 30*time.Second) }

// Stop has it stand still.
func (s *Sidecar) Stop() error {
	err := s.signal(syscall.SIGSTOP)
	s.hist.Add(checker.Entry{Kind: checker.Strike, Sidecar: s.Name, State: "stop"})
	return err
}

// Continue has it go on.
func (s *Sidecar) Continue() error {
	s.hist.Add(checker.Entry{Kind: checker.Strike, Sidecar: s.Name, State: "stop ends"})
	return s.signal(syscall.SIGCONT)
}

// Replace has it start its program anew, and waits until the new process has taken over.
func (s *Sidecar) Replace(within time.Duration) error {
	if err := s.signal(syscall.SIGUSR2); err != nil {
		return err
	}
	if _, ok := Until(within, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.heir != nil }); !ok {
		return errors.New(s.Name + ": not replaced in time")
	}
	return nil
}

// Hangup has it read its files again.
func (s *Sidecar) Hangup() error { return s.signal(syscall.SIGHUP) }

// Running tells whether there is a process, and whether that is not stopped.
func (s *Sidecar) Running() (there, runs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd != nil, s.cmd != nil && !s.stopped
}

// PID is the process's id; 0: none runs.
func (s *Sidecar) PID() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return 0
	}
	if s.heir != nil {
		return s.heir.Pid
	}
	return s.cmd.Process.Pid
}

// Believes is what its log last said of another member: alive, suspect, failed, left; empty: nothing.
func (s *Sidecar) Believes(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers[name]
}

// View is the view that its log last said it goes by, and of how many members.
func (s *Sidecar) View() (id string, members int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.members
}

// Mode is what its log last said.
func (s *Sidecar) Mode() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// ready waits until the process takes clients.
func (s *Sidecar) ready(within time.Duration) error {
	s.mu.Lock()
	serving, ended := s.serving, s.ended
	s.mu.Unlock()
	select {
	case <-serving:
		return nil
	case <-ended:
		return errors.New(s.Name + " ended at its start: see " + filepath.Join(s.dir, "log"))
	case <-time.After(within):
		return errors.New(s.Name + " does not serve in time")
	}
}

// Resources are figures of a process, as /proc tells them.
type Resources struct {
	ResidentKB  int
	CPU         time.Duration
	Descriptors int
	Threads     int
}

// Resources looks at the process.
func (s *Sidecar) Resources() (r Resources, err error) {
	pid := s.PID()
	if pid == 0 {
		return r, errors.New(s.Name + " does not run")
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return r, err
	}
	for line := range strings.Lines(string(status)) {
		// Each reads the line of its name, and fails at all others.
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &r.ResidentKB)
		_, _ = fmt.Sscanf(line, "Threads: %d", &r.Threads)
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return r, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:])) // from the third field, the state
	user, err := strconv.Atoi(fields[11])
	system, err2 := strconv.Atoi(fields[12])
	fds, err3 := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	r.CPU, r.Descriptors = time.Duration(user+system)*(time.Second/100), len(fds)
	return r, errors.Join(err, err2, err3)
}

// Manage sends one command to the management address and gives the lines of its answer.
func (s *Sidecar) Manage(command string) ([]string, error) {
	nc, err := net.DialTimeout("tcp", s.Mgmt, 3*time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = nc.Close() }()
	if err := nc.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintln(nc, command); err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(nc)
	return strings.Split(strings.TrimSpace(string(answer)), "\n"), err
}

// loseState has the next process find none of the state that a voter keeps.
func (s *Sidecar) loseState() error { return os.RemoveAll(filepath.Join(s.dir, stateDir)) }

// Log is all that the processes of this place have written.
func (s *Sidecar) Log() string {
	text, err := os.ReadFile(filepath.Join(s.dir, "log"))
	if err != nil {
		return err.Error()
	}
	return string(text)
}
