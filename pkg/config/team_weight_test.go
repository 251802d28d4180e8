package config

import "testing"

// Guards against teams without a rate that get nothing, or everything, when a service is
// short of capacity.
func TestTeamWeight(t *testing.T) {
	for name, c := range map[string]struct {
		teams []Team
		want  map[string]float64
	}{
		"rates":           {[]Team{{Name: "a", Rate: 100}, {Name: "b", Rate: 20}, {Name: "c"}}, map[string]float64{"a": 100, "b": 20, "c": 60, "unknown": 60}},
		"no team has one": {[]Team{{Name: "a"}, {Name: "b"}}, map[string]float64{"a": 1, "b": 1}},
		"no teams":        {nil, map[string]float64{"a": 1}},
	} {
		s, err := Compile(&Configuration{Version: 1, Teams: c.teams})
		if err != nil {
			t.Fatal(err)
		}
		for team, want := range c.want {
			if got := s.TeamWeight(team); got != want {
				t.Errorf("%s: team %s has the weight %v, want %v", name, team, got, want)
			}
		}
	}
}
