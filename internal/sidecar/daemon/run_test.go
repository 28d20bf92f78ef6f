package daemon

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"fieldrelay/internal/testkit/scenario"
)

const sidecarSettings = `{"tick_ms":5,"discovery":"subscribe","classes":[{"name":"look","effect":"free","aim_ms":400,"deadline_ms":5000}],
	"contract":{"ask_every_ms":10000},"limits":{"send_cap":2,"may_cancel":true}}`

// The whole program: a request reaches an execute node, an invalid new file changes nothing, a valid one moves the list to
// another address although the environment names the previous one, and requests accepted before SIGTERM are answered before
// the program exits with success.
func TestServeReloadAndTerminate(t *testing.T) {
	node, discovery, moved := scenario.Listen(t), scenario.Listen(t), scenario.Listen(t)
	path := filepath.Join(t.TempDir(), "config.json")
	config := func(discovery net.Listener) string {
		return fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"seed":"1","known":{"generation":1,"instances":[
		{"instanceId":"n","hostPort":%q,"lifecycle":"Ready"}]},"settings":%s}`, discovery.Addr(), node.Addr(), sidecarSettings)
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(config(discovery))
	own := filepath.Join(t.TempDir(), "operator.toml")
	operator := func(text string) {
		if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	operator("version = 1\n# end\n")
	t.Setenv(operatorEnv, own)
	t.Setenv("LB_CONFIG", path)
	t.Setenv("LB_DISCOVERY", discovery.Addr().String())

	log := logLines{make(chan string, 1), make(chan struct{}, 1)}
	var front string
	stage := scenario.NewStage(nil)
	stage.Open = func(peer string) (net.Conn, error) {
		switch peer {
		case "node1", "node2":
			return scenario.Accepter(node)(peer)
		case "discovery":
			return scenario.Accepter(discovery)(peer)
		case "moved":
			return scenario.Accepter(moved)(peer)
		}
		return net.Dial("tcp", front)
	}
	stage.Calls["program"] = func(string) {
		go func() {
			stage.Event(fmt.Sprint("ended ", run(os.Getenv, log, nil)))
		}()
		front = <-log.listen
	}
	stage.Calls["replace"] = func(text string) {
		if text == "moved" {
			text = config(moved)
		}
		write(text)
		signalSelf(t, syscall.SIGHUP)
		<-log.reloads
	}
	// A truncated operator's file changes nothing, and neither do the changes in the other file.
	stage.Calls["operator"] = func(text string) {
		operator(text)
		signalSelf(t, syscall.SIGHUP)
		<-log.reloads
	}
	stage.Calls["terminate"] = func(string) { signalSelf(t, syscall.SIGTERM) }
	const ask = `send GET /look HTTP/1.1\r\nHost: o\r\nX-Call-Id: ID\r\nX-Budget: 5\r\n\r\n`
	const reply = `send HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n`
	stage.Play(t, strings.NewReplacer("REPLY", reply).Replace(`
		program send start
		discovery expect GET /v1/endpoints?watch=1&after=1 HTTP/1.1
		a send GET /ready HTTP/1.1\r\nHost: o\r\n\r\n
		a expect 200 OK
		a `+strings.Replace(ask, "ID", "c1", 1)+`
		node1 expect X-Call-Id: c1
		b `+strings.Replace(ask, "ID", "c2", 1)+`
		node2 expect X-Call-Id: c2
		replace send {
		operator send version = 1\n[log]\nlevel = "debug"\n
		operator send version = 1\n[log.parts]\nrelay = "debug"\n# end\n
		replace send moved
		discovery wait
		moved expect GET /v1/endpoints?watch=1 HTTP/1.1
		terminate send now
		node1 REPLYhi
		a expect \r\n\r\nhi
		node2 REPLYho
		b expect \r\n\r\nho
		a wait
		b wait
		wait ended <nil>`))
}

// A second SIGTERM and a SIGHUP during the shutdown change nothing for the requests that the program has accepted.
func TestSignalsAfterTheFirst(t *testing.T) {
	node, discovery := scenario.Listen(t), scenario.Listen(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"seed":"1","known":{"generation":1,"instances":[
		{"instanceId":"n","hostPort":%q,"lifecycle":"Ready"}]},"settings":%s}`, discovery.Addr(), node.Addr(), sidecarSettings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_CONFIG", path)
	log := logLines{make(chan string, 1), make(chan struct{}, 9)}
	var front string
	stage := scenario.NewStage(nil)
	stage.Open = func(peer string) (net.Conn, error) {
		switch peer {
		case "node":
			return scenario.Accepter(node)(peer)
		case "discovery":
			return scenario.Accepter(discovery)(peer)
		}
		return net.Dial("tcp", front)
	}
	stage.Calls["program"] = func(string) {
		go func() { stage.Event(fmt.Sprint("ended ", run(os.Getenv, log, nil))) }()
		front = <-log.listen
	}
	stage.Calls["signal"] = func(name string) {
		signalSelf(t, map[string]syscall.Signal{"TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP}[name])
	}
	stage.Play(t, `
		program send start
		discovery expect GET /v1/endpoints?watch=1&after=1 HTTP/1.1
		a send GET /look HTTP/1.1\r\nHost: o\r\nX-Call-Id: c1\r\nX-Budget: 5\r\n\r\n
		node expect X-Call-Id: c1
		signal send TERM
		signal send TERM
		signal send HUP
		node send HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi
		a expect \r\n\r\nhi
		a wait
		wait ended <nil>`)
}

// logLines is a log that reports the address at which the program serves, and each attempt to reload.
type logLines struct {
	listen  chan string
	reloads chan struct{}
}

func (l logLines) Write(line []byte) (int, error) {
	var entry struct{ Listen, Message string }
	if err := json.Unmarshal(line, &entry); err != nil {
		return 0, err
	}
	if entry.Listen != "" {
		l.listen <- entry.Listen
	}
	if strings.HasPrefix(entry.Message, "configuration ") {
		l.reloads <- struct{}{}
	}
	return len(line), nil
}

// Where lists are pushed, the decision module requests no list, and a change that the agent has counts as notified at once:
// the program opens the watch by itself, and again after a loss.
func TestPushedListIsWatched(t *testing.T) {
	discovery := scenario.Listen(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"known":{"generation":1,"instances":[]},"settings":%s}`, discovery.Addr(),
		strings.Replace(sidecarSettings, `"subscribe"`, `"automatic"`, 1))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_CONFIG", path)
	log := logLines{make(chan string, 1), make(chan struct{}, 1)}
	stage := scenario.NewStage(scenario.Accepter(discovery))
	go func() { stage.Event(fmt.Sprint("ended ", run(os.Getenv, log, nil))) }()
	<-log.listen
	stage.Calls["terminate"] = func(string) { signalSelf(t, syscall.SIGTERM) }
	stage.Play(t, `
		first expect GET /v1/endpoints?watch=1&after=1 HTTP/1.1
		first close
		second expect GET /v1/endpoints?watch=1&after=1 HTTP/1.1
		terminate send now
		wait ended <nil>`)
}

// signalSelf sends a signal to this process.
func signalSelf(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), s); err != nil {
		t.Error(err)
	}
}
