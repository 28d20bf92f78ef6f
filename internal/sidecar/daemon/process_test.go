package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fieldrelay/internal/testkit/fakebackend"
	"fieldrelay/internal/testkit/scenario"
)

// program builds the sidecar's executable.
func program(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "fieldrelay")
	if out, err := exec.Command("go", "build", "-o", binary, "fieldrelay/cmd/fieldrelay").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// process is a running sidecar.
type process struct {
	cmd  *exec.Cmd
	addr string
}

func closeIt(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// start starts a sidecar with a number of descriptors in its configuration and a number that the system gives it.
func start(t *testing.T, binary string, sockets, in int, discovery string, known []fakebackend.Entry) *process {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{addr: ln.Addr().String()}
	closeIt(t, ln) // the sidecar binds its port
	config, err := json.Marshal(map[string]any{"listen": p.addr, "discovery": discovery, "seed": "1",
		"limits": map[string]any{"sockets": sockets}, "known": json.RawMessage(fakebackend.Object(1, known)),
		"settings": json.RawMessage(sidecarSettings)})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command("sh", "-c", `ulimit -n "$1" && exec "$2"`, "sh", strconv.Itoa(in), binary)
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_, _ = p.cmd.Process.Kill(), p.cmd.Wait() // an error means that it has ended already
	})
	return p
}

// ask sends a request on a connection of its own and returns the status of its answer, or 0.
func (p *process) ask(path string) int {
	nc, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = nc.Close() }()
	if err := nc.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0
	}
	const request = "GET %s HTTP/1.1\r\nHost: o\r\nX-Call-Id: c%d\r\nX-Budget: 4\r\n\r\n"
	if _, err := fmt.Fprintf(nc, request, path, time.Now().UnixNano()); err != nil {
		return 0
	}
	head := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(nc, head); err != nil {
		return 0
	}
	status, _ := strconv.Atoi(string(head[len("HTTP/1.1 "):]))
	return status
}

// cpu returns the processor time that the process has used.
func (p *process) cpu(t *testing.T) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')'):]))
	user, _ := strconv.Atoi(fields[12])
	system, _ := strconv.Atoi(fields[13])
	return time.Duration(user+system) * 10 * time.Millisecond // a tick is a hundredth of a second
}

// Idle clients take all of the sidecar's client connections while discovery is down. Requests are still served, the list is
// requested and received as soon as discovery is back, no loop spins, and the process survives, even if the system gives
// fewer descriptors than the configuration says.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	const sockets = 64
	binary := program(t)
	for name, in := range map[string]int{"as told": sockets, "fewer than told": 30} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node, err := fakebackend.NewNode(0, 2)
			if err != nil {
				t.Fatal(err)
			}
			defer node.Close()
			ln := scenario.Listen(t)
			discovery := ln.Addr().String()
			closeIt(t, ln)
			p := start(t, binary, sockets, in, discovery, []fakebackend.Entry{fakebackend.Ready("n", node.Addr())})
			scenario.Await(t, "it is ready", func() bool { return p.ask("/ready") == http.StatusOK })

			var idle []net.Conn
			defer func() {
				for _, nc := range idle {
					_ = nc.Close() // the sidecar may have closed the connection
				}
			}()
			begun, used := time.Now(), p.cpu(t)
			for len(idle) < sockets { // more than half of them wait in the accept queue
				nc, err := net.Dial("tcp", p.addr)
				if err != nil {
					t.Fatal(err)
				}
				idle = append(idle, nc)
				if len(idle)%2 == 0 { // some of them have sent one request
					_, _ = fmt.Fprint(nc, "GET /ready HTTP/1.1\r\nHost: o\r\n\r\n") // the sidecar may have closed the connection
				}
			}
			scenario.Await(t, "a request is served", func() bool { return p.ask("/look") == http.StatusOK })
			if share := float64(p.cpu(t)-used) / float64(time.Since(begun)); share > 0.5 {
				t.Errorf("it used %.2f of a core meanwhile", share)
			}
			back, err := net.Listen("tcp", discovery)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = back.Close() })
			// After this time a list from discovery counts as notified.
			if err := back.(*net.TCPListener).SetDeadline(time.Now().Add(6 * time.Second)); err != nil {
				t.Fatal(err)
			}
			nc, err := back.Accept()
			if err != nil {
				t.Fatalf("discovery is back and is not asked: %v", err)
			}
			closeIt(t, nc)
			if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := p.cmd.Wait(); err != nil {
				t.Errorf("it ended with %v", err)
			}
		})
	}
}

// Thirty sidecars that start at once become ready in time, both with discovery down and most servers of the stored list dead,
// and with a discovery that accepts calls and sends nothing. The requirement is nine in ten within 10 s;
// here all become ready well before that.
func TestThirtyStartAtOnce(t *testing.T) {
	const sidecars, within = 30, 10 * time.Second
	node, err := fakebackend.NewNode(0, 2)
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	known := []fakebackend.Entry{fakebackend.Ready("alive", node.Addr())}
	dead := scenario.Listen(t)
	for i := range 19 {
		known = append(known, fakebackend.Ready(fmt.Sprint("dead", i), dead.Addr().String()))
	}
	closeIt(t, dead)
	binary := program(t)
	for name, discovery := range map[string]string{"down": dead.Addr().String(), "silent": scenario.Listen(t).Addr().String()} {
		t.Run(name, func(t *testing.T) {
			begun := time.Now()
			var all []*process
			for range sidecars {
				all = append(all, start(t, binary, 256, 256, discovery, known))
			}
			took := make([]time.Duration, sidecars)
			var wg sync.WaitGroup
			for i, p := range all {
				wg.Go(func() {
					look := time.NewTicker(5 * time.Millisecond)
					defer look.Stop()
					for took[i] = within; time.Since(begun) < within; <-look.C {
						if p.ask("/ready") == http.StatusOK {
							took[i] = time.Since(begun)
							return
						}
					}
				})
			}
			wg.Wait()
			slices.Sort(took)
			t.Logf("ready after %v in the median, nine in ten after %v, all after %v", took[sidecars/2], took[sidecars*9/10-1], took[sidecars-1])
			if took[sidecars*9/10-1] >= within {
				t.Errorf("nine in ten were not ready in %v", within)
			}
		})
	}
}
