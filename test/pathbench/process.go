package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Ports are taken below the ephemeral range, so that an outgoing connection
// cannot hold the port of a process that restarts.
const (
	lowestPort  = 15000
	highestPort = 31000
)

var ports struct {
	sync.Mutex
	next int
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = lowestPort + os.Getpid()*37%(highestPort-lowestPort-1000)
	}
	for {
		ports.next++
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// process is one child process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

// spawn starts a process. Its standard error goes to the file log.
func spawn(log, path string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(path, args...), done: make(chan struct{})}
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p.cmd.Stderr = out
	if err := p.cmd.Start(); err != nil {
		return nil, merry.Prependf(err, "start %s", path)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// cpu returns the processor time that the process has used.
func (p *process) cpu() time.Duration {
	const ticksPerSecond = 100 // USER_HZ of Linux
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	var user, system int64
	fields := strings.Fields(rest)
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// machine is the processor time of the whole machine, in ticks.
type machine struct{ busy, total float64 }

func readMachine() machine {
	f, err := os.Open("/proc/stat")
	if err != nil {
		return machine{}
	}
	defer f.Close()
	line, _ := bufio.NewReader(io.LimitReader(f, 4096)).ReadString('\n')
	var m machine
	for i, field := range strings.Fields(line)[1:] {
		var v float64
		_, _ = fmt.Sscan(field, &v)
		if i < 8 { // guest time is part of user time
			m.total += v
		}
		if i != 3 && i != 4 && i < 8 { // idle and waiting for input
			m.busy += v
		}
	}
	return m
}

// since returns the percentage of the machine's processors that was in use.
func (m machine) since(before machine) float64 {
	return 100 * (m.busy - before.busy) / max(1, m.total-before.total)
}
