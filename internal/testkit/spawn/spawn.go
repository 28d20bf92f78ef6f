// Package spawn starts child processes that do not outlive the process that started them.
package spawn

import (
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// request asks for the start of a command.
type request struct {
	command *exec.Cmd
	done    chan error
}

// requests go to a thread of its own, which is never given back: the system's word for "end this process when its
// parent ends" means the parent's thread.
var requests = sync.OnceValue(func() chan<- request {
	queue := make(chan request)
	go func() {
		runtime.LockOSThread()
		for next := range queue {
			next.done <- next.command.Start()
		}
	}()
	return queue
})

// Start starts a command; the system kills the child when this process ends, also when it is killed itself. It
// replaces the command's SysProcAttr.
func Start(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	asked := request{command: command, done: make(chan error)}
	requests() <- asked
	return <-asked.done
}
