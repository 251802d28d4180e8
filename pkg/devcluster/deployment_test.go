package devcluster

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// Guards the calls that "lentilctl dev" and README show: the one with a key reaches a
// route of its team's rank, the one without a key needs one, and the public one does
// not.
func TestExamplesNeedKeysAsShown(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, err := Find(name)
			is.NoErr(err)
			f, faults := rules.Parse(name, d.Rules)
			is.Equal(len(faults), 0)
			s, err := config.Compile(f.Configuration(1))
			is.NoErr(err)
			team, ok := s.TeamOfKey(d.Example.Key)
			is.True(ok)
			is.Equal(team.Name, d.Example.Team)
			match, ok := s.Match("GET", d.Example.Host, d.Example.Path)
			is.True(ok && !match.Public)
			match, ok = s.Match("GET", d.Example.Host, d.Example.Public)
			is.True(ok && match.Public)
		})
	}
}
