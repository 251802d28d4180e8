package devcluster

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/admin"
	"github.com/lentilflow/lentilflow/pkg/admin/client"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
	"github.com/lentilflow/lentilflow/pkg/publisher"
	"github.com/lentilflow/lentilflow/pkg/settings"
	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

// awaitLimit is generous because the tests of other packages run at the same
// time.
const awaitLimit = time.Minute

// startFree starts a deployment on the first block of ports that is free.
func startFree(t *testing.T, name string) *Cluster {
	t.Helper()
	d, err := Find(name)
	if err != nil {
		t.Fatal(err)
	}
	for first := 21000; first < 30000; first += 300 {
		cfg := Config{Deployment: d, NodesPerService: NodesPerService, FirstPort: first, PlatformPort: first - 1, Log: zap.NewNop()}
		if checkPorts(cfg.PlatformPort, cfg.plan()) != nil {
			continue
		}
		c, err := Start(cfg)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Stop)
		return c
	}
	t.Fatal("no block of ports is free")
	return nil
}

// Guards against a default of the settings that the stand-in of the upstream
// does not serve.
func TestHealthPathsAgree(t *testing.T) {
	is := is.New(t)
	is.Equal(settings.Default().Upstream.HealthPath, upstream.HealthPath)
	d, err := Find("haneul")
	is.NoErr(err)
	cfg := Config{Deployment: d, NodesPerService: 1, FirstPort: DefaultFirstPort}
	for _, n := range cfg.plan() {
		is.Equal(n.Upstream.HealthPath, upstream.HealthPath)
	}
}

// call sends the call to try to one node.
func call(t *testing.T, c *Cluster, n Node) (status int, version string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+n.Calls+c.Deployment().Try.Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = c.Deployment().Try.Host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode, response.Header.Get("Lentilflow-Version")
}

func callEverywhere(t *testing.T, c *Cluster, want string) {
	t.Helper()
	for _, n := range c.Nodes() {
		status, version := call(t, c, n)
		if status != http.StatusOK || version != want {
			t.Errorf("call at %s: status %d under version %q, want 200 under %s", n.Node, status, version, want)
		}
	}
}

// Guards against an edit that does not reach every node, and against a faulty
// file that takes a version number or changes a node.
func TestEditReachesEveryNodeAndFaultyFileNone(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := startFree(t, "bertolucci")
	is.Equal(len(c.Nodes()), 18)
	is.NoErr(c.AwaitVersion(ctx, 1, awaitLimit))
	callEverywhere(t, c, "1")

	try := c.Deployment().Try
	edited := bytes.Replace(c.Deployment().Rules, []byte(try.Before), []byte(try.After), 1)
	is.True(!bytes.Equal(edited, c.Deployment().Rules))
	api := client.NewClient(c.Nodes()[17].Admin) // not the first node, so that the edit enters elsewhere
	current, err := api.Rules(ctx)
	is.NoErr(err)
	put, err := api.PutRules(ctx, edited, current.ETag)
	is.NoErr(err)
	is.NoErr(c.AwaitVersion(ctx, 2, awaitLimit))
	callEverywhere(t, c, "2")

	faulty := append(bytes.Clone(edited), "rule late service=none\n"...)
	_, err = api.PutRules(ctx, faulty, put.ETag)
	var refused *admin.Problem
	is.True(errors.As(err, &refused))
	is.Equal(refused.Status, http.StatusUnprocessableEntity)
	is.True(len(refused.Faults) > 0)

	// The platform's own tools write without a check.
	objects := platform.NewObjects(platform.Config{URL: c.PlatformURL()})
	defer objects.Close()
	_, err = objects.Put(ctx, publisher.RulesObject, faulty, "")
	is.NoErr(err)
	rejection := awaitRejection(t, api)
	is.True(len(rejection.Faults) > 0)
	callEverywhere(t, c, "2")
	status, err := api.Status(ctx)
	is.NoErr(err)
	is.Equal(status.Highest, model.Version(2))
	is.Equal(status.Summary, admin.Summary{Nodes: 18, InForce: 18})
}

func awaitRejection(t *testing.T, api *client.Client) *model.Rejection {
	t.Helper()
	for limit := time.Now().Add(awaitLimit); time.Now().Before(limit); time.Sleep(pollInterval) {
		s, err := api.Status(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if s.Rejected != nil {
			return s.Rejected
		}
	}
	t.Fatal("the faulty file was not reported as refused")
	return nil
}

// Guards against a second deployment that starts in part when ports are in
// use, and against counts and ports that do not fit.
func TestStartRefusesUnusableConfig(t *testing.T) {
	is := is.New(t)
	d, err := Find("haneul")
	is.NoErr(err)
	_, err = Find("other")
	is.True(err != nil)
	for _, cfg := range []Config{
		{Deployment: d, NodesPerService: 0, FirstPort: 30000, PlatformPort: 29999},
		{Deployment: d, NodesPerService: 7, FirstPort: 30000, PlatformPort: 29999},
		{Deployment: d, NodesPerService: 6, FirstPort: 65500, PlatformPort: 29999},
		{Deployment: d, NodesPerService: 6, FirstPort: 30000, PlatformPort: 30005},
	} {
		_, err := Start(cfg)
		is.True(err != nil)
	}
	server := http.Server{Addr: "127.0.0.1:30002"}
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.ListenAndServe() }()
	var inUse error
	for range 100 {
		if inUse = checkPorts(29999, (&Config{Deployment: d, NodesPerService: 1, FirstPort: 30000}).plan()); inUse != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(inUse != nil)
}
