package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"fieldrelay/internal/region/settings"
)

// endLimit is the time that a process may take to exit after SIGTERM.
const endLimit = 15 * time.Second

// process is one process of the system.
type process struct {
	name    string
	command *exec.Cmd
	log     syncBuffer
	ended   chan struct{}
	err     error // result of Wait; written before ended is closed
}

// processes holds the started processes in the order of their start.
type processes struct {
	list []*process
}

// startProcesses starts every process of the system. If it returns an error, it also returns the processes started before.
func startProcesses(program string, layout *layout) (*processes, error) {
	started := &processes{}
	for _, own := range layout.controls {
		if err := started.start(program, "control", own, layout); err != nil {
			return started, err
		}
	}
	for _, role := range []string{"proxy", "agent"} {
		if err := started.start(program, role, layout.edge, layout); err != nil {
			return started, err
		}
	}
	return started, nil
}

// start writes the settings of a machine to a file and starts one process that reads them.
func (p *processes) start(program, role string, own *settings.Settings, layout *layout) error {
	path, err := layout.Write(own)
	if err != nil {
		return err
	}
	one := &process{name: own.Hostname + " " + role, command: exec.Command(program, role), ended: make(chan struct{})}
	one.command.Env = append(os.Environ(), settings.PathVariable+"="+path)
	one.command.Stderr = &one.log
	if err := one.command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", one.name)
	}
	go func() {
		one.err = one.command.Wait()
		close(one.ended)
	}()
	p.list = append(p.list, one)
	return nil
}

// stop sends SIGTERM to the processes, those of the edge machine first, waits for them and prints how each exited.
func (p *processes) stop(output io.Writer) {
	for index := len(p.list) - 1; index >= 0; index-- {
		one := p.list[index]
		_ = one.command.Process.Signal(syscall.SIGTERM) // fails if the process has already exited
	}
	for index := len(p.list) - 1; index >= 0; index-- {
		p.list[index].await(output)
	}
}

// await waits for a process that has received SIGTERM, kills it after endLimit and prints how it exited.
func (p *process) await(output io.Writer) {
	timer := time.NewTimer(endLimit)
	defer timer.Stop()
	select {
	case <-p.ended:
	case <-timer.C:
		_ = p.command.Process.Kill()
		<-p.ended
	}
	if p.err != nil {
		_, _ = fmt.Fprintf(output, "%s ended: %v\n%s", p.name, p.err, p.log.String())
		return
	}
	_, _ = fmt.Fprintf(output, "%s ended in order\n", p.name)
}

// logs returns the log output of all processes.
func (p *processes) logs() string {
	var text strings.Builder
	for _, one := range p.list {
		fmt.Fprintf(&text, "%s:\n%s", one.name, one.log.String())
	}
	return text.String()
}

// syncBuffer is a buffer for concurrent use: it is read while a process writes to it.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}
