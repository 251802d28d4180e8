package rules

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

func digest(key string) string { return config.DigestOfKey(key).Hex() }

// Guards against fields of teams and rules that are stored in the wrong place, and
// against a configuration that differs from the rules file.
func TestTeamsOfRulesFile(t *testing.T) {
	is := is.New(t)
	f, faults := Parse("f", []byte(validService+strings.Replace(validRule, "rank=1", "rank=1 public=yes", 1)+strings.NewReplacer("rule r", "rule r2", "/p", "/q").Replace(validRule)+
		"team bozi-3 rank=0 rate=567.5 burst=12 key=sha256:"+digest("k1")+" key=sha256:"+digest("k2")+" # Ana Prado: depot clerks\n"+
		"team other key=sha256:"+digest("k3")+" # Jo\n"))
	is.Equal(faults, nil)
	is.Equal(f.Teams, []model.Team{
		{Name: "bozi-3", Rank: new(model.Rank(0)), Rate: 567.5, Burst: 12, Keys: []string{digest("k1"), digest("k2")}, AskedBy: "Ana Prado", Reason: "depot clerks", Line: 4},
		{Name: "other", Keys: []string{digest("k3")}, AskedBy: "Jo", Line: 5},
	})
	c := f.Configuration(7)
	is.Equal([]bool{c.Routes[0].Public, c.Routes[1].Public}, []bool{true, false})
	s, err := config.Compile(c)
	is.NoErr(err)
	for key, name := range map[string]string{"k1": "bozi-3", "k2": "bozi-3", "k3": "other"} {
		team, ok := s.TeamOfKey(key)
		is.True(ok)
		is.Equal(team.Name, name)
	}
	team, _ := s.Team("bozi-3")
	is.Equal([]any{*team.Rank, team.Rate, team.Burst, team.AskedBy}, []any{model.Rank(0), 567.5, 12.0, "Ana Prado"})
}

// Guards against faulty teams that are accepted, and against a fault that shows a key
// which was written where its digest belongs.
func TestFaultyTeamsOfRulesFile(t *testing.T) {
	const key = "keymark3nr26tta"
	team := func(fields string) string { return "team t " + fields + " # Ana\n" }
	valid := "key=sha256:" + digest("k")
	for name, c := range map[string]struct {
		text, field, want string
		line              int
	}{
		"key instead of digest": {team("key=" + key), "key", "is not accepted", 1},
		"key with prefix":       {team("key=sha256:" + key), "key", "is not accepted", 1},
		"digest too short":      {team("key=sha256:" + digest("k")[1:]), "key", "is not accepted", 1},
		"upper-case digest":     {team("key=sha256:" + strings.ToUpper(digest("k"))), "key", "is not accepted", 1},
		"key without field":     {team(valid + " " + key), "", "form field=value", 1},
		"key as field":          {team(valid + " " + key + "=="), "", "unknown field", 1},
		"no key":                {team("rank=1"), "key", "does not state key", 1},
		"rank twice":            {team("rank=1 rank=2 " + valid), "rank", "stated twice", 1},
		"rank 8":                {team("rank=8 " + valid), "rank", `"8" is not accepted`, 1},
		"negative rate":         {team("rate=-1 " + valid), "rate", `"-1" is not accepted`, 1},
		"infinite rate":         {team("rate=Inf " + valid), "rate", "is not accepted", 1},
		"rate no number":        {team("rate=NaN " + valid), "rate", "is not accepted", 1},
		"rate with exponent":    {team("rate=1e3 " + valid), "rate", "is not accepted", 1},
		"rate too high":         {team("rate=1000001 " + valid), "rate", "is not accepted", 1},
		"rate without fraction": {team("rate=1. " + valid), "rate", "is not accepted", 1},
		"negative burst":        {team("rate=1 burst=-1 " + valid), "burst", "is not accepted", 1},
		"burst without rate":    {team("burst=1 " + valid), "burst", "without a rate", 1},
		"no person":             {"team t " + valid + "\n", "comment", "no person", 1},
		"upper-case name":       {"team T " + valid + " # Ana\n", "name", "not accepted", 1},
		"team twice":            {team(valid) + team("key=sha256:"+digest("k2")), "name", `team "t" is already declared in line 1`, 2},
		"key of two teams":      {team(valid) + "team u " + valid + " # Ana\n", "key", "is already stated in line 1", 2},
		"key stated twice":      {team(valid + " " + valid), "key", "is already stated in line 1", 1},
		"public maybe":          {validService + strings.Replace(validRule, "rank=1", "rank=1 public=maybe", 1), "public", "not accepted", 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, faults := Parse("f.rules", []byte(c.text))
			is.True(f == nil)
			is.Equal(len(faults), 1)
			is.Equal([]any{faults[0].Line, faults[0].Field}, []any{c.line, c.field})
			if !strings.Contains(faults[0].Message, c.want) {
				t.Errorf("message %q does not contain %q", faults[0].Message, c.want)
			}
			is.True(!strings.Contains(faults[0].String(), key))
			is.True(faults[0].Accepted != "")
		})
	}
}

// Guards against a change of a team that "rules diff" does not show, or that shows
// more of a digest than is needed to recognise it.
func TestDiffOfTeams(t *testing.T) {
	is := is.New(t)
	parse := func(text string) *File {
		f, faults := Parse("f", []byte(text))
		is.Equal(len(faults), 0)
		return f
	}
	key := func(k string) string { return " key=sha256:" + digest(k) }
	before := parse("team a" + key("1") + key("2") + " # Ana\nteam b rank=1" + key("3") + " # Ana\nteam c" + key("4") + " # Ana\n")
	after := parse("team a" + key("2") + key("1") + " # Ana\nteam b rate=5.5 burst=2" + key("5") + " # Jo: new key\nteam d" + key("4") + " # Ana\n" + validService + strings.Replace(validRule, "rank=1", "rank=1 public=yes", 1))
	var lines []string
	for _, c := range Diff(before, after) {
		lines = append(lines, c.String())
	}
	is.Equal(lines, []string{
		"added service a (asked by Ana)", "added rule r (asked by Ana)",
		fmt.Sprintf("changed team b: rank 1 -> none, rate 0 -> 5.5, burst 0 -> 2, keys %s -> %s, asked by Ana -> Jo, reason none -> new key (asked by Jo)", digest("3")[:16], digest("5")[:16]),
		"added team d (asked by Ana)", "removed team c (asked by Ana)",
	})
	private := parse(validService + validRule + "team a" + key("1") + " # Ana\n")
	public := parse(validService + strings.Replace(validRule, "rank=1", "rank=1 public=yes", 1) + "team a" + key("1") + " # Ana\n")
	is.Equal(Diff(private, public)[0].Fields, []FieldChange{{Field: "public", Before: "no", After: "yes"}})
}

// Guards against a file without teams whose configuration has some, and the longest
// line: a team with as many keys as fit.
func TestTeamWithManyKeys(t *testing.T) {
	is := is.New(t)
	f, _ := Parse("f", []byte(validService+validRule))
	is.Equal(len(f.Configuration(1).Teams), 0)
	line := "team t"
	for i := 0; len(line) < MaxLine-200; i++ {
		line += " key=sha256:" + digest(fmt.Sprint(i))
	}
	f, faults := Parse("f", []byte(line+" # Ana\n"))
	is.Equal(len(faults), 0)
	is.True(len(f.Teams[0].Keys) >= 50)
}
