package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopTimeout limits a graceful stop. After it the process is killed.
const stopTimeout = 90 * time.Second

// Process is a running or ended process of the fleet. It is safe for concurrent use.
type Process struct {
	// Name is the name of the VM or backend server, or "platform".
	Name string
	// Log is the file to which standard output and standard error are appended.
	Log string
	cmd *exec.Cmd

	mu sync.Mutex
	// exited is closed after err is set.
	exited chan struct{}
	// err is the result of cmd.Wait.
	err error
}

// startProcess starts a program whose output is appended to name.log in dir.
func startProcess(name, dir, program string, args ...string) (*Process, error) {
	logFile := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &Process{Name: name, Log: logFile, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("cannot start process %s: %w", name, err)
	}
	go func() {
		err := p.cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.exited)
	}()
	return p, nil
}

// Signal sends a signal to the process. It returns an error if the process has ended.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Err returns nil while the process runs and after exit status 0, else the error of exec.Cmd.Wait.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Exited returns a channel that is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Stop sends SIGTERM and waits until the process has ended. After 90 s it kills the process and
// returns an error. An exit status other than 0 is an error too. Stop returns nil for a process
// that had ended before.
func (p *Process) Stop() error {
	select {
	case <-p.exited:
		return nil
	default:
	}
	p.Signal(syscall.SIGCONT) //nolint:errcheck // a process stopped by SIGSTOP cannot handle SIGTERM
	p.Signal(syscall.SIGTERM) //nolint:errcheck // the wait below detects whether it ended
	select {
	case <-p.exited:
		return p.Err()
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not exit within %s after SIGTERM and was killed", p.Name, stopTimeout)
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL) //nolint:errcheck // the process may have ended already
	<-p.exited
}
