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
// and two nodes, taken in turn in one run, the difference to the direct call at
// the 99th percentile, and the allocations of one call.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{200, 20_000} {
		b.Run(fmt.Sprintf("answer=%dB", size), func(b *testing.B) {
			urls, client := waysTo(b, size)
			var took [len(paths)][]time.Duration
			for b.Loop() {
				for i, u := range urls {
					start := time.Now()
					fetch(b, client, u+"/read")
					took[i] = append(took[i], time.Since(start))
				}
			}
			for i, u := range urls { // of the whole process, client and upstream included
				b.ReportMetric(testing.AllocsPerRun(200, func() { fetch(b, client, u+"/read") }), paths[i]+"-allocs")
			}
			report(b, took)
		})
	}
}

// waysTo starts an upstream with answers of the given size and the nodes on
// the paths to it, and fills connections and pools.
func waysTo(b *testing.B, size int) ([len(paths)]string, *http.Client) {
	answer := make([]byte, size)
	up := upstream(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	m := newMesh(b)
	urls := [...]string{"http://" + up, m.add("a", up).url, m.add("b", "").url}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10}}
	for i := range 200 * len(urls) {
		fetch(b, client, urls[i%len(urls)]+"/read")
	}
	return urls, client
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
