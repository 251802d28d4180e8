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

// process is one started program. It is signalled only through its handle.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of Wait, valid after done is closed
	// launched is when the process was started.
	launched time.Time
}

// launch starts a program and appends its output to logFile. The variables in
// env are added to the environment of the test process.
func launch(name, logFile, program string, env []string, args ...string) (*process, error) {
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &process{name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = append(os.Environ(), env...)
	// The kernel ends the process if the test process is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.launched = time.Now()
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// signal sends s. It has no effect on a process that has ended.
func (p *process) pid() int { return p.cmd.Process.Pid }

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process with SIGKILL and waits until it has ended.
func (p *process) kill(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGKILL)
	if !p.endsWithin(killTimeout) {
		t.Errorf("%s (process %d) has not ended %s after SIGKILL", p.name, p.cmd.Process.Pid, killTimeout)
	}
}

// endsWithin waits until the process has ended, and reports whether it did so
// before the timeout.
func (p *process) endsWithin(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Limits of the log excerpt that a failed test shows for each node.
const (
	maxLogLines   = 12
	maxLogColumns = 240
)

// accessLog occurs in the log lines of answered calls. There are so many that
// the excerpt would show no others.
const accessLog = `"msg":"call answered"`

// tail returns the last lines of a log, shortened and without those of answered
// calls. It is empty if there are no other lines.
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
