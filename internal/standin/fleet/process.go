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

// killAfter bounds a graceful stop.
const killAfter = 90 * time.Second

// Process is one program of the fleet.
type Process struct {
	Name string
	// Log is the file that receives its output.
	Log string
	cmd *exec.Cmd

	mu     sync.Mutex
	exited chan struct{}
	err    error
}

func start(name, dir, program string, args ...string) (*Process, error) {
	logFile := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &Process{Name: name, Log: logFile, cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s does not start: %w", name, err)
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

// Signal sends a signal to this process only.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Err returns how the process ended: nil while it runs and after exit status 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Stop asks for a graceful stop and waits for the end. The error tells an exit status other than 0.
func (p *Process) Stop() error {
	select {
	case <-p.exited:
		return nil
	default:
	}
	p.Signal(syscall.SIGCONT) //nolint:errcheck // a stopped process cannot handle SIGTERM
	p.Signal(syscall.SIGTERM) //nolint:errcheck // the wait below tells whether it ended
	select {
	case <-p.exited:
		return p.Err()
	case <-time.After(killAfter):
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, killAfter)
	}
}

// Kill ends the process at once and waits for the end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL) //nolint:errcheck // the process may have ended already
	<-p.exited
}
