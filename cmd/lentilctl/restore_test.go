package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/standin/store"
)

// restorable is a store with a node that has a version of the rules in force.
type restorable struct {
	t       *testing.T
	store   *store.Store
	address string
	inForce model.Version // at the node
}

func newRestorable(t *testing.T) *restorable {
	t.Helper()
	r := &restorable{t: t, store: store.New()}
	e, err := r.store.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	r.address = e.Address()
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(model.NodeState{Node: "n", Version: r.inForce})
	}))
	t.Cleanup(node.Close)
	row, err := json.Marshal(fleet.Member{
		Node: "n", Service: "s", CallAddress: "127.0.0.1:1", MessageAddress: strings.TrimPrefix(node.URL, "http://"),
		Location: model.Location{Region: "r", AvailabilityZone: "z"},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.store.Put("lentilflow-nodes", "n", row)
	return r
}

// put puts a rules file with the given rank and returns the result.
func (r *restorable) put(rank, tag string) result {
	r.t.Helper()
	file := filepath.Join(r.t.TempDir(), "put.rules")
	is.New(r.t).NoErr(os.WriteFile(file, []byte(strings.Replace(rulesText, "rank=1", "rank="+rank, 1)), 0o600))
	return lentilctl(nil, "rules", "put", file, "--if-match", tag, "--wait", "0s", "--store", r.address)
}

// Guards against an accepted rules file that does not come into force after a
// restore: its version was derived from the restored store alone, and the nodes
// already have that version or a later one.
func TestPutAfterRestoreIsNewerThanTheNodes(t *testing.T) {
	is := is.New(t)
	r := newRestorable(t)
	is.Equal(r.put("1", "none").stdout, "version 1 accepted\n")
	from := r.store.Copy()
	is.Equal(r.put("2", tagOf(t, r.address)).stdout, "version 2 accepted\n")
	is.Equal(r.put("3", tagOf(t, r.address)).stdout, "version 3 accepted\n")
	r.inForce = 3
	r.store.Restore(from)
	is.Equal(r.put("4", tagOf(t, r.address)).stdout, "version 4 accepted\n")
}

// Guards against a change of another operator that is overwritten unseen: the tag
// was read before a restore, and its revision was given out again since.
func TestTagOfAnEarlierEraIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRestorable(t)
	is.Equal(r.put("1", "none").code, 0)
	from, tag := r.store.Copy(), tagOf(t, r.address)
	is.Equal(r.put("2", tag).code, 0)
	old, version := tagOf(t, r.address), r.store.Version()
	r.store.Restore(from)
	is.Equal(r.put("3", tagOf(t, r.address)).code, 0)
	is.Equal(r.store.Version(), version)
	refused := r.put("4", old)
	is.True(refused.code != 0)
	is.True(strings.Contains(refused.stderr, "another configuration was put in force meanwhile"))
}
