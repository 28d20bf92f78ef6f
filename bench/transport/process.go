package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// program is a program to be measured: a sidecar, or a plain proxy whose kind
// is its name.
type program struct {
	name    string
	sidecar string // path of the sidecar binary; empty: a plain proxy
}

// process is a running program.
type process struct {
	cmd     *exec.Cmd
	address string // host:port that the program listens at for clients
	dir     string
	log     *os.File
}

// settings are the sidecar's settings, with one class of requests that may be repeated.
const settings = `{"tick_ms":5,"discovery":"subscribe","classes":[
 {"name":"look","effect":"free","aim_ms":500,"deadline_ms":2000,"late_worth":0.5}],
 "contract":{"ask_every_ms":10000,"cold_from":0.31,"cold_ms":1000,"drain_grace_ms":500,"grace_to_answer_ms":20},
 "limits":{"send_cap":6,"may_cancel":true,"parallel_tries":false,"retry_after":true,"max_retry_after_ms":3000,
 "conn_idle_ms":30000,"dial_timeout_ms":120}}`

const startTimeout = 20 * time.Second

// start starts the program and waits until it serves requests.
func (p program) start(nodes *nodes) (*process, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "transport")
	if err != nil {
		return nil, err
	}
	process := &process{address: address, dir: dir}
	if process.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	defer func() { _ = process.log.Close() }() // the started program has its own descriptor of the log
	if process.cmd, err = p.command(process, nodes); err == nil {
		process.cmd.Stderr = process.log
		err = process.cmd.Start()
	}
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	if err := process.ready(); err != nil {
		process.end()
		return nil, err
	}
	return process, nil
}

// command returns the command that runs the program on one core.
func (p program) command(process *process, nodes *nodes) (*exec.Cmd, error) {
	if p.sidecar == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		cmd := exec.Command(self, append([]string{"-serve", p.name, process.address}, nodes.addresses()...)...)
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
		return cmd, nil
	}
	file := filepath.Join(process.dir, "config.json")
	text := fmt.Sprintf(`{"name":"bench","listen":%q,"discovery":%q,"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"generation":0,"reset":true,"instances":[]},"settings":%s}`,
		process.address, nodes.discovery.Addr(), settings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(p.sidecar)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+file, "TMPDIR="+process.dir)
	return cmd, nil
}

// ready waits until the program has served a request, at most startTimeout.
func (p *process) ready() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for begun := time.Now(); time.Since(begun) < startTimeout; time.Sleep(10 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodGet, "http://"+p.address+"/look", nil)
		if err != nil {
			return err
		}
		request.Header.Set("X-Call-Id", fmt.Sprintf("ready-%d", time.Now().UnixNano()))
		request.Header.Set("X-Budget", "1")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("program did not serve a request before the start timeout")
}

func (p *process) end() {
	_ = p.cmd.Process.Kill() // the error is ignored: the process may have exited already
	_ = p.cmd.Wait()         // the error is ignored: a killed process always ends with one
	_ = os.RemoveAll(p.dir)
}

func (p *process) cpu() (time.Duration, error) { return processorTime(p.cmd.Process.Pid) }

func (p *process) descriptors() (int, error) {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(open), err
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return strings.TrimSpace(ln.Addr().String()), nil
}
