//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is one machine: a node of the system and the address of the backend beside it.
type node struct {
	name, region, zone, service, ip string
	ports                           [6]int // outbound, inbound, ready, control, internal, app
	dir, store                      string
	cmd                             *exec.Cmd
	ended                           chan struct{}
	rec                             *record
}

func (n *node) at(i int) string { return fmt.Sprintf("%s:%d", n.ip, n.ports[i]) }

func (n *node) outbound() string { return n.at(0) }
func (n *node) ready() string    { return n.at(2) }
func (n *node) control() string  { return n.at(3) }
func (n *node) app() string      { return n.at(5) }

// settings is platform/settings.yaml, filled in with the figures of a small deployment.
const settings = `node: "%s"
region: "%s"
availability_zone: "%s"
first_start: "%s"
listeners:
  calls: "%s"
  peers: "%s"
  messages: "%s"
  reports: "%s"
  readiness: "%s"
upstream:
  service: "%s"
  address: "%s"
store:
  address: "%s"
  apply: "2000ms"
network:
  bandwidth: 1000.0
retries:
  ratio: 0.2
  extra: 60
rollouts:
  only_ordered: "no"
quota:
drain:
  finish: "6s"
`

// start starts the process with the command of the deploy file.
func (n *node) start(first bool) error {
	word := "no"
	if first {
		word = "yes"
	}
	path := filepath.Join(n.dir, n.name+".yaml")
	text := fmt.Sprintf(settings, n.name, n.region, n.zone, word, n.at(0), n.at(1), n.at(4), n.at(3), n.at(2), n.service, n.app(), n.store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/lentilflow", "run")
	n.cmd.Env = []string{"LENTILFLOW_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.rec.add("%s: process %d starts", n.name, n.cmd.Process.Pid)
	n.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		n.rec.add("%s: process %d ends: %v", n.name, cmd.Process.Pid, err)
		_ = log.Close()
		close(ended)
	}(n.cmd, n.ended)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.rec.say("%s: process %d gets %s", n.name, n.cmd.Process.Pid, s)
	_ = n.cmd.Process.Signal(s)
}

// endsWithin reports whether the process ends in time.
func (n *node) endsWithin(d time.Duration) bool {
	select {
	case <-n.ended:
		return true
	case <-time.After(d):
		return false
	}
}

var probe = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (n *node) isReady() bool {
	resp, err := probe.Get("http://" + n.ready() + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
