package config

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
)

func team(name string, keys ...string) Team {
	t := Team{Name: name}
	for _, k := range keys {
		t.Keys = append(t.Keys, DigestOfKey(k))
	}
	return t
}

func withTeams(teams ...Team) *Configuration {
	c := configuration(route("r", "h", "/"))
	c.Teams = teams
	return c
}

// Guards the lookup of teams: by key, by the digest of a key and by name.
func TestTeamOfKey(t *testing.T) {
	is := is.New(t)
	s, err := Compile(withTeams(team("a", "k1", "k2"), team("b", "k3"), team("c")))
	is.NoErr(err)
	is.True(s.HasTeams())
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		got, ok := s.TeamOfKey(key)
		is.True(ok)
		is.Equal(got.Name, want)
	}
	digest := DigestOfKey("k1")
	for _, key := range []string{"", "k", "k4", "K1", "a", digest.String(), string(digest[:]), digest.Hex()} {
		_, ok := s.TeamOfKey(key)
		is.True(!ok) // neither another key nor the digest of one is a key
	}
	got, ok := s.Team("c")
	is.True(ok && len(got.Keys) == 0)
	_, ok = s.Team("d")
	is.True(!ok)

	s, err = Compile(withTeams())
	is.NoErr(err)
	is.True(!s.HasTeams())
	_, ok = s.TeamOfKey("k1")
	is.True(!ok)
}

// Guards against a version with a faulty team that comes into force, and against an
// error that does not name the team and the field.
func TestCheckRejectsFaultyTeams(t *testing.T) {
	for name, c := range map[string]struct {
		teams []Team
		field string
	}{
		"no name":           {[]Team{team("a"), team("")}, "teams[1] name"},
		"twice":             {[]Team{team("a", "k1"), team("a", "k2")}, `team "a" name`},
		"key of two teams":  {[]Team{team("a", "k1"), team("b", "k2", "k1")}, `team "b" keys`},
		"negative rate":     {[]Team{{Name: "a", Rate: -1}}, `team "a" rate`},
		"infinite rate":     {[]Team{{Name: "a", Rate: math.Inf(1)}}, `team "a" rate`},
		"rate is no number": {[]Team{{Name: "a", Rate: math.NaN()}}, `team "a" rate`},
		"negative burst":    {[]Team{{Name: "a", Burst: -1}}, `team "a" burst`},
		"infinite burst":    {[]Team{{Name: "a", Burst: math.Inf(1)}}, `team "a" burst`},
		"burst no number":   {[]Team{{Name: "a", Burst: math.NaN()}}, `team "a" burst`},
		"rank":              {[]Team{{Name: "a", Rank: new(model.MaxRank + 1)}}, `team "a" rank`},
		"line break":        {[]Team{team("a\r\nX-Other: b")}, `team "a\r\nX-Other: b" name`},
		"space at the end":  {[]Team{team("a ")}, `team "a " name`},
		"long name":         {[]Team{team(strings.Repeat("n", maxTeamName+1))}, `team "` + strings.Repeat("n", 64) + `" name`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := withTeams(c.teams...).Check()
			is.True(f != nil)
			is.Equal(f.Field, c.field)
			is.True(!strings.Contains(f.Error(), DigestOfKey("k1").Hex())) // at most the first digits
		})
	}
	is.New(t).Equal(withTeams(team("a", "k1", "k1"), team("b"), team("ação x")).Check(), nil)
}

// Guards against a digest that is lost in a message between nodes, and against an
// error that contains a key which was taken for a digest.
func TestKeyDigestAsText(t *testing.T) {
	is := is.New(t)
	d := DigestOfKey("k")
	text, err := json.Marshal(d)
	is.NoErr(err)
	is.Equal(len(text), 66)
	var got KeyDigest
	is.NoErr(json.Unmarshal(text, &got))
	is.Equal(got, d)
	is.Equal(d.String(), string(text[1:9]))
	for _, wrong := range []string{"", "secretkey", strings.Repeat("z", 64), strings.Repeat("a", 63), strings.Repeat("a", 65), strings.Repeat("a", 66)} {
		err := got.UnmarshalText([]byte(wrong))
		is.True(err != nil)
		is.True(wrong == "" || !strings.Contains(err.Error(), wrong))
	}
}

// Guards the rank of calls: that of the team takes precedence over that of the route.
func TestRankOfTeam(t *testing.T) {
	is := is.New(t)
	r := &Route{Rank: 3}
	is.Equal((*Team)(nil).RankOf(r), model.Rank(3))
	is.Equal((&Team{}).RankOf(r), model.Rank(3))
	is.Equal((&Team{Rank: new(model.Rank(0))}).RankOf(r), model.Rank(0))
	is.Equal((&Team{Rank: new(model.Rank(5))}).RankOf(r), model.Rank(5))
	is.Equal((*Team)(nil).RankOf(&Route{Rank: 9}), model.MaxRank)
}
