package quota

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
)

func fleetOf(ids ...uint64) map[uint64]model.UpstreamNodeState {
	present := make(map[uint64]model.UpstreamNodeState)
	for _, id := range ids {
		present[id] = model.Ready
	}
	return present
}

// Guards against a joining node that claims weight which others have not given up, and
// against one that gets none although others have.
func TestJoiningNodeClaimsWhatOthersGaveUp(t *testing.T) {
	is := is.New(t)
	c := newCensus(8)
	c.reportLife = time.Second
	now := modelStart
	c.update(fleetOf(1, 2, 4), false, now) // without its own row
	is.Equal(c.weight(now), weight(0))
	c.update(fleetOf(1, 2, 4, 8), false, now)
	is.Equal(c.weight(now), weight(0))
	c.observe("a", report{counting: 1 ^ 8, nodes: 2, countingSettled: 1, settled: 1}, now)
	is.Equal(c.weight(now), unit/4/3) // one of three others counts it
	c.observe("b", report{settled: 2}, now)
	is.Equal(c.weight(now), unit/4/3)
	is.Equal(c.weight(now+2*time.Second), weight(0)) // the reports are too old
	now += 2 * time.Second
	c.observe("a", report{counting: 1 ^ 8, nodes: 2, countingSettled: 1, settled: 1}, now)
	c.observe("b", report{counting: 2 ^ 4, nodes: 2, countingSettled: 2, settled: 2}, now)
	is.Equal(c.weight(now), unit/4)
	is.True(c.settled)
	c.update(fleetOf(1, 2, 4), false, now) // its row was removed
	is.Equal(c.weight(now), weight(0))
}

// Guards against a node that claims the weight of one that has left too early: it may go
// on to use it, behind a cut for long.
func TestWeightOfMissingNodesIsNotClaimedTooEarly(t *testing.T) {
	for state, wait := range map[model.UpstreamNodeState]time.Duration{
		model.NotServing: leftAfter, model.Ready: goneAfter, model.Unreachable: lostAfter,
	} {
		is := is.New(t)
		c := newCensus(1)
		present := fleetOf(1, 2)
		present[2] = state
		c.update(present, false, modelStart)
		is.Equal(c.weight(modelStart), unit/2)
		c.update(fleetOf(1), false, modelStart)
		is.Equal(c.weight(modelStart+wait-1), unit/2)
		is.Equal(c.weight(modelStart+wait), unit)
		c.update(fleetOf(1, 2), false, modelStart+wait) // it is back
		is.Equal(c.weight(modelStart+wait), unit/2)
	}
}

// Guards against a report about a node that others know in different fleets, because more
// nodes join: all that include it count, once their earlier weight has ended.
func TestHoldersReportWhoCountsANode(t *testing.T) {
	is := is.New(t)
	now := modelStart
	var known fleets
	for _, ids := range [][]uint64{{1, 2}, {1, 2, 4}, {1, 2, 4, 8}} {
		digest := uint64(0)
		for _, id := range ids {
			digest ^= id
		}
		known = known.with(digest, fleetOf(ids...))
	}
	h := newHolder(now)
	c := &h.classes[0]
	number := uint32(0)
	send := func(from, fleet uint64, flags uint8) answer {
		var a answer
		number++
		r := request{header: header{kind: kindDelegation, flags: flags, sender: from, process: 1, number: number}, fleet: fleet, weight: unit / 4, lease: time.Second, echoClock: now, echoProcess: 9}
		if flags&flagUnsettled != 0 {
			r.weight = 0
		}
		c.serve(&r, netip.AddrPort{}, true, terms{limits: func(uint64) (Limit, bool) { return Limit{}, false }, fleets: known}, now, &a)
		return a
	}
	send(1, 1|2, 0)
	now += 100 * time.Millisecond
	send(1, 1|2|4, 0)
	send(2, 1|2|4|8, 0)
	is.Equal(send(4, 1|2|4, flagUnsettled).report, report{counting: 4, nodes: 1, settled: 2}) // what 1 and 2 had before may be valid
	now += 900 * time.Millisecond
	send(1, 1|2|4|8, 0)
	send(2, 1|2|4|8, 0)
	now += 200 * time.Millisecond
	is.Equal(send(4, 1|2|4, flagUnsettled).report, report{counting: 1 | 2 | 4, nodes: 3, countingSettled: 2, settled: 2})
	is.Equal(send(8, 1|2|4|8, flagUnsettled).report.counting, uint64(2|8)) // 1 counts it since 0.2 s only
}

// Guards against a node that was not settled and calls itself settled after a restart, when
// nodes behind a cut may not know it.
func TestRestartDoesNotSettleANode(t *testing.T) {
	is := is.New(t)
	h := newHolder(modelStart)
	c := &h.classes[0]
	send := func(process uint32, number uint32, flags uint8) (answer, uint64) {
		var a answer
		r := request{header: header{kind: kindDelegation, flags: flags, sender: 1, process: process, number: number}, fleet: 1, weight: unit / 4, lease: time.Second, echoClock: modelStart, echoProcess: 9}
		if flags&flagUnsettled != 0 {
			r.weight = 0
		}
		c.serve(&r, netip.AddrPort{}, true, terms{}, modelStart, &a)
		return a, c.weight
	}
	send(1, 1, flagUnsettled)
	a, w := send(2, 1, 0)
	is.True(a.flags&flagNotSettled != 0)
	is.Equal(w, uint64(0))
	send(2, 2, flagUnsettled)
	a, w = send(2, 3, 0)
	is.True(a.flags&flagNotSettled == 0)
	is.Equal(w, uint64(unit/4))
}

// Guards against a use of the time of day, which jumps, and of CLOCK_MONOTONIC, which stops
// while a VM is frozen: package time reads both.
func TestOnlyBootClockIsRead(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok {
				if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" && (s.Sel.Name == "Now" || s.Sel.Name == "Since" || s.Sel.Name == "Until") {
					t.Errorf("%s uses time.%s", file, s.Sel.Name)
				}
			}
			return true
		})
	}
}
