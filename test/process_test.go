package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// killTimeout bounds the wait for a process after SIGKILL.
const killTimeout = 10 * time.Second

// process is one started program. Only its handle ends it.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of Wait, valid after done is closed
}

// launch starts a program whose output is appended to the file log.
func launch(name, logFile, program string, env []string, args ...string) (*process, error) {
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &process{name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), env...)
	// No process outlives a test run that is ended by force.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// signal sends s; a process that has ended ignores it.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits until it has ended.
func (p *process) kill(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGKILL)
	if !p.endsWithin(killTimeout) {
		t.Errorf("%s (process %d) has not ended %s after SIGKILL", p.name, p.cmd.Process.Pid, killTimeout)
	}
}

// endsWithin waits until the process has ended.
func (p *process) endsWithin(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Shortening of the logs of a failed test.
const (
	maxLogLines   = 12
	maxLogColumns = 240
)

// accessLog marks the lines of answered calls, which would hide all others.
const accessLog = `"msg":"call answered"`

// tail returns the last lines of a log, shortened and without
// answered calls. It is empty if there are none.
func tail(logFile string) string {
	text, err := os.ReadFile(logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	lines = slices.DeleteFunc(lines, func(l string) bool { return l == "" || strings.Contains(l, accessLog) })
	if len(lines) == 0 {
		return ""
	}
	lines = lines[max(0, len(lines)-maxLogLines):]
	for i, l := range lines {
		if len(l) > maxLogColumns {
			lines[i] = l[:maxLogColumns] + "..."
		}
	}
	return fmt.Sprintf("--- %s\n%s\n", filepath.Base(logFile), strings.Join(lines, "\n"))
}
