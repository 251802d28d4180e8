package upstream_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/standin/upstream"
)

func start(t *testing.T, cfg upstream.Config) (*upstream.Upstream, string) {
	t.Helper()
	cfg.Name = "u1"
	if cfg.Slots == 0 {
		cfg.Slots = 2
	}
	u := upstream.New(cfg)
	if err := u.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u, "http://" + u.Address()
}

func do(ctx context.Context, url string, header ...string) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte("body")))
	if err != nil {
		return nil, nil, err
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// Guards against calls beyond the slots that run, and against runs that are
// missing in the ledger.
func TestShedsBeyondSlots(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	u, url := start(t, upstream.Config{Behaviour: upstream.Behaviour{ServiceTime: map[string]time.Duration{"/slow": 200 * time.Millisecond}}})
	var wg sync.WaitGroup
	var mu sync.Mutex
	ran, shed := 0, 0
	for range 6 {
		wg.Go(func() {
			resp, _, err := do(ctx, url+"/slow", upstream.KeyHeader, "k")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				t.Error(err)
			case resp.StatusCode == http.StatusOK:
				ran++
			case resp.Header.Get(upstream.NotRunHeader) == "true":
				shed++
			}
		})
	}
	wg.Wait()
	is.Equal(ran, 2)
	is.Equal(shed, 4)
	is.Equal(len(u.Ledger()), 2)
}

// Guards against runs that go on after their deadline or their caller, and
// against a ledger that does not say so.
func TestDeadlineCancelCrash(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	var file bytes.Buffer
	u, url := start(t, upstream.Config{LedgerOut: &file, Behaviour: upstream.Behaviour{
		ServiceTime: map[string]time.Duration{"/slow": time.Minute},
		CrashPath:   "/crash",
	}})
	resp, _, err := do(ctx, url+"/slow", upstream.DeadlineHeader, "20")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, _, err = do(short, url+"/slow")
	is.True(err != nil)
	for len(u.Ledger()) < 2 || u.Ledger()[1].Outcome == "" {
		time.Sleep(time.Millisecond) // the run ends once the server sees the cancellation
	}
	_, _, err = do(ctx, url+"/crash")
	is.True(err != nil)
	_, err = net.Dial("tcp", u.Address())
	is.True(err != nil) // the crashed upstream listens no more
	var outcomes []string
	for _, run := range upstream.ReadLedger(&file) {
		outcomes = append(outcomes, run.Outcome)
	}
	is.Equal(outcomes, []string{upstream.Expired, upstream.Cancelled, upstream.Crashed})
}

// Guards against a health endpoint that cannot lag or lie, and a further call
// without the token of its chain.
func TestHealthAndFurtherCalls(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	_, next := start(t, upstream.Config{})
	var token string
	node := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token = r.Header.Get(upstream.CallHeader)
		resp, body, err := do(r.Context(), next+r.URL.Path, upstream.KeyHeader, r.Header.Get(upstream.KeyHeader), upstream.BytesHeader, "10")
		if err == nil {
			w.WriteHeader(resp.StatusCode)
			_, _ = w.Write(body)
		}
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer node.Close()
	go func() { _ = node.Serve(listener) }()
	u, url := start(t, upstream.Config{NodeURL: "http://" + listener.Addr().String()})
	_, body, err := do(ctx, url+"/a", upstream.KeyHeader, "key", upstream.CallHeader, "secret", upstream.FurtherHeader, "http://other.example/b")
	is.NoErr(err)
	var answer upstream.Answer
	is.NoErr(json.Unmarshal(body, &answer))
	is.Equal(answer.Further.Status, http.StatusOK)
	is.Equal(answer.Further.Body, string(upstream.Pattern("key", 10)))
	is.Equal(token, "secret")

	state := func() string {
		_, body, err := do(ctx, url+upstream.HealthPath)
		is.NoErr(err)
		var h upstream.Health
		is.NoErr(json.Unmarshal(body, &h))
		return h.State
	}
	u.Set(upstream.Behaviour{Draining: true})
	is.Equal(state(), "draining")
	u.Set(upstream.Behaviour{Draining: true, HealthLag: time.Hour})
	is.Equal(state(), "ready")
	u.Set(upstream.Behaviour{Draining: true, HealthLie: true})
	is.Equal(state(), "ready")
}
