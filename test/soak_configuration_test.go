package test

import (
	"fmt"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// putNextVersion raises the version by increment and puts a configuration with
// that version and one more route.
func (s *soak) putNextVersion(increment model.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += increment
	s.put(s.newestConfiguration())
}

// newestConfiguration returns the configuration with the newest version. The mutex is
// held.
func (s *soak) newestConfiguration() *config.Configuration {
	c := baseConfiguration(s.version)
	addTeams(c)
	if s.version == 1 { // the first one
		return c
	}
	c.Routes = append(c.Routes, config.Route{
		Name: "extra", Host: host, Prefix: fmt.Sprintf("/extra%d/", s.version), MaxAttempts: 1,
		Split: []config.Share{{Service: services[0], Weight: 1}},
	})
	return c
}

// putNewestAgain writes the newest configuration again, as the operator does after a
// restore.
func (s *soak) putNewestAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(s.newestConfiguration())
}
