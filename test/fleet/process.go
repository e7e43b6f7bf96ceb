package fleet

import (
	"os/exec"
	"syscall"
)

// Process is one running program.
type Process struct {
	Name string
	// URL is where it answers HTTP; Addr its links.
	URL, Addr string
	cmd       *exec.Cmd
	done      chan struct{}
	err       error
}

// Kill ends a process without warning; Freeze and Resume pause it.
func (pr *Process) Kill() {
	pr.signal(syscall.SIGKILL)
	<-pr.done
}

// Freeze pauses the process.
func (pr *Process) Freeze() { pr.signal(syscall.SIGSTOP) }

// Resume ends a pause.
func (pr *Process) Resume() { pr.signal(syscall.SIGCONT) }

func (pr *Process) signal(sig syscall.Signal) {
	_ = pr.cmd.Process.Signal(sig)
}

// Ended reports whether the process has ended.
func (pr *Process) Ended() bool {
	select {
	case <-pr.done:
		return true
	default:
		return false
	}
}

// PID returns the process's id.
func (pr *Process) PID() int { return pr.cmd.Process.Pid }

// Terminate asks for a planned stop without waiting for it.
func (pr *Process) Terminate() { pr.signal(syscall.SIGTERM) }

// Hangup tells the process that its settings have changed.
func (pr *Process) Hangup() { pr.signal(syscall.SIGHUP) }

// Wait waits for the end and returns the error of a bad exit.
func (pr *Process) Wait() error {
	<-pr.done
	return pr.err
}

// Stop ends the process as planned and returns the error of a bad exit.
func (pr *Process) Stop() error {
	pr.Terminate()
	return pr.Wait()
}
