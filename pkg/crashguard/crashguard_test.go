package crashguard

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilflow/lentilflow/pkg/internal/rapidtest"
	"github.com/lentilflow/lentilflow/pkg/model"
)

func init() { rapidtest.FixSeed(20) }

// refusalCheck is the decision under test. The broken variant replaces it.
type refusalCheck func(Registry, Fingerprint, time.Time) bool

func isRefused(n Registry, f Fingerprint, now time.Time) bool {
	r, ok := n.Lookup(f)
	return ok && r.Refused(now)
}

// checkCrashes sends one request that crashes upstreams and some that do not to
// many upstreams. It returns the first property that does not hold.
func checkCrashes(t *rapid.T, refused refusalCheck) string {
	now := time.Unix(1_000_000, 0)
	n := NewMemoryRegistry(func() time.Time { return now })
	ctx, fatal := context.Background(), Fingerprint{1}
	crashed, last := 0, now
	for i := range rapidtest.Steps(200) {
		now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
		if now.Sub(last) > suspicionTime/2 {
			crashed, last = 0, now
			n.records.Store(&map[Fingerprint]Record{}) // starts again without records
		}
		up := model.NodeID(strconv.Itoa(i % 20))
		innocent := Fingerprint{byte(2 + rapid.IntRange(0, 3).Draw(t, "innocent"))}
		if !refused(n, fatal, now) && rapid.Bool().Draw(t, "fatal") {
			crashed++
			_ = n.Report(ctx, fatal, "agenda", Crash{Upstream: up, At: now})
			_ = n.Report(ctx, innocent, "agenda", Crash{Upstream: up, At: now})
		} else if !refused(n, innocent, now) {
			_ = n.ReportCompleted(ctx, innocent)
			if r, ok := n.Lookup(innocent); ok && len(r.Crashes) > 0 {
				return "an innocent request stays suspected after it completed"
			}
		}
		if crashed > MaxCrashes {
			return "one request crashed more than two upstreams"
		}
	}
	return ""
}

// Guards against a request that crashes a third upstream, and against lasting
// suspicion of requests that crash none.
func TestAtMostTwoUpstreamsCrash(t *testing.T) {
	rapidtest.RequireNoFault(t, refusalCheck(isRefused), checkCrashes)
}

// Checks that checkCrashes detects a decision that allows a third crash.
func TestCheckCrashesDetectsBrokenVariant(t *testing.T) {
	rapidtest.RequireFaultsFound(t, map[string]refusalCheck{
		"one request crashed more than two upstreams": func(n Registry, f Fingerprint, _ time.Time) bool {
			r, _ := n.Lookup(f)
			return len(r.Crashes) > MaxCrashes
		},
	}, checkCrashes)
}

// Guards against suspicion that does not expire and against a crash that is
// counted twice.
func TestRecordExpiresAndDeduplicatesReports(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1_000_000, 0)
	r := Record{}.add("agenda", Crash{Upstream: "a", At: t0}).add("agenda", Crash{Upstream: "a", At: t0.Add(time.Second)})
	is.Equal(len(r.Crashes), 1) // two reports of one crash
	is.Equal(len(r.withoutExpired(t0.Add(suspicionTime)).Crashes), 0)
	r = r.add("agenda", Crash{Upstream: "b", At: t0.Add(time.Minute)})
	is.True(r.Refused(t0.Add(RefusalTime)))
	is.True(!r.Refused(t0.Add(time.Minute + RefusalTime)))
}

// Guards against fingerprints that ignore a field or do not separate two fields.
func TestFingerprintCoversEveryField(t *testing.T) {
	is := is.New(t)
	base := Request{Method: "GET", Caller: "r", Target: "/a", Body: make([]byte, BodyPrefix)}
	seen := map[Fingerprint]bool{FingerprintOf(base): true}
	for _, r := range []Request{
		{"PUT", "r", "/a", base.Body}, {"GET", "q", "/a", base.Body}, {"GET", "r", "/a?b", base.Body},
		{"GET", "r/a", "", base.Body}, {"GET", "r", "/a", base.Body[1:]},
	} {
		is.True(!seen[FingerprintOf(r)])
		seen[FingerprintOf(r)] = true
	}
	is.Equal(FingerprintOf(base), FingerprintOf(Request{"GET", "r", "/a", append(base.Body, 1)})) // only the first 64 KiB count
}

// Guards against equal requests that are refused for minutes because two
// upstreams that ran them were lost together.
func TestUpstreamsLostTogether(t *testing.T) {
	is := is.New(t)
	t0 := time.Now()
	first := Crash{ID: "1", Upstream: "a", At: t0, RanFor: time.Second}
	r := Record{}.add("agenda", first).add("agenda", Crash{ID: "2", Upstream: "b", At: t0.Add(50 * time.Millisecond), RanFor: 100 * time.Millisecond})
	is.True(!r.Refused(t0.Add(time.Second)))
	r = r.add("agenda", Crash{ID: "3", Upstream: "c", At: t0.Add(time.Second), RanFor: 900 * time.Millisecond})
	is.True(r.Refused(t0.Add(time.Second))) // sent again after the first crash
}

// Guards against a crash that is counted as an earlier one of the same VM because
// the upstream restarted within duplicateWindow, in which reports without an ID
// count as one crash.
func TestCrashOfTheNextBootCounts(t *testing.T) {
	is := is.New(t)
	t0 := time.Now()
	r := Record{}.add("agenda", Crash{ID: "a/1", Upstream: "a", At: t0}).add("agenda", Crash{ID: "a/2", Upstream: "a", At: t0.Add(time.Second)})
	is.True(r.Refused(t0.Add(time.Second)))
}

// Guards against a request that is no longer refused, or not everywhere, because the
// records of its crashes reach a node in another order than the crashes happened, or
// only in part.
func TestMergedRecordsRefuseTheSameRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	f := Fingerprint{1}
	first := Crash{ID: "a", Upstream: "n1", At: now, RanFor: time.Second}
	second := Crash{ID: "b", Upstream: "n2", At: now.Add(5 * time.Second), RanFor: time.Second}
	clock := func() time.Time { return now.Add(10 * time.Second) }
	whole, part := NewMemoryRegistry(clock), NewMemoryRegistry(clock)
	whole.RecordLocal(f, "s", first)
	whole.RecordLocal(f, "s", second)
	part.RecordLocal(f, "s", second)
	is.True(whole.RefusedDigest() != 0)
	is.Equal(part.RefusedDigest(), uint64(0))
	is.True(part.Merge(f, Record{Service: "s", Crashes: []Crash{first}})) // the earlier crash arrives last
	is.Equal(part.RefusedDigest(), whole.RefusedDigest())
	is.True(!part.Merge(f, whole.Records()[f])) // nothing new
	is.Equal(len(part.Records()[f].Crashes), 2)

	// Runs that overlap count as one crash, in whatever order they are merged.
	third := NewMemoryRegistry(clock)
	third.RecordLocal(f, "s", Crash{ID: "c", Upstream: "n3", At: now.Add(time.Second), RanFor: 3 * time.Second})
	is.True(!third.Merge(f, Record{Service: "s", Crashes: []Crash{first}}))
}

// Guards against a refusal that never ends because of a digest that is not updated when
// its records expire, or of a crash in the future.
func TestRefusalsExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	m := NewMemoryRegistry(func() time.Time { return now })
	f := Fingerprint{1}
	for i := range MaxCrashes {
		m.RecordLocal(f, "s", Crash{ID: strconv.Itoa(i), Upstream: "n", At: now.Add(time.Duration(i) * time.Second)})
	}
	is.True(m.RefusedDigest() != 0)
	now = now.Add(RefusalTime + time.Second)
	is.Equal(m.RefusedDigest(), uint64(0))
	r := Record{Service: "s", Crashes: []Crash{{At: now.Add(time.Hour)}}}
	is.True(r.Check(now) != nil)
	r.Crashes[0].At = now
	is.NoErr(r.Check(now))
}
