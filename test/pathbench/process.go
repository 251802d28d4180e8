package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/procfs"
)

// Ports are taken below the ephemeral range, so that an outgoing connection
// cannot hold the port of a process that restarts.
const (
	lowestPort = 15000
	portRange  = 15000
)

var lastPort atomic.Int64

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	lastPort.CompareAndSwap(0, int64(os.Getpid()*37%portRange))
	for {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+lastPort.Add(1)%portRange)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// process is one child process. Its output is dropped.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

func spawn(path string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(path, args...), done: make(chan struct{})}
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
	if p != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// cpu returns the processor time in seconds that the process has used, 0 if it
// has ended.
func (p *process) cpu() float64 {
	proc, err := procfs.NewProc(p.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	stat, _ := proc.Stat()
	return stat.CPUTime()
}

// machine is the processor time in seconds that all processes have used, and
// when it was read.
type machine struct {
	busy float64
	at   time.Time
}

func readMachine() machine {
	fs, _ := procfs.NewDefaultFS()
	stat, _ := fs.Stat()
	c := stat.CPUTotal
	return machine{busy: c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal, at: time.Now()}
}

// since returns how many processors were in use on average.
func (m machine) since(before machine) float64 {
	return (m.busy - before.busy) / m.at.Sub(before.at).Seconds()
}
