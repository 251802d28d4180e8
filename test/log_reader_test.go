package test

import (
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startWithLogTo replaces the process of the node by one that writes its log to out. It
// returns a channel that is closed once that process has ended.
func (n *node) startWithLogTo(out *os.File) (p *exec.Cmd, ended chan error) {
	n.c.t.Helper()
	n.kill()
	p = exec.Command(filepath.Join(os.Getenv("LENTILFLOW_BIN"), "lentilflow"), "run", "--settings", n.settingsFile)
	p.Stdout, p.Stderr = out, out
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		n.c.t.Fatal(err)
	}
	ended = make(chan error, 1)
	go func() { ended <- p.Wait() }()
	n.c.t.Cleanup(func() { _ = p.Process.Kill() })
	return p, ended
}

// fill writes to a pipe until it takes no more, and reports whether it is full.
func fill(out *os.File) bool {
	_ = out.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := out.Write(make([]byte, 1<<20))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against a process that ends, or does not stop in time, because the reader of its
// log has ended or does not read.
func TestReaderOfLogDoesNotEndNode(t *testing.T) {
	t.Parallel()
	for name, reads := range map[string]bool{"reader has ended": false, "reader does not read": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := startCluster(t, 2)
			n := c.nodes[0]
			in, out, err := os.Pipe()
			is.NoErr(err)
			t.Cleanup(func() { _ = in.Close() })
			full := fill(out)
			p, ended := n.startWithLogTo(out)
			is.NoErr(out.Close())
			if reads {
				is.True(full)
			} else {
				is.NoErr(in.Close())
			}
			c.await(startTimeout, "node is ready", n.isReady)
			caller := newCaller(n)
			for range 10 {
				if r := caller.send(http.MethodGet, "/status/1", 3*time.Second); !r.served() {
					t.Fatalf("status %d, error %v", r.status, r.err)
				}
			}
			is.NoErr(p.Process.Signal(syscall.SIGTERM))
			select {
			case err := <-ended:
				is.NoErr(err)
			case <-time.After(stopLimit):
				t.Fatal("process has not ended in time")
			}
		})
	}
}
