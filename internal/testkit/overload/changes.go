package overload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Changes are the cases in which it is the sidecar itself that changes, under the small requests alone. Of those none
// may be lost.
var Changes = []Case{
	{Name: "reloads", operator: completeFile, play: func(r *rig, _ *tally) { r.reloads(100 * r.opts.Rounds) }},
	{Name: "replace", operator: completeFile + replaceable, play: func(r *rig, _ *tally) {
		for i := range 5 * r.opts.Rounds {
			if !r.replace(i + 1) {
				return
			}
			time.Sleep(r.opts.RecoveryTime / 10)
		}
	}},
}

const (
	completeFile = "version = 1\n[log]\nrepeats = 0\n"
	replaceable  = "[replace]\nenabled = true\n"
	fileEnd      = "# end\n"
)

// reloads lets the sidecar read its files again and again, good and bad ones in turn: with a front more, without it,
// cut short, with a front at an address that is taken, and with one that is unknown.
func (r *rig) reloads(times int) {
	path := filepath.Join(r.opts.Dir, "more.sock")
	more := fmt.Sprintf("[[front.http]]\nlisten = \"unix:%s\"\n", path)
	texts := []string{
		completeFile + more + fileEnd,
		completeFile + more,
		completeFile + fileEnd,
		completeFile + fmt.Sprintf("[[front.http]]\nlisten = %q\n", r.discovery.Addr()) + fileEnd,
		completeFile + "[unknown]\n" + fileEnd,
	}
	for i := range times {
		// Replaced as a careful editor does it, so that half a file is only what is meant to be one.
		if err := os.WriteFile(r.own+".new", []byte(texts[i%len(texts)]), 0o600); err != nil {
			return
		}
		if err := os.Rename(r.own+".new", r.own); err != nil {
			return
		}
		r.signal(syscall.SIGHUP)
		time.Sleep(2 * time.Millisecond)
	}
}

// replace lets the sidecar be replaced and waits until it has been, for the nth time.
func (r *rig) replace(n int) bool {
	r.signal(syscall.SIGUSR2)
	for range 1000 {
		if r.count("replaced") >= n && r.count("serving") > n {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// lines calls each for the lines of the log.
func (r *rig) lines(each func(e entry)) {
	text, err := os.ReadFile(r.log)
	if err != nil {
		return
	}
	for line := range bytes.Lines(text) {
		var e entry
		if json.Unmarshal(line, &e) == nil {
			each(e)
		}
	}
}

// count is how often a message stands in the log.
func (r *rig) count(message string) int {
	n := 0
	r.lines(func(e entry) {
		if e.Message == message {
			n++
		}
	})
	return n
}

// pid is the process that serves now: the last one that said so.
func (r *rig) pid() int {
	pid := r.proc.Process.Pid
	r.lines(func(e entry) {
		if e.Message == "serving" && e.Pid != 0 {
			pid = e.Pid
		}
	})
	return pid
}

// gone tells whether a process has ended, reaped or not.
func gone(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return true
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(after, "Z")
}
