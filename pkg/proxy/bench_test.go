package proxy

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"
)

// paths are the ways to the same upstream that one run compares.
var paths = [...]string{"direct", "one", "two"}

// BenchmarkCall reports the latency of a direct call and of calls through one
// and two nodes, taken in turn in one run, and the difference to the direct
// call at the 50th and 99th percentile.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{200, 20_000} {
		b.Run(fmt.Sprintf("answer=%dB", size), func(b *testing.B) {
			answer := make([]byte, size)
			up := upstream(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
			m := newMesh(b)
			one := m.add("a", up)
			two := m.add("b", "")
			urls := [...]string{"http://" + up, one.url, two.url}
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10}}
			for range 200 { // connections and pools
				for _, u := range urls {
					fetch(b, client, u+"/read")
				}
			}
			var took [len(urls)][]time.Duration
			for b.Loop() {
				for i, u := range urls {
					start := time.Now()
					fetch(b, client, u+"/read")
					took[i] = append(took[i], time.Since(start))
				}
			}
			report(b, took)
		})
	}
}

func report(b *testing.B, took [len(paths)][]time.Duration) {
	var p50, p99 [len(paths)]float64
	for i := range took {
		slices.Sort(took[i])
		n := len(took[i])
		p50[i], p99[i] = float64(took[i][n/2].Microseconds()), float64(took[i][n*99/100].Microseconds())
		b.ReportMetric(p50[i], paths[i]+"-p50-µs")
		b.ReportMetric(p99[i], paths[i]+"-p99-µs")
	}
	b.ReportMetric(p99[1]-p99[0], "added-one-p99-µs")
	b.ReportMetric(p99[2]-p99[0], "added-two-p99-µs")
}

func fetch(b *testing.B, c *http.Client, url string) {
	resp, err := c.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.StatusCode, err)
	}
	_ = resp.Body.Close()
}

// BenchmarkAllocations reports the allocations of the whole process for one
// call, client and upstream included; the difference between the paths is
// what one node adds.
func BenchmarkAllocations(b *testing.B) {
	answer := make([]byte, 200)
	up := upstream(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	m := newMesh(b)
	one := m.add("a", up)
	two := m.add("b", "")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10}}
	for i, u := range []string{"http://" + up, one.url, two.url} {
		b.Run(paths[i], func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				fetch(b, client, u+"/read")
			}
		})
	}
}
