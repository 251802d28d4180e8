package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/admin"
	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/pkg/model"
)

const text = "service s slots=1 connections=10 # Ana Prado: test\n" +
	"rule r path=/r service=s rank=1 deadline=1s idempotent=yes # Ana Prado: test\n"

type result struct {
	code           int
	stdout, stderr string
}

func lentilctl(env map[string]string, args ...string) result {
	var out, errs bytes.Buffer
	code := execute(args, &cli.Env{
		Context: context.Background(),
		Stdin:   strings.NewReader(""),
		Stdout:  &out,
		Stderr:  &errs,
		Getenv:  func(name string) string { return env[name] },
	})
	return result{code, out.String(), errs.String()}
}

// serve answers GET /v1/rules with text and refuses every put as a conflict.
func serve(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/rules", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(admin.APIHeader, admin.APIVersion)
		_ = json.NewEncoder(w).Encode(admin.RulesFile{ETag: "1", Text: text})
	})
	mux.HandleFunc("PUT /v1/rules", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(admin.APIHeader, admin.APIVersion)
		w.Header().Set("Content-Type", admin.ProblemType)
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(admin.Problem{Status: 412, Detail: "changed by someone else", ETag: "2"})
	})
	mux.HandleFunc("GET /v1/upstreams", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(admin.APIHeader, admin.APIVersion)
		_ = json.NewEncoder(w).Encode(admin.Page[admin.Upstream]{})
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// other answers JSON to everything, as an upstream does.
func other(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a failure that exits with status 0, or with no or several
// error messages.
func TestFailuresExitWithOneError(t *testing.T) {
	dir := t.TempDir()
	faulty := filepath.Join(dir, "faulty.rules")
	good := filepath.Join(dir, "good.rules")
	is.New(t).NoErr(os.WriteFile(faulty, []byte("rule r\n"), 0o600))
	is.New(t).NoErr(os.WriteFile(good, []byte(text), 0o600))
	address := serve(t)
	for _, c := range []struct {
		name string
		args []string
		want string
	}{
		{"no command", nil, "expected one of"},
		{"unknown command", []string{"restart"}, "unexpected argument restart"},
		{"unknown flag", []string{"status", "--watch"}, "unknown flag --watch"},
		{"unknown output", []string{"status", "--output", "xml"}, "must be one of"},
		{"node unreachable", []string{"status", "--admin", "127.0.0.1:1"}, "no answer from the node at 127.0.0.1:1"},
		{"address malformed", []string{"status", "--admin", "a b"}, `address "a b"`},
		{"not an admin listener", []string{"status", "--admin", address}, address + " is not the administration listener of a node (it answered 404 Not Found)"},
		{"upstream instead of a node", []string{"rules", "get", "--admin", other(t)}, "is not the administration listener"},
		{"address without port", []string{"status", "--admin", "localhost"}, `address "localhost" is not accepted (accepted: host:port`},
		{"address as URL", []string{"status", "--admin", "http://127.0.0.1:1"}, "(accepted: host:port"},
		{"no time", []string{"status", "--timeout", "0s", "--admin", address}, "--timeout: 0s is not accepted"},
		{"negative wait", []string{"rules", "put", good, "--if-match", "1", "--wait=-1s", "--admin", address}, "--wait: -1s is not accepted"},
		{"no versions", []string{"rules", "history", "--last", "0"}, "--last: 0 is not accepted"},
		{"no upstream", []string{"upstreams", "--service", "none", "--admin", address}, `no upstream of service "none"`},
		{"file missing", []string{"rules", "check", filepath.Join(dir, "none")}, "no such file"},
		{"file faulty", []string{"rules", "check", faulty}, "fails the check"},
		{"diff of a faulty file", []string{"rules", "diff", faulty, "--admin", address}, "fails the check"},
		{"put without tag", []string{"rules", "put", good}, "missing flags: --if-match=ETAG"},
		{"put of a faulty file", []string{"rules", "put", faulty, "--if-match", "1", "--admin", address}, "fails the check"},
		{"put on an old file", []string{"rules", "put", good, "--if-match", "1", "--admin", address}, "changed by someone else; its entity tag is now 2"},
		{"edit without editor", []string{"rules", "edit", "--admin", address}, "EDITOR is not set"},
		{"explain without URL", []string{"explain", "GET"}, `expected "<url>"`},
		{"unknown deployment", []string{"dev", "--deployment", "other"}, "must be one of"},
		{"too many nodes", []string{"dev", "--nodes-per-service", "7"}, "nodes per service: 7 (accepted: 1 to 6)"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv("TMPDIR", t.TempDir())
			r := lentilctl(nil, c.args...)
			is.Equal(r.code, 1)
			is.Equal(strings.Count(r.stderr, "lentilctl: error: "), 1)
			if !strings.Contains(r.stderr, c.want) {
				t.Errorf("got %q, want %q", r.stderr, c.want)
			}
		})
	}
}

// Guards against an edit that is lost when someone else has edited too, or
// when the edited file fails the check.
func TestEditKeepsTheOperatorsFile(t *testing.T) {
	for _, c := range []struct{ name, editor, want, kept string }{
		{"conflict", "sed -i s/rank=1/rank=2/", "its entity tag is now 2", "rank=2"},
		{"faulty", "sed -i s/rank=1/rank=9/", "fails the check", "rank=9"},
		{"editor fails", "false", "editor false", "rank=1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv("TMPDIR", t.TempDir())
			r := lentilctl(map[string]string{"EDITOR": c.editor}, "rules", "edit", "--admin", serve(t))
			is.Equal(r.code, 1)
			is.True(strings.Contains(r.stderr, c.want))
			_, path, found := strings.Cut(strings.TrimSpace(r.stderr), "your text is kept in ")
			is.True(found)
			draft, err := os.ReadFile(path)
			is.NoErr(err)
			is.True(strings.Contains(string(draft), c.kept))
		})
	}
}

// Guards against an error that names a kept draft although the editor has
// removed it.
func TestRemovedDraftIsNotCalledKept(t *testing.T) {
	is := is.New(t)
	t.Setenv("TMPDIR", t.TempDir())
	r := lentilctl(map[string]string{"EDITOR": "rm"}, "rules", "edit", "--admin", serve(t))
	is.Equal(r.code, 1)
	is.True(strings.Contains(r.stderr, "no longer exists, and nothing was changed"))
	is.True(!strings.Contains(r.stderr, "is kept in"))
}

// Guards against a wait that never ends when the file gets the text of the
// newest version again, as after the repair of a refused file.
func TestPutOfTheNewestTextIsAccepted(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "f.rules")
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	answers := map[string]any{
		"PUT /v1/rules":    admin.PutResult{ETag: "9"},
		"GET /v1/status":   admin.Status{Highest: 4, Summary: admin.Summary{Nodes: 1, InForce: 1}},
		"GET /v1/versions": admin.Page[model.VersionInfo]{Items: []model.VersionInfo{{Number: 4, ETag: "7", Digest: delta.Digest([]byte(text))}}},
	}
	mux := http.NewServeMux()
	for pattern, answer := range answers {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(admin.APIHeader, admin.APIVersion)
			_ = json.NewEncoder(w).Encode(answer)
		})
	}
	server := httptest.NewServer(mux)
	defer server.Close()
	r := lentilctl(nil, "rules", "put", file, "--if-match", "8", "--wait", "5s", "--admin", strings.TrimPrefix(server.URL, "http://"))
	is.Equal(r.stderr, "")
	is.Equal(r.stdout, "version 4 in force on 1 of 1 nodes\n")
}

// Guards against an unchanged file that is put as a new version.
func TestEditWithoutChangePutsNothing(t *testing.T) {
	is := is.New(t)
	t.Setenv("TMPDIR", t.TempDir())
	r := lentilctl(map[string]string{"EDITOR": "true"}, "rules", "edit", "--admin", serve(t))
	is.Equal(r.code, 0)
	is.Equal(r.stderr, "no change\n")
}

// Guards against JSON output that is not JSON, and against help that fails.
func TestOutputs(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "f.rules")
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(text, "rank=1", "rank=0", 1)), 0o600))
	r := lentilctl(nil, "rules", "diff", file, "--admin", serve(t), "--output", "json")
	is.Equal(r.code, 0)
	var changes []map[string]any
	is.NoErr(json.Unmarshal([]byte(r.stdout), &changes))
	is.Equal(len(changes), 1)
	for _, command := range []string{"dev", "rules check", "rules diff", "rules get", "rules put", "rules edit", "rules history", "rules blame", "status", "upstreams", "explain"} {
		r := lentilctl(nil, append(strings.Fields(command), "--help")...)
		is.Equal(r.code, 0)
		is.True(strings.HasPrefix(r.stdout, "Usage: lentilctl "+command))
	}
}
