package daemon

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/config"
	"fieldrelay/internal/sidecar/handover"
	"fieldrelay/internal/sidecar/reconfig"
)

// idle is a daemon that serves nothing. It records the calls of its one participant.
func idle(t *testing.T, operator string) (*daemon, *[]string) {
	t.Helper()
	dir := t.TempDir()
	path, own := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.toml")
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":%s}`, sidecarSettings)
	if err := errors.Join(os.WriteFile(path, []byte(text), 0o600), os.WriteFile(own, []byte(operator), 0o600)); err != nil {
		t.Fatal(err)
	}
	getenv := func(key string) string { return map[string]string{"LB_CONFIG": path, operatorEnv: own}[key] }
	cfg, err := config.Load(getenv, own)
	if err != nil {
		t.Fatal(err)
	}
	var log []string
	d := &daemon{getenv: getenv, running: cfg, generation: 1, log: zerolog.Nop(), replaced: make(chan replacement, 1),
		participants: []reconfig.Participant[*config.Config]{{Name: "part", Prepare: func(*config.Config) (reconfig.Change, error) {
			log = append(log, "prepares")
			return reconfig.Do(func() { log = append(log, "commits") }), nil
		}}}}
	return d, &log
}

// A reload that is requested while a new process starts is not lost if the new process fails to take over.
func TestReloadWaitsForAReplacement(t *testing.T) {
	d, log := idle(t, "version = 1\n[replace]\nenabled = true\n# end\n")
	d.replacing = true
	d.reload()
	d.replace(nil) // and a second one is not started
	if len(*log) != 0 || len(d.replaced) != 0 {
		t.Errorf("%v during a replacement", *log)
	}
	if d.replacedBy(replacement{err: handover.ErrTimeout}) || d.replacing {
		t.Error("a failed replacement has taken over")
	}
	if diff := cmp.Diff([]string{"prepares", "commits"}, *log); diff != "" || d.generation != 2 {
		t.Errorf("generation %d\n%s", d.generation, diff)
	}
	d.replacing = true
	d.reload()
	if !d.replacedBy(replacement{pid: 1}) || len(*log) != 2 {
		t.Error("the new process has taken over, and the old one reads the files again")
	}
}

// A daemon that terminates while a new process starts does not wait for the timeout of the start. The result of the start
// tells whether the new process has taken over.
func TestTheEndWaitsForNoReplacement(t *testing.T) {
	for name, taken := range map[string]bool{"it has not taken over": false, "it has, at that moment": true} {
		d, log := idle(t, "version = 1\n[replace]\nenabled = true\n# end\n")
		if d.endReplacement() {
			t.Error("nothing was started, and it has taken over")
		}
		d.replacing = true
		d.reload()
		d.cancelReplacement = func() {
			if taken {
				d.replaced <- replacement{pid: 1}
			} else {
				d.replaced <- replacement{err: handover.ErrCanceled}
			}
		}
		ended := make(chan bool, 1)
		go func() { ended <- d.endReplacement() }()
		select {
		case over := <-ended:
			if over != taken || len(*log) != 0 {
				t.Errorf("%s: told %t, and %v", name, over, *log)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: the daemon still waits for the new process", name)
		}
	}
}

func TestReplacementIsOffUnlessNamed(t *testing.T) {
	d, _ := idle(t, "version = 1\n# end\n")
	if d.replace(nil); d.replacing {
		t.Error("it was started")
	}
}
