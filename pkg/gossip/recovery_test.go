package gossip

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/follow"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/recovery"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// knowEachOther gives all peers the same fleet.
func knowEachOther(peers ...*peer) {
	var members []fleet.Member
	for _, p := range peers {
		members = append(members, p.Self)
	}
	for _, p := range peers {
		p.View.Replace(members, follow.At(1), time.Now())
	}
}

// crashTwice records a request that has crashed two upstreams at p only.
func crashTwice(p *peer, f crashguard.Fingerprint) {
	for i := range crashguard.MaxCrashes {
		at := time.Now().Add(time.Duration(i-10) * time.Second)
		p.Notices.RecordLocal(f, "s", crashguard.Crash{ID: fmt.Sprint(i), Upstream: "n", At: at})
	}
}

// Guards against a node that starts and does not get back the departures of its own
// upstream, or does not pass on those of others when their holders restart in turn.
func TestDeparturesReturnAfterRestartsInTurn(t *testing.T) {
	is := is.New(t)
	peers := []*peer{newPeer(t, "a"), newPeer(t, "b"), newPeer(t, "c"), newPeer(t, "d")}
	knowEachOther(peers...)
	d := recovery.Departure{Node: "a", Departure: upstream.Departure{ID: "boot", Start: upstream.StartedAt(7)}}
	var confirmed atomic.Int64
	peers[0].Replicate(t.Context(), d, func() { confirmed.Add(1) })
	is.Equal(confirmed.Load(), int64(keepersPerDeparture))
	for _, p := range peers[1:] {
		p.SetSettled()
	}
	for round := range 2 {
		for i := range peers {
			p := newPeer(t, string(peers[i].Self.Node)) // another process, which knows nothing
			p.Departures = recovery.NewDepartures(time.Now())
			peers[i] = p
			knowEachOther(peers...)
			answers := p.Recover(t.Context())
			is.Equal(answers.Holders, keepersPerDeparture)
			is.True(answers.Settled >= len(peers)-2) // the first one was never settled before its restart
			is.Equal(answers.CompleteHolders, keepersPerDeparture)
			is.Equal(p.Departures.Of("a"), []upstream.Departure{d.Departure})
			p.SetSettled()
		}
		t.Logf("round %d of restarts", round)
	}
}

// Guards against a request that crashes upstreams again because a node that has
// restarted, or has missed a notice, does not know its crashes.
func TestCrashRecordsReachNodesThatMissedThem(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	knowEachOther(a, b)
	f := crashguard.Fingerprint{1}
	crashTwice(a, f)
	refused := func(p *peer) bool {
		r, ok := p.Notices.Lookup(f)
		return ok && r.Refused(time.Now())
	}
	b.Recover(t.Context())
	is.True(refused(b))

	c := newPeer(t, "c") // was cut off when the notices were sent
	knowEachOther(a, b, c)
	c.syncWith(t.Context(), a.Self)
	is.True(refused(c))

	quiet, other := newPeer(t, "quiet"), newPeer(t, "other")
	before := other.bytesSent.Load()
	quiet.syncWith(t.Context(), other.Self)
	is.True(other.bytesSent.Load()-before < 600) // no records, no further fields
}

// Guards against departures that are all kept in one zone although there are others.
func TestKeepersAreInSeveralZones(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, "self")
	members := []fleet.Member{p.Self}
	for i := range 12 {
		zone := fmt.Sprint("z", i%3)
		members = append(members, fleet.Member{
			Node: model.NodeID(fmt.Sprint("n", i)), Service: "s", CallAddress: "127.0.0.1:1", MessageAddress: "127.0.0.1:1",
			Location: model.Location{Region: "r", AvailabilityZone: model.AvailabilityZone(zone)},
		})
	}
	p.Self.Location.AvailabilityZone = "z0"
	members[0] = p.Self
	p.View.Replace(members, follow.At(1), time.Now())
	zones := make(map[model.AvailabilityZone]bool)
	for _, m := range p.keepers()[:keepersPerDeparture] {
		is.True(m.Node != p.Self.Node)
		zones[m.Location.AvailabilityZone] = true
	}
	is.True(len(zones) >= 2)
	is.Equal(len(p.keepers()), maxKeepers)
}

// Guards against malformed messages with departures, requests to recover and records of
// crashes that end more than themselves.
func TestOddRecoveryMessagesCostOnlyThemselves(t *testing.T) {
	is := is.New(t)
	p := newPeer(t, "a")
	e := echo.New()
	p.RegisterHandlers(e)
	post := func(path, body string) int {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return w.Code
	}
	for _, odd := range []string{"", "{", "[]", `[{"node":""}]`, `[{"node":"n","boot":7}]`, strings.Repeat("[", 50_000)} {
		is.Equal(post(pathDepartures, odd), http.StatusBadRequest)
	}
	for _, odd := range []string{"", "[", `{"node":7}`, `{}`, `{"node":"n","departures":7}`} {
		is.Equal(post(pathHoldings, odd), http.StatusBadRequest)
	}
	for _, odd := range []string{"", "[", `{"node":7}`, `{}`} {
		is.Equal(post(pathRecover, odd), http.StatusBadRequest)
	}
	is.Equal(post(pathDepartures, `[{"node":"n","boot":"b","started_ms":7},{"node":9},{"node":"m","boot":"b\u0000"}]`), http.StatusNoContent)
	is.Equal(p.Departures.All(time.Now()), []recovery.Departure{{Node: "n", Departure: upstream.Departure{ID: "b", Start: upstream.StartedAt(7)}}})
	r, err := p.decodeRecoverResponse([]byte(`{"settled":true,"departures":[{"node":"x"},{"node":"x","boot":"y"}],"crash_records":[7,{"fingerprint":"00"},
		{"fingerprint":"01000000000000000000000000000000","service":"s","crashes":[{"at":"2999-01-01T00:00:00Z"}]}]}`), "b")
	is.NoErr(err)
	is.True(r.Settled)
	is.Equal(len(r.Departures), 1)
	is.Equal(len(r.Crashes), 0)
}

// Guards against a request that crashes one upstream after the other because the clock
// of a node is ahead or behind: crashes elsewhere then seem to have happened before its
// own, or long ago, and are left out.
func TestCrashesCountWhateverTheClockOfTheirNodeSays(t *testing.T) {
	for _, offset := range []time.Duration{2400 * time.Millisecond, time.Minute, 15 * time.Minute, -15 * time.Minute} {
		is := is.New(t)
		p := newPeer(t, "a")
		e := echo.New()
		p.RegisterHandlers(e)
		f := crashguard.Fingerprint{1}
		at := time.Now().Add(offset).Format(time.RFC3339Nano)
		notice := `{"fingerprint":"01000000000000000000000000000000","service":"s","crash":{"id":"1","upstream":"x","at":"` + at + `","age_ns":20000000}}`
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, pathCrash, strings.NewReader(notice)))
		is.Equal(w.Code, http.StatusNoContent)
		p.Notices.RecordLocal(f, "s", crashguard.Crash{ID: "2", Upstream: "y", At: time.Now(), RanFor: time.Millisecond})
		r, _ := p.Notices.Lookup(f)
		is.True(r.Refused(time.Now()))

		record := strings.Replace(notice, `"crash":{`, `"crashes":[{`, 1)
		record = strings.TrimSuffix(record, "}}") + "}]}"
		answer, err := p.decodeRecoverResponse([]byte(`{"crash_records":[`+record+`]}`), "b")
		is.NoErr(err)
		is.Equal(len(answer.Crashes), 1)
	}
}

// Guards against crashes that are sent without their ages, which nodes with other clocks
// need.
func TestCrashesAreSentWithTheirAges(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	knowEachOther(a, b)
	crashTwice(a, crashguard.Fingerprint{1})
	for _, r := range a.crashRecords(false) {
		for _, c := range r.Crashes {
			is.True(c.Age >= time.Second)
		}
	}
	b.Recover(t.Context())
	r, _ := b.Notices.Lookup(crashguard.Fingerprint{1})
	is.Equal(len(r.Crashes), crashguard.MaxCrashes)
	is.True(time.Since(r.Crashes[0].At) > 5*time.Second) // crashTwice: 10 s ago
}

// Guards against the loss of a crash whose notice arrives after that of a later one.
func TestLateCrashNoticeCounts(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t, "a"), newPeer(t, "b")
	knowEachOther(a, b)
	f := crashguard.Fingerprint{1}
	b.Notices.RecordLocal(f, "s", crashguard.Crash{ID: "2", Upstream: "y", At: time.Now(), RanFor: time.Millisecond})
	earlier := crashguard.Crash{ID: "1", Upstream: "x", At: time.Now().Add(-time.Second)}
	a.ReportCrash(t.Context(), CrashNotice{Fingerprint: f, Service: "s", Crash: &earlier})
	r, _ := b.Notices.Lookup(f)
	is.True(r.Refused(time.Now()))
}

// Guards against an upstream that stays out of use after its node was restarted twice,
// because the holders of its departures had been started shortly before and could not say
// that they have lost none.
func TestHoldersAnswerForNodeThatHasHandedOver(t *testing.T) {
	is := is.New(t)
	peers := []*peer{newPeer(t, "a"), newPeer(t, "b"), newPeer(t, "c"), newPeer(t, "d")}
	for _, p := range peers {
		p.Departures = recovery.NewDepartures(time.Now())
	}
	knowEachOther(peers...)
	a := peers[0]
	is.Equal(a.Recover(t.Context()).CompleteHolders, 0)
	d := recovery.Departure{Node: "a", Departure: upstream.Departure{ID: "boot", Start: upstream.StartedAt(7)}}
	a.Departures.Add([]recovery.Departure{d}, time.Now()) // from the store
	a.SetSettled()
	is.True(!a.Recovered())
	a.handOver(t.Context())
	is.True(a.Recovered())
	next := newPeer(t, "a")
	next.Departures = recovery.NewDepartures(time.Now())
	knowEachOther(append(peers[1:], next)...)
	is.Equal(next.Recover(t.Context()).CompleteHolders, keepersPerDeparture)
	is.Equal(next.Departures.Of("a"), []upstream.Departure{d.Departure})
}
