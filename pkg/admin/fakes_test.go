package admin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/publisher"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

const goodRules = "service catalog slots=12 connections=120 # Han Seo-yeon: catalog pages\n" +
	"rule pages path=/pages service=catalog rank=1 deadline=1s idempotent=yes # Han Seo-yeon: managers telephone when pages are slow\n"

// fakeNode stands for everything behind the API.
type fakeNode struct {
	text, etag string
	down       bool
	delay      time.Duration
	versions   []model.VersionInfo
	rejected   *model.Rejection
	entries    []model.Entry
	states     map[model.NodeID]NodeState
	missing    []string
}

func (f *fakeNode) fail(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(f.delay):
	}
	if f.down {
		return publisher.ErrUnavailable
	}
	return nil
}

func (f *fakeNode) Rules(ctx context.Context) ([]byte, string, error) {
	return []byte(f.text), f.etag, f.fail(ctx)
}

func (f *fakeNode) PutRules(ctx context.Context, text []byte, ifMatch string) (string, []rules.Fault, error) {
	if err := f.fail(ctx); err != nil {
		return "", nil, err
	}
	if _, faults := rules.Parse("rules", text); len(faults) > 0 {
		return "", faults, publisher.ErrRefused
	}
	if ifMatch != f.etag {
		return f.etag, nil, publisher.ErrConflict
	}
	f.text, f.etag = string(text), `"e2"`
	return f.etag, nil, nil
}

func (f *fakeNode) Versions(ctx context.Context, after model.Version, limit int) ([]model.VersionInfo, error) {
	var found []model.VersionInfo
	for _, v := range f.versions {
		if v.Number > after && len(found) < limit {
			found = append(found, v)
		}
	}
	return found, f.fail(ctx)
}

func (f *fakeNode) Version(_ context.Context, n model.Version) (model.VersionedText, error) {
	for _, v := range f.versions {
		if v.Number == n {
			return model.VersionedText{Info: v, Text: []byte(f.text)}, nil
		}
	}
	return model.VersionedText{}, publisher.ErrNotFound
}

func (f *fakeNode) Rejected(ctx context.Context) (model.Rejection, error) {
	if err := f.fail(ctx); err != nil || f.rejected == nil {
		return model.Rejection{}, cmp.Or(err, error(publisher.ErrNotFound))
	}
	return *f.rejected, nil
}

func (f *fakeNode) Since() time.Time {
	if f.down {
		return time.Unix(1000, 0)
	}
	return time.Time{}
}

func (f *fakeNode) InForce() (model.Version, *rules.File) {
	file, _ := rules.Parse("rules", []byte(f.text))
	return 1, file
}

func (f *fakeNode) Entries() []model.Entry { return f.entries }

func (f *fakeNode) Usable(string) []model.Entry { return f.entries }

func (f *fakeNode) State(_ context.Context, e model.Entry) (NodeState, error) {
	s, ok := f.states[e.Node]
	if !ok {
		return s, errors.New("connection refused")
	}
	return s, nil
}

func (f *fakeNode) handler() http.Handler {
	return New(Config{
		Node:     "seoul-a-catalog",
		Location: model.Location{Region: "seoul", AvailabilityZone: "seoul-a"},
		Rules:    f, History: f, Store: f, Router: f, States: f,
		Nudge:   func() {},
		Missing: func() []string { return f.missing },
		Metrics: http.NotFoundHandler(),
		Timeout: 300 * time.Millisecond,
		Log:     zap.NewNop(),
	})
}

func newFake() *fakeNode {
	f := &fakeNode{text: goodRules, etag: `"e1"`, states: make(map[model.NodeID]NodeState)}
	for i := range 250 {
		f.versions = append(f.versions, model.VersionInfo{Number: model.Version(i + 1)})
	}
	for _, zone := range []model.Location{{Region: "seoul", AvailabilityZone: "seoul-a"}, {Region: "seoul", AvailabilityZone: "seoul-b"}, {Region: "busan", AvailabilityZone: "busan-a"}} {
		for i := range 3 {
			e := model.Entry{Node: model.NodeID(fmt.Sprintf("%s-%d", zone.AvailabilityZone, i)), Service: "catalog", Location: zone}
			f.entries = append(f.entries, e)
			f.states[e.Node] = NodeState{Version: 2, Heard: true, Parent: "seoul-a-0"}
		}
	}
	return f
}

// call sends one request; header is "Name: value" or empty.
func call(t *testing.T, f *fakeNode, method, target, header, body string) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequest(method, target, strings.NewReader(body))
	if name, value, ok := strings.Cut(header, ": "); ok {
		request.Header.Set(name, value)
	}
	answer := httptest.NewRecorder()
	f.handler().ServeHTTP(answer, request)
	return answer
}
