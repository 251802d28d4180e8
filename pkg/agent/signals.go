package agent

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives the signals of the process. The zero value receives none.
type Signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
}

// ReceiveSignals registers for the signals that a node handles, until the process ends
// or Release is called. A supervisor may send each of them several times, in any order
// and at any time, and their default action would cut the calls of the node.
func ReceiveSignals() *Signals {
	// With room for one signal each, no kind displaces another one.
	s := &Signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a write to the log fails instead once its reader has ended
	return s
}

// Release restores the default actions of the signals.
func (s *Signals) Release() {
	signal.Reset(syscall.SIGTERM, os.Interrupt, syscall.SIGHUP, syscall.SIGPIPE)
}
