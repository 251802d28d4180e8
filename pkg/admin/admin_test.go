package admin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

func decode[T any](t *testing.T, answer *httptest.ResponseRecorder) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(answer.Body.Bytes(), &v); err != nil {
		t.Fatalf("%s: %s", err, answer.Body)
	}
	return v
}

// Guards against bad input that is ignored, answered with 5xx, or answered
// without problem details.
func TestBadInputGetsProblemDetails(t *testing.T) {
	for _, c := range []struct {
		name, method, target, header, body string
		status                             int
	}{
		{"unknown path", "GET", "/v1/nothing", "", "", 404},
		{"wrong method", "POST", "/v1/rules", "", "", 405},
		{"unknown parameter", "GET", "/v1/status?verbose=1", "", "", 400},
		{"parameter twice", "GET", "/v1/versions?limit=1&limit=2", "", "", 400},
		{"limit of 0", "GET", "/v1/versions?limit=0", "", "", 400},
		{"limit too large", "GET", "/v1/upstreams?limit=501", "", "", 400},
		{"cursor not a number", "GET", "/v1/versions?after=x", "", "", 400},
		{"version 0", "GET", "/v1/versions/0", "", "", 400},
		{"version not a number", "GET", "/v1/versions/-1", "", "", 400},
		{"version unknown", "GET", "/v1/versions/9999", "", "", 404},
		{"explain without method", "GET", "/v1/explain?url=http://h/p", "", "", 400},
		{"explain with bad method", "GET", "/v1/explain?method=G%20T&url=http://h/p", "", "", 400},
		{"explain without host", "GET", "/v1/explain?method=GET&url=/pages", "", "", 400},
		{"explain without rule", "GET", "/v1/explain?method=GET&url=http://h/none", "", "", 404},
		{"put without precondition", "PUT", "/v1/rules", "", goodRules, 428},
		{"put with two tags", "PUT", "/v1/rules", `If-Match: "e1", "e2"`, goodRules, 400},
		{"put with weak tag", "PUT", "/v1/rules", `If-Match: W/"e1"`, goodRules, 400},
		{"put without quotes", "PUT", "/v1/rules", `If-Match: e1`, goodRules, 400},
		{"put of a faulty file", "PUT", "/v1/rules", `If-Match: "e1"`, "rule x\n", 422},
		{"put of a large file", "PUT", "/v1/rules", `If-Match: "e1"`, strings.Repeat("#", rules.MaxSize+1), 413},
		{"put on an old file", "PUT", "/v1/rules", `If-Match: "e0"`, goodRules, 412},
		{"put of a first file", "PUT", "/v1/rules", `If-None-Match: *`, goodRules, 412},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFake()
			answer := call(t, f, c.method, c.target, c.header, c.body)
			is.Equal(answer.Code, c.status)
			is.Equal(answer.Header().Get("Content-Type"), ProblemType)
			p := decode[Problem](t, answer)
			is.Equal(p.Status, c.status)
			is.True(p.Title != "")
			is.Equal(f.text, goodRules) // nothing was changed
		})
	}
}

// Guards against an accepted put that is not stored, and against a conflict or
// a refusal that does not tell the operator what to do.
func TestPutRules(t *testing.T) {
	is := is.New(t)
	f := newFake()
	changed := strings.Replace(goodRules, "rank=1", "rank=2", 1)
	answer := call(t, f, http.MethodPut, "/v1/rules", `If-Match: "e1"`, changed)
	is.Equal(answer.Code, 200)
	is.Equal(decode[PutResult](t, answer).ETag, "e2")
	is.Equal(answer.Header().Get("ETag"), `"e2"`)
	is.Equal(f.text, changed)

	conflict := call(t, f, http.MethodPut, "/v1/rules", `If-Match: "e1"`, goodRules)
	is.Equal(conflict.Code, 412)
	is.Equal(decode[Problem](t, conflict).ETag, "e2")
	is.Equal(f.text, changed)

	refused := call(t, f, http.MethodPut, "/v1/rules", `If-Match: "e2"`, "rule x\n")
	is.True(len(decode[Problem](t, refused).Faults) > 0)

	f.down = true
	is.Equal(call(t, f, http.MethodPut, "/v1/rules", `If-Match: "e2"`, goodRules).Code, 503)
}

// Guards against a slow store that holds a request longer than the limit.
func TestSlowStoreIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFake()
	f.delay = time.Minute
	started := time.Now()
	answer := call(t, f, http.MethodGet, "/v1/rules", "", "")
	is.Equal(answer.Code, 503)
	is.True(time.Since(started) < 10*time.Second)
}

// Guards against pages that skip, repeat or never end.
func TestPaging(t *testing.T) {
	is := is.New(t)
	f := newFake()
	var numbers []model.Version
	for after, pages := "", 0; ; pages++ {
		is.True(pages < 10)
		p := decode[Page[model.VersionInfo]](t, call(t, f, http.MethodGet, "/v1/versions?limit=100&after="+after, "", ""))
		for _, v := range p.Items {
			numbers = append(numbers, v.Number)
		}
		if p.Next == "" {
			break
		}
		after = p.Next
	}
	is.Equal(len(numbers), 250)
	for i, n := range numbers {
		is.Equal(n, model.Version(i+1))
	}
	var nodes []model.NodeID
	for after, pages := "", 0; ; pages++ {
		is.True(pages < 10)
		p := decode[Page[Upstream]](t, call(t, f, http.MethodGet, "/v1/upstreams?service=catalog&limit=4&after="+after, "", ""))
		for _, u := range p.Items {
			nodes = append(nodes, u.Node)
		}
		if p.Next == "" {
			break
		}
		after = p.Next
	}
	is.Equal(len(nodes), 9)
	none := call(t, f, http.MethodGet, "/v1/upstreams?service=other", "", "")
	is.Equal(strings.TrimSpace(none.Body.String()), `{"items":[]}`)
}

// Guards against a status that hides a node that is behind or silent, or an
// outage of the store.
func TestStatusNamesWhoIsBehindAndWhy(t *testing.T) {
	is := is.New(t)
	f := newFake()
	f.states["seoul-a-0"] = NodeState{Version: 2, Heard: true, Publisher: true, Top: true}
	f.states["busan-a-0"] = NodeState{Version: 1, Heard: true, Parent: "seoul-a-0"}
	f.states["busan-a-1"] = NodeState{Version: 1, Fault: "version 2: digest differs"}
	f.states["seoul-b-2"] = NodeState{Version: 2, Heard: true, AsOfAge: time.Minute}
	delete(f.states, "seoul-a-2")
	f.rejected = &model.Rejection{ETag: "bad", Faults: []string{"rules:1: fault"}}
	s := decode[Status](t, call(t, f, http.MethodGet, "/v1/status", "", ""))
	is.Equal(s.Highest, model.Version(2))
	is.Equal(s.Publisher, model.NodeID("seoul-a-0"))
	is.True(s.Store.Reachable)
	is.Equal(s.Rejected.ETag, "bad")
	is.Equal(s.Summary, Summary{Nodes: 9, InForce: 6, Behind: 2, Unreachable: 1})
	is.Equal(len(s.Regions), 2)
	is.Equal(s.Regions[0].Region, model.Region("busan"))
	busan, seoul := s.Regions[0].Zones[0].Nodes, s.Regions[1].Zones
	is.True(busan[0].Behind)
	is.Equal(busan[0].Why, "has not received version 2 from seoul-a-0")
	is.Equal(busan[1].Why, "version 2: digest differs")
	is.Equal(busan[2].Why, "")
	is.True(seoul[0].Nodes[1].Answered)
	is.True(!seoul[0].Nodes[2].Answered)
	is.Equal(seoul[0].Nodes[2].Why, "no answer: connection refused")
	is.Equal(seoul[1].Nodes[2].Why, "no heartbeat from the publisher for 1m0s")
	is.Equal(s.Regions[1].AsOfAgeMS, int64(60000))

	f.down = true
	s = decode[Status](t, call(t, f, http.MethodGet, "/v1/status", "", ""))
	is.True(!s.Store.Reachable)
	is.True(s.Store.Since.Equal(time.Unix(1000, 0)))
	is.Equal(s.Summary.Nodes, 9)
}

// Guards against an explanation that names the wrong rule or sends a call over
// the paid link while a near upstream is usable.
func TestExplainOrdersCandidates(t *testing.T) {
	is := is.New(t)
	f := newFake()
	x := decode[Explanation](t, call(t, f, http.MethodGet, "/v1/explain?method=get&url=http://h:80/pages/7", "", ""))
	is.Equal(x.Rule.Name, "pages")
	is.Equal(x.Rule.AskedBy, "Han Seo-yeon")
	is.Equal(len(x.Nearest), 3)
	is.Equal(len(x.Others), 6)
	for _, c := range x.Nearest {
		is.Equal(c.Location.AvailabilityZone, model.AvailabilityZone("seoul-a"))
	}
	is.Equal(x.Others[0].Location.AvailabilityZone, model.AvailabilityZone("seoul-b"))
	f.text = strings.Replace(goodRules, "rank=1", "rank=1 prefer=region", 1)
	x = decode[Explanation](t, call(t, f, http.MethodGet, "/v1/explain?method=GET&url=http://h/pages", "", ""))
	is.Equal(len(x.Nearest), 6)
}

// Guards against a node that is called ready while something is missing.
func TestReadiness(t *testing.T) {
	is := is.New(t)
	f := newFake()
	is.Equal(call(t, f, http.MethodGet, "/readyz", "", "").Code, 200)
	f.missing = []string{"no version is in force"}
	answer := call(t, f, http.MethodGet, "/readyz", "", "")
	is.Equal(answer.Code, 503)
	is.Equal(decode[Problem](t, answer).Detail, "no version is in force")
	is.Equal(answer.Header().Get(APIHeader), APIVersion) // also on refusals; clients need it
	is.Equal(call(t, f, http.MethodGet, "/healthz", "", "").Code, 200)
}
