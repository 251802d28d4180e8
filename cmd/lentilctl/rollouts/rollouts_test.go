package rollouts

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rollout"
	"github.com/lentilflow/lentilflow/pkg/standin/store"
)

const configuration = `{"version":"00000001","services":[{"name":"s"}],"hosts":[{"host":"h","paths":[{"name":"r","prefix":"/","kind":"safe","service":"s"}]}]}`

// newDeployment starts a store with a node beside an upstream of the version v2, and returns
// the store and an environment whose output is in the buffer.
func newDeployment(t *testing.T, states func() []rollout.State) (*store.Store, *cli.Env, *bytes.Buffer) {
	t.Helper()
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case model.StatePath:
			_ = json.NewEncoder(w).Encode(model.NodeState{Node: "n", Service: "s", Software: "v2", Serving: true})
		case model.RolloutsPath:
			_ = json.NewEncoder(w).Encode(states())
		}
	}))
	t.Cleanup(node.Close)
	s := store.New()
	e, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	s.Put("op", "config", []byte(configuration))
	address := strings.TrimPrefix(node.URL, "http://")
	s.Put("lentilflow-nodes", "n", []byte(`{"node":"n","service":"s","location":{"region":"r","availability_zone":"z"},"call_address":"127.0.0.1:1","message_address":"`+address+`"}`))
	var out bytes.Buffer
	return s, &cli.Env{Globals: cli.Globals{Store: e.Address(), Output: "text", Timeout: 5 * time.Second}, Context: context.Background(), Stdout: &out, Stderr: &out}, &out
}

// Guards the order that the command writes, the end that it reports, and an operator who
// cannot see why a version was rolled back.
func TestStartAndShow(t *testing.T) {
	is := is.New(t)
	var state []rollout.State
	s, env, out := newDeployment(t, func() []rollout.State { return state })
	is.NoErr((&Show{}).Run(env))
	is.Equal(out.String(), "no rollout was ordered\n")
	is.NoErr((&Start{Service: "s", Version: "v2", Duration: 12 * time.Second}).Run(env))
	row, _ := s.Get("op", "rollout/s")
	is.Equal(string(row.Value), `{"service":"s","to":"v2","duration":"12s"}`)

	err := (&Start{Service: "s", Version: "v2", Duration: 12 * time.Second}).Run(env) // by another operator
	is.True(err != nil && strings.Contains(err.Error(), "a rollout of the service is running"))

	const end = `{"state":"rolled_back","to":"v2","from":"v1","reason":"failing","route":"r","duration_ms":12000,"elapsed_ms":3000,"new":{"requests":60,"failures":12}}`
	go func() { // the nodes
		for {
			if next, _ := s.Get("op", "rollout/s"); next.Version != row.Version {
				s.Put("status", "rollout/s", []byte(strings.Replace(end, "{", `{"order":`+strconv.FormatUint(next.Version, 10)+`,`, 1)))
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	err = (&Start{Service: "s", Version: "v2", Duration: 12 * time.Second, Replace: true, Wait: true}).Run(env)
	is.True(err != nil && strings.Contains(err.Error(), "version v2 was rolled back: failing on route r"))
	out.Reset()
	is.NoErr((&Show{}).Run(env))
	for _, want := range []string{"rolled_back", "failing on route r", "60 (20.0% failed, 0.0% slow)", "3s of 12s", "v2: 1"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q: %s", want, out.String())
		}
	}
}
