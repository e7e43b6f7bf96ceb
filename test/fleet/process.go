package fleet

import (
	"os/exec"
	"syscall"
)

// Process is a started program.
type Process struct {
	Name string
	// URL is the base URL of its HTTP server, Addr the address of its other listener: an
	// agent's links, an entry's peer listener, a gateway's listener for callers.
	URL, Addr string
	cmd       *exec.Cmd
	done      chan struct{}
	err       error
}

// Kill sends SIGKILL and waits until the process has ended.
func (pr *Process) Kill() {
	pr.signal(syscall.SIGKILL)
	<-pr.done
}

// Freeze pauses the process.
func (pr *Process) Freeze() { pr.signal(syscall.SIGSTOP) }

// Resume continues a process that Freeze has paused.
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

// PID returns the process id.
func (pr *Process) PID() int { return pr.cmd.Process.Pid }

// Terminate sends SIGTERM, which starts a graceful shutdown, and does not wait for its end.
func (pr *Process) Terminate() { pr.signal(syscall.SIGTERM) }

// Hangup sends SIGHUP, which makes the process reload its settings.
func (pr *Process) Hangup() { pr.signal(syscall.SIGHUP) }

// Wait waits until the process has ended and returns the error of a failed exit.
func (pr *Process) Wait() error {
	<-pr.done
	return pr.err
}

// Stop shuts the process down gracefully, waits for its end and returns the error of a failed
// exit.
func (pr *Process) Stop() error {
	pr.Terminate()
	return pr.Wait()
}
