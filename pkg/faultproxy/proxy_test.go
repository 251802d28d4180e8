package faultproxy_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/faultproxy"
)

const bodySize = 300_000

func start(t *testing.T) (*faultproxy.Proxy, *http.Client, string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(bytes.Repeat([]byte("x"), bodySize))
	}))
	t.Cleanup(server.Close)
	p, err := faultproxy.New(faultproxy.Config{Target: strings.TrimPrefix(server.URL, "http://")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}, "http://" + p.Addr()
}

func fetch(c *http.Client, url string) (int, error) {
	resp, err := c.Get(url)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return len(b), err
}

// Guards against a proxy that alters or loses bytes without a fault set.
func TestForwardsWholeStreams(t *testing.T) {
	is := is.New(t)
	p, c, url := start(t)
	for range 20 {
		n, err := fetch(c, url)
		is.NoErr(err)
		is.Equal(n, bodySize)
	}
	is.True(p.Backward.Bytes() >= 20*bodySize)
	is.True(p.Forward.Bytes() > 0)
}

// Guards against cuts that the client sees as a complete response, and against
// faults that persist after they were cleared.
func TestCuts(t *testing.T) {
	is := is.New(t)
	p, c, url := start(t)
	p.Backward.Set(faultproxy.Conditions{CutAfter: 100_000})
	n, err := fetch(c, url)
	is.True(err != nil)
	is.True(n < 100_000)
	p.Backward.Set(faultproxy.Conditions{})
	p.Cut(true)
	_, err = fetch(c, url)
	is.True(err != nil)
	p.Cut(false)
	n, err = fetch(c, url)
	is.NoErr(err)
	is.Equal(n, bodySize)
}

// Guards against conditions that have no effect: a latency of 100 ms, a bandwidth
// of 1 MB/s and a blackhole of 150 ms each make a transfer last at least 100 ms.
func TestDelays(t *testing.T) {
	is := is.New(t)
	p, c, url := start(t)
	for name, set := range map[string]func(){
		"latency":   func() { p.Backward.Set(faultproxy.Conditions{Latency: 100 * time.Millisecond}) },
		"bandwidth": func() { p.Backward.Set(faultproxy.Conditions{Bandwidth: 1_000_000}) },
		"blackhole": func() {
			p.Backward.Set(faultproxy.Conditions{Blackhole: true})
			time.AfterFunc(150*time.Millisecond, func() { p.Backward.Set(faultproxy.Conditions{}) })
		},
	} {
		set()
		begin := time.Now()
		n, err := fetch(c, url)
		is.NoErr(err)
		is.Equal(n, bodySize)
		if elapsed := time.Since(begin); elapsed < 100*time.Millisecond {
			t.Error(fmt.Sprint(name, " had no effect: ", elapsed))
		}
	}
}
