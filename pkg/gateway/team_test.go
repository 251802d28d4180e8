package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilflow/lentilflow/pkg/admission"
	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/quota"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// testKeys are the keys of the teams in the tests of this package, by team. They
// begin with keyMark, by which the tests look for keys.
const keyMark = "keymark-"

func testKey(team string) string { return keyMark + team }

// capture records the bytes that arrive at a listener.
type capture struct {
	net.Listener
	mu    sync.Mutex
	bytes bytes.Buffer
}

// Accept implements net.Listener.
func (c *capture) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &capturedConn{nc, c}, nil
}

func (c *capture) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes.String()
}

type capturedConn struct {
	net.Conn
	capture *capture
}

// Read implements net.Conn.
func (c *capturedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.capture.mu.Lock()
	defer c.capture.mu.Unlock()
	c.capture.bytes.Write(b[:n])
	return n, err
}

// teamCluster is a caller's node, without a serving upstream, and the node of the
// upstream that its calls reach. It records what arrives at that node and at the
// upstream.
type teamCluster struct {
	caller, remote     *testNode
	callers, remotes   *config.Holder // configurations of the two nodes
	atRemote, upstream *capture
}

// newTeamCluster starts a teamCluster. prepare, which may be nil, changes the nodes
// before they serve.
func newTeamCluster(t *testing.T, c *config.Configuration, prepare func(*teamCluster)) *teamCluster {
	t.Helper()
	p := &teamCluster{callers: config.NewHolder(), remotes: config.NewHolder()}
	p.offer(t, c)
	runs := &runCounter{runs: make(map[string]int)}
	p.upstream = &capture{Listener: mustListen()}
	u := &scriptedUpstream{listener: p.upstream, runs: runs, names: testNames, conns: make(map[net.Conn]bool)}
	go u.accept()
	p.remote = newTestNodeBeside("remote", p.remotes, u, "127.0.0.1:0", "127.0.0.1:0", injectedFault{})
	p.atRemote = &capture{Listener: p.remote.listeners[1]}
	p.remote.listeners[1] = p.atRemote
	p.caller = newTestNodeBeside("caller", p.callers, newScriptedUpstream(runs, testNames), "127.0.0.1:0", "127.0.0.1:0", injectedFault{})
	p.caller.member.Service, p.caller.gateway.Self.Service = "other", "other"
	for _, s := range []*testNode{p.caller, p.remote} {
		s.gateway.View.Replace([]fleet.Member{p.caller.member, p.remote.member}, follow.At(1), time.Now())
	}
	if prepare != nil {
		prepare(p)
	}
	p.caller.start()
	p.remote.start()
	t.Cleanup(p.caller.close)
	t.Cleanup(p.remote.close)
	return p
}

// offer puts a configuration in force at both nodes.
func (p *teamCluster) offer(t *testing.T, c *config.Configuration) {
	t.Helper()
	for _, h := range []*config.Holder{p.callers, p.remotes} {
		if _, err := h.Offer(c); err != nil {
			t.Fatal(err)
		}
	}
}

// teamConfiguration returns version v with the routes /key/ and /public/ and the
// named teams.
func teamConfiguration(v config.Version, teams ...string) *config.Configuration {
	c := testConfiguration(injectedFault{})
	c.Version = v
	for i := range c.Routes {
		c.Routes[i].Prefix, c.Routes[i].Rank = [...]string{"/key/", "/public/"}[i], 3
		c.Routes[i].Public = i == 1
	}
	for _, name := range teams {
		c.Teams = append(c.Teams, config.Team{Name: name, Keys: []config.KeyDigest{config.DigestOfKey(testKey(name))}})
	}
	return c
}

// get sends one request with header lines, each "Name: value", to a node and returns
// the response with its body.
func get(t *testing.T, address, path string, lines ...string) (int, http.Header, string) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_, err = fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s\r\n", path, joinLines(lines))
	if err != nil {
		t.Fatal(err)
	}
	return readResponse(t, nc)
}

func joinLines(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\r\n") + "\r\n"
}

func readResponse(t *testing.T, nc net.Conn) (int, http.Header, string) {
	t.Helper()
	text, err := io.ReadAll(nc)
	if err != nil {
		t.Fatal(err)
	}
	head, body, _ := strings.Cut(string(text), "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	var status int
	if _, err := fmt.Sscanf(lines[0], "HTTP/1.1 %d", &status); err != nil {
		t.Fatalf("response %q: %v", text, err)
	}
	h := http.Header{}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		h.Add(name, value)
	}
	return status, h, body
}

// arrivedFields returns the values of a field in the requests that arrived.
func (c *capture) arrivedFields(name string) (values []string) {
	for _, line := range strings.Split(c.String(), "\r\n") {
		if n, v, ok := strings.Cut(line, ": "); ok && strings.EqualFold(n, name) {
			values = append(values, v)
		}
	}
	return values
}

// Guards the lookup of the team: a route that is not public serves only requests with
// exactly one known key, and every upstream receives the team's name and never a key.
func TestKeyDecidesTeam(t *testing.T) {
	bozi := "Authorization: Bearer " + testKey("bozi")
	for name, c := range map[string]struct {
		path   string
		lines  []string
		status int
		team   string // at the upstream
	}{
		"known key":               {"/key/", []string{bozi}, 200, "bozi"},
		"scheme in another case":  {"/key/", []string{"aUTHORIZATION: bEARER   " + testKey("bozi") + "  "}, 200, "bozi"},
		"listed in Connection":    {"/key/", []string{bozi, "X-Team: x", "Connection: Authorization, X-Team, x-team"}, 200, "bozi"},
		"states another team":     {"/key/", []string{"x-team: other", bozi, "X-TEAM: third"}, 200, "bozi"},
		"no key":                  {"/key/", nil, 401, ""},
		"no key, states a team":   {"/key/", []string{"X-Team: bozi"}, 401, ""},
		"unknown key":             {"/key/", []string{"Authorization: Bearer " + testKey("nobody")}, 401, ""},
		"key in another case":     {"/key/", []string{"Authorization: Bearer " + strings.ToUpper(testKey("bozi"))}, 401, ""},
		"part of a key":           {"/key/", []string{"Authorization: Bearer " + testKey("boz")}, 401, ""},
		"digest of a key":         {"/key/", []string{"Authorization: Bearer sha256:" + config.DigestOfKey(testKey("bozi")).Hex()}, 401, ""},
		"key twice":               {"/key/", []string{bozi, bozi}, 401, ""},
		"two fields, one empty":   {"/key/", []string{bozi, "Authorization:"}, 401, ""},
		"two keys in one field":   {"/key/", []string{bozi + ", Bearer " + testKey("bozi")}, 401, ""},
		"empty field":             {"/key/", []string{"Authorization:"}, 401, ""},
		"scheme without a key":    {"/key/", []string{"Authorization: Bearer"}, 401, ""},
		"scheme and spaces":       {"/key/", []string{"Authorization: Bearer    "}, 401, ""},
		"key without a scheme":    {"/key/", []string{"Authorization: " + testKey("bozi")}, 401, ""},
		"other scheme":            {"/key/", []string{"Authorization: Basic " + testKey("bozi")}, 401, ""},
		"tab behind the scheme":   {"/key/", []string{"Authorization: Bearer\t" + testKey("bozi")}, 401, ""},
		"key and more":            {"/key/", []string{bozi + " x"}, 401, ""},
		"route that is not known": {"/none/", []string{bozi}, 404, ""},
		"public, no key":          {"/public/", nil, 200, ""},
		"public, states a team":   {"/public/", []string{"X-Team: bozi", "X-team: third"}, 200, ""},
		"public, known key":       {"/public/", []string{bozi}, 200, "bozi"},
		"public, unknown key":     {"/public/", []string{"Authorization: Bearer " + testKey("nobody"), "X-Team: bozi"}, 200, ""},
		"public, key twice":       {"/public/", []string{bozi, bozi}, 200, ""},
		"public, other scheme":    {"/public/", []string{"Authorization: Basic " + testKey("bozi")}, 200, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTeamCluster(t, teamConfiguration(1, "bozi", "other"), nil)
			status, h, body := get(t, p.caller.address, c.path, c.lines...)
			is.Equal(status, c.status)
			is.Equal(h.Get("WWW-Authenticate") != "", status == http.StatusUnauthorized)
			is.Equal(len(p.upstream.arrivedFields(testNames.RequestID)) > 0, status == http.StatusOK)
			var want []string
			if c.team != "" {
				want = []string{c.team}
			}
			is.Equal(p.upstream.arrivedFields(testNames.Team), want)
			for _, text := range []string{p.upstream.String(), p.atRemote.String(), body, fmt.Sprint(h)} {
				is.True(!strings.Contains(strings.ToLower(text), keyMark))
			}
		})
	}
}

// Guards requests in a mesh without teams: the fields are ordinary ones there.
func TestFieldsAreOrdinaryWithoutTeams(t *testing.T) {
	is := is.New(t)
	p := newTeamCluster(t, teamConfiguration(1), nil)
	status, _, _ := get(t, p.caller.address, "/key/", "Authorization: Basic abc", "Authorization: Bearer def", "X-Team: x", "x-team: y")
	is.Equal(status, http.StatusOK)
	is.Equal(p.upstream.arrivedFields(testNames.Authorization), []string{"Basic abc", "Bearer def"})
	is.Equal(p.upstream.arrivedFields(testNames.Team), []string{"x", "y"})
	is.Equal(len(strings.Fields(p.atRemote.arrivedFields(headerCall)[0])), callWordsDownload)
}

// Guards against a node without a configuration that answers with 401, which callers
// take for final.
func TestNoConfigurationIsNotUnknownKey(t *testing.T) {
	is := is.New(t)
	p := newTeamCluster(t, teamConfiguration(1, "bozi"), func(p *teamCluster) {
		p.caller.gateway.Config = config.NewHolder()
		p.caller.gateway.startTime = time.Now().Add(-maxStartupWait)
	})
	status, _, _ := get(t, p.caller.address, "/key/")
	is.Equal(status, http.StatusServiceUnavailable)
}

// Guards the rank of a call at every node: that of its team takes precedence over
// that of its route.
func TestRankOfTeamReachesRemoteNode(t *testing.T) {
	is := is.New(t)
	c := teamConfiguration(1, "first", "last", "plain")
	c.Teams[0].Rank, c.Teams[1].Rank = new(model.Rank(0)), new(model.Rank(6))
	p := newTeamCluster(t, c, nil)
	for _, name := range []string{"first", "last", "plain"} {
		status, _, _ := get(t, p.caller.address, "/key/", "Authorization: Bearer "+testKey(name))
		is.Equal(status, http.StatusOK)
	}
	var got []string
	for _, value := range p.atRemote.arrivedFields(headerCall) {
		f, ok := parseCallFields(value)
		is.True(ok)
		got = append(got, fmt.Sprint(f.team, " ", f.rank))
	}
	is.Equal(got, []string{"first 0", "last 6", "plain 3"})
}

// Guards the wire format of Lentilflow-Call: names of teams with any character arrive
// unchanged, and the words of earlier releases are still understood.
func TestCallFieldsWithTeam(t *testing.T) {
	is := is.New(t)
	f := callFields{service: "s", route: "r", rank: 1, weight: 1, remaining: time.Second, version: 7, latencyTarget: time.Second}
	for _, name := range []string{"bozi300", "two words", "ação % +", "a\tb"} {
		f.team = name
		got, ok := parseCallFields(f.String())
		is.True(ok)
		is.Equal(got, f)
	}
	f.team = ""
	is.Equal(f.String(), "s r 1 1 1000 0 0 7 0 1000 0")
	for text, want := range map[string]bool{
		"s r 1 1 1000 0 0 7": true, "s r 1 1 1000 0 0 7 0 1000 0": true, "s r 1 1 1000 0 0 7 0 1000 0 a": true,
		"s r 1 1 1000 0 0 7 0 1000 0 %zz": false, "s r 1 1 1000 0 0 7 0 1000": false, "s r 1 1 1000 0 0 7 0 1000 0 a b": false,
	} {
		_, ok := parseCallFields(text)
		is.Equal(ok, want)
	}
}

// Guards against a key, or a team that a caller states, that reaches an upstream
// because the caller's node is one version behind and has no teams yet.
func TestRemoteNodeRemovesKeyOfOlderVersion(t *testing.T) {
	is := is.New(t)
	p := newTeamCluster(t, teamConfiguration(1), nil)
	_, err := p.remotes.Offer(teamConfiguration(2, "bozi"))
	is.NoErr(err)
	status, _, _ := get(t, p.caller.address, "/key/", "Authorization: Bearer "+testKey("bozi"), "X-Team: bozi")
	is.Equal(status, http.StatusOK)
	is.Equal(p.upstream.arrivedFields(testNames.Authorization), nil)
	is.Equal(p.upstream.arrivedFields(testNames.Team), nil)
}

// Guards against a remote node that is one version behind, without teams, and drops
// the name of the team.
func TestRemoteNodeWithoutTeamsPassesTeamOn(t *testing.T) {
	is := is.New(t)
	p := newTeamCluster(t, teamConfiguration(1), nil)
	_, err := p.callers.Offer(teamConfiguration(2, "bozi"))
	is.NoErr(err)
	status, _, _ := get(t, p.caller.address, "/key/", "Authorization: Bearer "+testKey("bozi"), "X-Team: third")
	is.Equal(status, http.StatusOK)
	is.Equal(p.upstream.arrivedFields(testNames.Team), []string{"bozi"})
}

// scriptedQuota returns one decision and counts how often it was asked.
type scriptedQuota struct {
	mu       sync.Mutex
	decision quota.Decision
	asked    []string
}

// Admit implements QuotaLimiter.
func (q *scriptedQuota) Admit(_ context.Context, t *config.Team, wait time.Duration) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	if wait <= 0 || wait > maxQuotaWait {
		panic("wait out of bounds")
	}
	q.asked = append(q.asked, t.Name)
	return q.decision
}

// Guards the use of quotas: they are asked only for teams with a rate on routes that
// are not public, and a refusal says that the request has not run and when a retry is
// worthwhile.
func TestQuotaDecidesCall(t *testing.T) {
	for _, c := range []struct {
		decision   quota.Decision
		status     int
		retryAfter string
	}{
		{quota.Decision{Verdict: quota.Granted}, http.StatusOK, ""},
		{quota.Decision{Verdict: quota.Exceeded, RetryAfter: 1500 * time.Millisecond}, http.StatusTooManyRequests, "1.50"},
		{quota.Decision{Verdict: quota.Unavailable}, http.StatusServiceUnavailable, "0.50"},
	} {
		is := is.New(t)
		limited := teamConfiguration(1, "bozi", "free")
		limited.Teams[0].Rate = 1
		q := &scriptedQuota{decision: c.decision}
		p := newTeamCluster(t, limited, func(p *teamCluster) { p.caller.gateway.Quota = q })
		status, h, body := get(t, p.caller.address, "/key/", "Authorization: Bearer "+testKey("bozi"))
		is.Equal(status, c.status)
		is.Equal(h.Get("Retry-After"), c.retryAfter)
		is.True(status == http.StatusOK || strings.Contains(body, `"run":"not_run"`))
		for _, path := range []string{"/key/", "/public/"} {
			status, _, _ = get(t, p.caller.address, path, "Authorization: Bearer "+testKey("free"))
			is.Equal(status, http.StatusOK)
		}
		status, _, _ = get(t, p.caller.address, "/public/", "Authorization: Bearer "+testKey("bozi"))
		is.Equal(status, http.StatusOK)
		is.Equal(q.asked, []string{"bozi"})
	}
}

// Guards against a call that is sent again with a key that was withdrawn after its
// first attempt. The refusal says that the call has not run only if that is true, and
// a route that the new version makes public needs no key.
func TestWithdrawnKeyEndsRetries(t *testing.T) {
	withdrawn, public := teamConfiguration(2, "other"), teamConfiguration(2, "other")
	public.Routes[0].Public = true
	for name, c := range map[string]struct {
		first  action
		next   *config.Configuration
		status int
	}{
		"withdrawn, not run":      {sheds, withdrawn, http.StatusUnauthorized},
		"withdrawn, may have run": {runsAndCloses, withdrawn, http.StatusBadGateway},
		"still valid":             {sheds, teamConfiguration(2, "bozi"), http.StatusOK},
		"now public":              {sheds, public, http.StatusOK},
		"now without teams":       {sheds, teamConfiguration(2), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTeamCluster(t, teamConfiguration(1, "bozi"), func(p *teamCluster) {
				second := newTestNodeBeside("second", p.remotes, p.remote.upstream, "127.0.0.1:0", "127.0.0.1:0", injectedFault{})
				second.start()
				t.Cleanup(second.end)
				p.caller.gateway.View.Replace([]fleet.Member{p.caller.member, p.remote.member, second.member}, follow.At(2), time.Now())
			})
			p.remote.upstream.enqueue(c.first)
			p.remote.upstream.setDelay(100 * time.Millisecond)
			go func() {
				time.Sleep(50 * time.Millisecond)
				p.offer(t, c.next)
			}()
			status, _, body := get(t, p.caller.address, "/key/", "Authorization: Bearer "+testKey("bozi"))
			is.Equal(status, c.status)
			is.Equal(strings.Contains(body, `"run":"not_run"`), status == http.StatusUnauthorized)
			is.Equal(strings.Contains(body, `"version":2`), status != http.StatusOK) // it decided
			is.True(!strings.Contains(p.upstream.String()+p.atRemote.String()+body, keyMark))
		})
	}
}

// Guards requests on one connection that is kept open, also pipelined ones: each is
// decided by the version in force when its turn comes.
func TestWithdrawnKeyOnOpenConnection(t *testing.T) {
	is := is.New(t)
	p := newTeamCluster(t, teamConfiguration(1, "bozi"), nil)
	p.remote.upstream.setDelay(100 * time.Millisecond)
	nc, err := net.Dial("tcp", p.caller.address)
	is.NoErr(err)
	defer func() { _ = nc.Close() }()
	send := func(method, team string) {
		_, err := fmt.Fprintf(nc, "%s /key/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nAuthorization: Bearer %s\r\n\r\n", method, testKey(team))
		is.NoErr(err)
	}
	br := bufio.NewReader(nc)
	receive := func() int {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.StatusCode
	}
	c := teamConfiguration(1, "bozi")
	c.Version, c.Routes[0].Idempotent = 2, false // pipelined requests wait for their turn
	p.offer(t, c)
	send(http.MethodPost, "bozi")
	send(http.MethodPost, "bozi") // waits until the first one has its response
	time.Sleep(50 * time.Millisecond)
	p.offer(t, teamConfiguration(3, "new"))
	is.Equal(receive(), http.StatusOK)
	is.Equal(receive(), http.StatusUnauthorized)
	send(http.MethodGet, "bozi")
	is.Equal(receive(), http.StatusUnauthorized)
	send(http.MethodGet, "new")
	is.Equal(receive(), http.StatusOK)
}

// Guards against a fleet with nodes of an earlier release, which answer attempts with
// a team with status 400: these do not end the call, and calls without a team still
// go there.
func TestNodeOfEarlierReleaseDoesNotEndCall(t *testing.T) {
	is := is.New(t)
	var atOld atomic.Int64
	old := &h1.Server{
		Limits: func() h1.Limits { return h1.Limits{} }, OnFault: func(net.Addr, h1.Fault, error) {},
		Handle: func(x *h1.Exchange) {
			atOld.Add(1)
			if words := strings.Fields(x.Request.Header.Get(headerCall)); len(words) != callWordsDownload {
				_ = x.Reply(&h1.Reply{Status: http.StatusBadRequest})
				return
			}
			_ = x.Reply(&h1.Reply{Status: http.StatusOK, Header: http.Header{
				headerAttempt: {x.Request.Header.Get(headerAttempt)}, headerAnswer: {"upstream 0 1"}, testNames.Signature: {"1"},
				testNames.RequestID: {x.Request.Header.Get(testNames.RequestID)},
			}})
		},
	}
	l := mustListen()
	go func() { _ = old.Serve(l) }()
	defer func() { _ = l.Close(); old.CloseAll() }()
	member := fleet.Member{
		Node: "old", Service: testService, CallAddress: l.Addr().String(), MessageAddress: "unused",
		Location: model.Location{Region: "r", AvailabilityZone: "z"},
	}
	p := newTeamCluster(t, teamConfiguration(1, "bozi"), func(p *teamCluster) {
		p.caller.gateway.View.Replace([]fleet.Member{p.caller.member, p.remote.member, member}, follow.At(2), time.Now())
	})
	for range 20 {
		status, _, _ := get(t, p.caller.address, "/key/", "Authorization: Bearer "+testKey("bozi"))
		is.Equal(status, http.StatusOK)
	}
	is.True(atOld.Load() > 0)
	is.Equal(len(p.upstream.arrivedFields(testNames.Team)), 20)
	before := atOld.Load()
	for range 50 {
		status, _, _ := get(t, p.caller.address, "/public/")
		is.Equal(status, http.StatusOK)
	}
	is.True(atOld.Load() > before)
}

// Guards against an upstream at the address of a former node whose response counts as
// the refusal of a node: the call may have run there.
func TestUpstreamIsNoNodeOfEarlierRelease(t *testing.T) {
	is := is.New(t)
	r := &Remote{Names: testNames}
	is.True(r.lacksTeams(http.StatusBadRequest, http.Header{}))
	is.True(!r.lacksTeams(http.StatusBadRequest, http.Header{testNames.Signature: {"1"}}))
	is.True(!r.lacksTeams(http.StatusBadRequest, http.Header{testNames.RequestID: {"1"}}))
	is.True(!r.lacksTeams(http.StatusBadRequest, http.Header{headerAttempt: {"n/1"}}))
	is.True(!r.lacksTeams(http.StatusServiceUnavailable, http.Header{}))
}

// Guards against a key in the log, in a metric or in a response: of calls that are
// served, refused or retried, and of requests that cannot be read.
func TestKeyIsNeitherLoggedNorReturned(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.DebugLevel)
	registry := prometheus.NewRegistry()
	p := newTeamCluster(t, teamConfiguration(1, "bozi"), func(p *teamCluster) {
		for _, s := range []*testNode{p.caller, p.remote} {
			s.gateway.Log, s.gateway.Local.Log = zap.New(core), zap.New(core)
			s.gateway.callLog = newCallLog(zap.New(core))
		}
		p.caller.gateway.Metrics = NewMetrics(registry)
	})
	key := testKey("bozi")
	responses := ""
	for _, lines := range [][]string{
		{"Authorization: Bearer " + key}, {"Authorization: Bearer " + testKey("nobody")}, {"Authorization: Basic " + key},
		{"Authorization Bearer " + key}, {" Authorization: Bearer " + key}, {"Authorization : Bearer " + key},
		{"Authorization: Bearer " + key + "\x01"}, {"Content-Length: " + key}, {"Transfer-Encoding: " + key},
		{"Authorization: Bearer \"" + key}, {"Authorization: Bearer " + key, "Content-Length: 5"},
	} {
		p.remote.upstream.enqueue(sheds, runsAndCloses, answersMalformed)
		nc, err := net.Dial("tcp", p.caller.address)
		is.NoErr(err)
		_, err = fmt.Fprintf(nc, "GET /key/ HTTP/1.1\r\nConnection: close\r\nHost: h\r\n%s\r\n\r\nAuthorization: Bearer %s\r\n\r\n", strings.Join(lines, "\r\n"), key)
		is.NoErr(err)
		is.NoErr(nc.(*net.TCPConn).CloseWrite())
		text, err := io.ReadAll(nc)
		is.NoErr(err)
		responses += string(text)
		_ = nc.Close()
	}
	families, err := registry.Gather()
	is.NoErr(err)
	is.True(logs.FilterMessage("request could not be read").Len() >= 5)
	is.True(logs.FilterMessage("call refused").FilterField(zap.Stringer("key_digest", config.DigestOfKey(testKey("nobody")))).Len() == 1)
	for _, e := range logs.All() {
		if line := fmt.Sprint(e.Message, e.ContextMap()); strings.Contains(line, keyMark) {
			t.Errorf("log line contains a key: %s", line)
		}
	}
	for what, text := range map[string]string{"responses": responses, "metrics": fmt.Sprint(families), "upstream": p.upstream.String(), "remote node": p.atRemote.String()} {
		if strings.Contains(text, keyMark) {
			t.Errorf("%s contain a key: %s", what, text)
		}
	}
}

// Guards the floor of a rank that only a team gives to calls: they would starve.
func TestRankOfTeamHasFloor(t *testing.T) {
	is := is.New(t)
	c := teamConfiguration(1, "bozi")
	c.Teams[0].Rank = new(model.Rank(6))
	c.Routes[0].Floor = 40
	p := newTeamCluster(t, c, nil)
	is.Equal(p.remote.gateway.Local.limits(&upstream.Boot{}).Floors, [admission.Ranks]int{3: 40, 6: defaultRankFloor})
}
