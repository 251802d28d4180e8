package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

var sizes = []int{280, 1400, 2800}

func filled(n int) (*Core, *View, []model.Entry) {
	entries := fleet(n, 7)
	c := NewCore(entries[0])
	for _, e := range entries[1:] {
		c.Merge(e, t0)
	}
	return c, c.View(nil), entries
}

// BenchmarkMerge measures one changed entry.
func BenchmarkMerge(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _, entries := filled(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e := &entries[1+i%(n-1)]
				e.Sequence++
				c.Merge(*e, t0)
			}
		})
	}
}

// BenchmarkView measures a rebuild after ten changed entries.
func BenchmarkView(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, v, entries := filled(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				for k := range 10 {
					e := &entries[1+(i*10+k)%(n-1)]
					e.Sequence++
					c.Merge(*e, t0)
				}
				v = c.View(v)
			}
		})
	}
}

// BenchmarkTree measures the positions of one view.
func BenchmarkTree(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, v, _ := filled(n)
			b.ReportAllocs()
			for b.Loop() {
				NewTree(v.All())
			}
		})
	}
}

// BenchmarkRosterMemory measures the heap of one roster with its view and tree.
func BenchmarkRosterMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			entries := fleet(n, 7)
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := NewRoster(entries[0])
				r.Merge(entries)
				time.Sleep(2 * viewInterval)
				r.View().Tree()
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(r)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KiB")
		})
	}
}
