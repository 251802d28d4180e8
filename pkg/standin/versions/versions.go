// Package versions is a stand-in for the part of the users' platform that starts and stops
// the upstreams of a rollout: old ones stop at once when the status says completed, and new
// ones drain some time after it says rolled_back.
package versions

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/standin/store"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

// pollInterval is the time between two looks at the status.
const pollInterval = 5 * time.Millisecond

// Status is a row of the status table as the platform reads it.
type Status struct {
	State string `json:"state"`
	To    string `json:"to"`
}

// Change is a status and when it was first seen.
type Change struct {
	Status
	At time.Time
	// Running is the number of requests at the old upstreams when they were stopped.
	Running int
}

// Supervisor stops the upstreams of a service as the status of its rollout says. Its fields
// are set before Start.
type Supervisor struct {
	Store   *store.Store
	Service string
	To      string
	Old     []*upstream.Upstream
	New     []*upstream.Upstream
	// DrainAfter is the time from rolled_back until the new upstreams drain, and LeaveAfter
	// that until they end.
	DrainAfter, LeaveAfter time.Duration

	mu      sync.Mutex
	changes []Change
	ended   chan struct{}
	once    sync.Once
}

// Start follows the status until Stop is called or the rollout has ended.
func (s *Supervisor) Start() {
	s.ended = make(chan struct{})
	go s.run()
}

// Stop ends the supervision. Further calls have no effect.
func (s *Supervisor) Stop() { s.once.Do(func() { close(s.ended) }) }

// Changes returns the statuses so far, in their order.
func (s *Supervisor) Changes() []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Change(nil), s.changes...)
}

// Last returns the newest state, "" if there is none.
func (s *Supervisor) Last() string {
	all := s.Changes()
	if len(all) == 0 {
		return ""
	}
	return all[len(all)-1].State
}

func (s *Supervisor) run() {
	var last Status
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(pollInterval):
		}
		row, ok := s.Store.Get("status", "rollout/"+s.Service)
		var status Status
		if !ok || json.Unmarshal(row.Value, &status) != nil || status == last || status.To != s.To {
			continue
		}
		last = status
		c := Change{Status: status, At: time.Now()}
		switch status.State {
		case "completed":
			for _, u := range s.Old {
				c.Running += u.Running()
				u.Crash()
			}
		case "rolled_back":
			go s.drain()
		}
		s.mu.Lock()
		s.changes = append(s.changes, c)
		s.mu.Unlock()
	}
}

// drain drains the new upstreams and ends them.
func (s *Supervisor) drain() {
	time.Sleep(s.DrainAfter)
	for _, u := range s.New {
		u.Drain()
	}
	time.Sleep(s.LeaveAfter)
	for _, u := range s.New {
		u.Leave()
		u.Crash()
	}
}
