package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/operator"
	"github.com/lentilflow/lentilflow/pkg/standin/store"
)

const teamKey = "keymark3nr26tta"

// startStoreWithTeams starts a store with a rules file that has a private and a public
// rule and two teams, and returns its address.
func startStoreWithTeams(t *testing.T) string {
	t.Helper()
	address, tag := startStore(t)
	file := filepath.Join(t.TempDir(), "teams.rules")
	text := rulesText + "rule open path=/open service=s rank=3 deadline=1s idempotent=yes public=yes # Ana Prado: test\n" +
		"team bozi rank=0 rate=567 burst=60 key=sha256:" + config.DigestOfKey(teamKey).Hex() + " # Jo Silva: depot clerks\n" +
		"team free key=sha256:" + config.DigestOfKey("other").Hex() + " # Ana Prado: test\n"
	is.New(t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	r := lentilctl(nil, "rules", "put", file, "--if-match", tag, "--store", address)
	is.New(t).Equal(r.stderr, "")
	return address
}

// digestOf runs "lentilctl teams digest" with a standard input.
func digestOf(stdin string) result {
	var out, errs bytes.Buffer
	code := execute([]string{"teams", "digest"}, &cli.Env{Context: context.Background(), Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errs})
	return result{code, out.String(), errs.String()}
}

// Guards the form in which keys get into a rules file: "teams digest" prints the digest
// that the rules file and the nodes use, and no output contains a key.
func TestTeamsDigest(t *testing.T) {
	is := is.New(t)
	want := "sha256:" + config.DigestOfKey(teamKey).Hex() + "\n"
	for _, stdin := range []string{teamKey, teamKey + "\n", teamKey + "\r\n", teamKey + "\nmore\n"} {
		is.Equal(digestOf(stdin), result{0, want, ""})
	}
	for _, stdin := range []string{"", "\n", " " + teamKey, teamKey + " ", "a b", "Bearer " + teamKey, teamKey + "\x01"} {
		r := digestOf(stdin)
		is.Equal(r.code, 1)
		is.True(!strings.Contains(r.stdout+r.stderr, teamKey))
	}
}

// Guards the list of teams, also under its other name and for a configuration that the
// platform has written with keys.
func TestTeamsList(t *testing.T) {
	is := is.New(t)
	address := startStoreWithTeams(t)
	short := config.DigestOfKey(teamKey).String()
	for _, command := range []string{"teams", "tenants", "teams list"} {
		r := lentilctl(nil, append(strings.Fields(command), "--store", address)...)
		is.Equal(r.code, 0)
		lines := strings.Split(r.stdout, "\n")
		is.Equal(strings.Fields(lines[1]), []string{"bozi", "0", "567/s", "60", short, "Jo", "Silva"})
		is.Equal(strings.Fields(lines[2])[:4], []string{"free", "-", "-", "-"})
	}
	is.True(strings.Contains(lentilctl(nil, "teams", "--long", "--store", address).stdout, config.DigestOfKey(teamKey).Hex()))
	var listed operator.Teams
	is.NoErr(json.Unmarshal([]byte(lentilctl(nil, "teams", "-o", "json", "--store", address).stdout), &listed))
	is.Equal(listed.Teams[0].Keys, []config.KeyDigest{config.DigestOfKey(teamKey)})

	s := store.New()
	e, err := s.Listen("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(e.Close)
	s.Put("op", "config", []byte(`{"version":"00000007","services":[{"name":"s"}],"hosts":[],"tenants":[{"name":"plain","api-keys":["`+teamKey+`"]}]}`))
	r := lentilctl(nil, "teams", "--store", e.Address())
	is.True(strings.Contains(r.stdout, "plain") && strings.Contains(r.stdout, short))
	is.True(!strings.Contains(r.stdout, teamKey))

	for _, command := range []string{"teams", "tenants", "teams list", "teams digest"} {
		r := lentilctl(nil, append(strings.Fields(command), "--help")...)
		is.Equal(r.code, 0)
		is.True(strings.HasPrefix(r.stdout, "Usage: lentilctl teams"))
	}
	address, _ = startStore(t)
	is.Equal(lentilctl(nil, "teams", "--store", address).stdout, "version 1 has no teams; calls need no key\n")
}

// Guards the explanation of a call: it names the team, its rank and its limit, for a
// name and for a digest, and says when the call is answered 401.
func TestExplainNamesTeam(t *testing.T) {
	address := startStoreWithTeams(t)
	digest := config.DigestOfKey(teamKey)
	for _, c := range []struct {
		path, team string
		want       []string
	}{
		{"r", "", []string{"team none has the key; the call is answered 401", "rank 1"}},
		{"r", "bozi", []string{"team bozi, asked by Jo Silva", "rank 0, of the team", "limit 567 requests per second over all nodes, burst 60"}},
		{"r", digest.String(), []string{"team bozi, asked by Jo Silva", "rank 0, of the team"}},
		{"r", "sha256:" + digest.Hex(), []string{"team bozi, asked by Jo Silva"}},
		{"r", "free", []string{"team free, asked by Ana Prado", "rank 1", "limit none"}},
		{"r", config.DigestOfKey("unknown").Hex(), []string{"team none has the key; the call is answered 401"}},
		{"open", "", []string{"team none; the route is public and needs no key", "rank 3"}},
		{"open", "bozi", []string{"team bozi, asked by Jo Silva", "rank 0, of the team", "limit none on this route, which is public"}},
	} {
		is := is.New(t)
		args := []string{"explain", "GET", "http://h.example/" + c.path, "--store", address}
		if c.team != "" {
			args = append(args, "--team", c.team)
		}
		r := lentilctl(nil, args...)
		is.Equal(r.code, 0)
		var lines []string
		for _, line := range strings.Split(r.stdout, "\n") {
			lines = append(lines, strings.Join(strings.Fields(line), " "))
		}
		for _, want := range c.want {
			if !strings.Contains("\n"+strings.Join(lines, "\n")+"\n", "\n"+want+"\n") {
				t.Errorf("explanation of %s for %q lacks %q:\n%s", c.path, c.team, want, r.stdout)
			}
		}
	}
	r := lentilctl(nil, "explain", "GET", "http://h.example/r", "--team", "nobody", "--store", address)
	is.New(t).Equal(r.code, 1)
	is.New(t).True(strings.Contains(r.stderr, `team "nobody" does not exist`))
}

// Guards against an older file that is put again and silently makes the mesh accept
// calls without a key.
func TestPutWithoutTeamsWarns(t *testing.T) {
	is := is.New(t)
	address := startStoreWithTeams(t)
	file := filepath.Join(t.TempDir(), "f.rules")
	is.NoErr(os.WriteFile(file, []byte(rulesText), 0o600))
	r := lentilctl(nil, "rules", "put", file, "--if-match", tagOf(t, address), "--store", address)
	is.Equal(r.code, 0)
	is.Equal(r.stderr, "warning: the file has no team, and version 2 has 2; calls will need no key\n")
}
