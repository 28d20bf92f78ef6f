// Package rig starts the regional system of a small deployment on loopback for a test case: control machines, an agent and
// a proxy as separate processes, with stand-ins for the platform and for servers. A case sends its requests itself, and
// writes what was sent, answered and run to a record.
package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"fieldrelay/internal/region/settings"
	"fieldrelay/internal/testkit/localcluster"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNoRun  = 2
)

// Program is the program of deploy/system.toml, relative to the root.
const Program = "target/fieldrelay-region"

// WithTrouble reports whether the case runs with its disruption.
func WithTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes the events of a case with the time since its start. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Add writes a line to the record and to standard output.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// Process is one process of the system.
type Process struct {
	Name    string
	Command *exec.Cmd
	ended   chan struct{}
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) { _ = p.Command.Process.Signal(signal) }

// System is the running system.
type System struct {
	Record    *Record
	Platform  *Platform
	Layout    *localcluster.Layout
	folder    string
	mu        sync.Mutex
	processes []*Process
}

// Start starts the platform's stand-in, three control machines, and an agent and a proxy.
func Start(record *Record, grace float64) (*System, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	platform, err := startPlatform()
	if err != nil {
		return nil, err
	}
	layout, err := localcluster.New(localcluster.Options{
		Controls: 3, Edges: 1, Folder: folder, Platform: platform.address, GraceS: grace,
	})
	if err != nil {
		return nil, err
	}
	system := &System{Record: record, Platform: platform, Layout: layout, folder: folder}
	go system.guard()
	for _, own := range layout.All() {
		own.Bounds.ContactMS, own.Bounds.AckByMS, own.Bounds.SyncS = 4000, 5000, 4
		own.Bounds.DrainMS, own.Bounds.ApplyMS, own.Bounds.EvacuateMS = 4000, 2500, 5000
		own.Bounds.RetryRatio, own.Bounds.RetryExtra, own.Bounds.RetryWindowS = 0.2, 54, 10
		own.Bounds.WarmExcess, own.Bounds.WarmExtra = 1.5, 5
		own.CloudAPI.Rate, own.CloudAPI.MaxLagMS = 42, 800
	}
	for _, own := range layout.Controls {
		if _, err := system.Run("control", own); err != nil {
			return system, err
		}
	}
	for _, role := range []string{"proxy", "agent"} {
		if _, err := system.Run(role, layout.Edges[0]); err != nil {
			return system, err
		}
	}
	return system, nil
}

// limit is the longest that a case may take.
const limit = 110 * time.Second

// guard ends all processes and the case after the limit, or when the case is told to end.
func (s *System) guard() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	s.Stop()
	os.Exit(ExitNoRun)
}

// Run starts one process with the settings of a machine.
func (s *System) Run(role string, own *settings.Settings) (*Process, error) {
	path, err := s.Layout.Write(own)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, own.Hostname+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command(Program, role)
	command.Env = append(os.Environ(), settings.PathVariable+"="+path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	process := &Process{Name: own.Hostname + " " + role, Command: command, ended: make(chan struct{})}
	go func() { _ = command.Wait(); close(process.ended); _ = log.Close() }()
	s.mu.Lock()
	s.processes = append(s.processes, process)
	s.mu.Unlock()
	return process, nil
}

// Find returns the newest process with that name, for example "edge-1 proxy".
func (s *System) Find(name string) *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	for index := len(s.processes) - 1; index >= 0; index-- {
		if s.processes[index].Name == name {
			return s.processes[index]
		}
	}
	return nil
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Stop ends all processes that were started and removes the temporary folder.
func (s *System) Stop() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, process := range processes {
		if !process.Ended() {
			process.Signal(syscall.SIGCONT)
			process.Signal(syscall.SIGKILL)
			<-process.ended
		}
	}
	_ = s.Platform.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs in", s.folder)
	}
}

// Proxy is the address at which the proxy takes clients.
func (s *System) Proxy() string { return s.Layout.Edges[0].Binds.Edge }

// Control is the address at which a control machine takes the operator's calls.
func (s *System) Control(index int) string { return s.Layout.Controls[index].Binds.Control }

// Operator sends a call of the operator, again and again until it is acknowledged, to each control machine in turn.
func (s *System) Operator(path, base, body string, limit time.Duration) error {
	end := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	var last string
	for turn := 0; time.Now().Before(end); turn++ {
		request, _ := http.NewRequest(http.MethodPost, "http://"+s.Control(turn%3)+path, strings.NewReader(body))
		if base != "" {
			request.Header.Set("X-Fieldrelay-Base-Rev", base)
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
		} else {
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.Record.Add("operator: %s acknowledged", path)
				return nil
			}
			last = fmt.Sprint(response.StatusCode, " ", string(text))
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("operator: " + path + " not acknowledged: " + last)
}

// AwaitReady waits until the platform's check of the proxy is answered with 200.
func (s *System) AwaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		response, err := http.Get("http://" + s.Layout.Edges[0].Binds.Ready + "/api/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.Record.Add("the proxy is ready")
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the proxy did not become ready")
}

// Entry is one entry of the platform's list.
type Entry struct {
	InstID   string  `json:"inst-id"`
	Backend  string  `json:"backend"`
	Address  string  `json:"address"`
	Az       string  `json:"az"`
	Gen      string  `json:"gen"`
	Capacity int     `json:"capacity"`
	Phase    string  `json:"phase"`
	WarmLeft float64 `json:"warm-left-ms"`
}

// Platform is the stand-in for the platform's list.
type Platform struct {
	address string
	server  *http.Server
	mu      sync.Mutex
	entries []Entry
	polled  time.Time
}

func startPlatform() (*Platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	platform := &Platform{address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /servers", func(w http.ResponseWriter, _ *http.Request) {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		platform.polled = time.Now()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"servers": platform.entries, "next-token": nil})
	})
	platform.server = &http.Server{Handler: mux}
	go func() { _ = platform.server.Serve(listener) }()
	return platform, nil
}

// Set replaces the list.
func (p *Platform) Set(entries ...Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = entries
}

// Server is a stand-in for a server. Serve is called for each request that expects this server, one at a time on a
// connection; it returns false if the connection is to be closed.
type Server struct {
	ID      string
	Address string
	Serve   func(conn net.Conn, request *http.Request, body []byte) bool
}

// StartServer starts a server on a free port.
func StartServer(id string, serve func(net.Conn, *http.Request, []byte) bool) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &Server{ID: id, Address: listener.Addr().String(), Serve: serve}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.handle(conn)
		}
	}()
	return server, nil
}

// Entry is the server's entry in the platform's list.
func (s *Server) Entry(service, zone string) Entry {
	return Entry{InstID: s.ID, Backend: service, Address: s.Address, Az: zone, Gen: "v1", Capacity: 64, Phase: "up"}
}

func (s *Server) handle(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		expected := request.Header.Get("X-Fieldrelay-Expect-Server")
		if expected != "" && expected != s.ID {
			head := "HTTP/1.1 421 Misdirected Request\r\nX-Fieldrelay-Not-Executed: 1\r\nX-Fieldrelay-Attempt-Id: " +
				request.Header.Get("X-Fieldrelay-Attempt-Id") + "\r\nContent-Length: 0\r\n\r\n"
			if _, err := io.WriteString(conn, head); err != nil {
				return
			}
			continue
		}
		if !s.Serve(conn, request, body) {
			return
		}
	}
}

// Answer writes a complete answer with a seal.
func Answer(conn net.Conn, request *http.Request, seal, body string) bool {
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 200 OK\r\nX-Fieldrelay-Attempt-Id: %s\r\nX-Fieldrelay-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
		request.Header.Get("X-Fieldrelay-Attempt-Id"), seal, len(body), body)
	_, err := conn.Write(answer.Bytes())
	return err == nil
}

// Entries returns the list.
func (p *Platform) Entries() []Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Entry(nil), p.entries...)
}

// LastCall returns the time of the last call for the list.
func (p *Platform) LastCall() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.polled
}
