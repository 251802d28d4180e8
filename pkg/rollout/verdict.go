package rollout

import (
	"maps"
	"math"
	"slices"
)

const (
	// errorProbability bounds the probability that a good version is taken for a bad one
	// during a rollout, and that a version is taken for a good one of which the stated
	// part of the responses is bad.
	errorProbability = 0.001
	// failingPart and slowPart are the parts of the otherwise good responses that are
	// failures, or slow, at a bad version. A part between 0 and these is undecided for
	// long, and the rollout is then given up.
	failingPart = 0.12
	slowPart    = 0.25
	// minPart is the least part of bad responses that is assumed of the old version.
	// With 0, one failure would decide.
	minPart = 0.005
	// oldWeight is the number of requests of the whole time that is added to those of
	// the old version in a window, which may be few.
	oldWeight = 5
	// minWindow is the number of requests of the old version from which a window shows
	// what happens to both versions at the time. In the cutover there are none, and the
	// last such window counts, by recentFactor less with each further one.
	minWindow    = 5
	recentFactor = 0.85
	// cutoverProbability replaces errorProbability for a cutover to begin. The tests go
	// on in the cutover, whose many requests decide within a second.
	cutoverProbability = 0.005
	// badFloor is the least sum of the test for a bad version. Without it, a version that
	// turns bad late would first have to make up for all its good responses.
	badFloor = -2
	// suspicionLimit is the sum of the test for a bad version from which a cutover does not
	// begin.
	suspicionLimit = 3
	// burstLimit bounds what one upstream adds in one window. A process that is killed or
	// frozen fails all its requests at once, which are no independent observations.
	burstLimit = 4
	// minContributors is the number of upstreams on which the evidence against a version must
	// rest, unless the version has fewer: upstreams are not equally fast, and the canary
	// uses few of them at first.
	minContributors = 3
	// shareMargin is what the upstreams together may add beyond what is needed: sums change
	// with each response.
	shareMargin = 1.05
	// outlierPart is the part of the upstreams of each version that is left out, the
	// worst ones. They may be grey, or in a zone that is slow.
	outlierPart = 0.2
	// minOldRequests is the least number of requests of the old version for a verdict.
	minOldRequests = 50
)

// Verdict compares the counts of both versions.
type Verdict struct {
	Good, Bad bool   // at most one is set; Good permits the cutover
	Sure      bool   // the version may be completed
	Reason    Reason // why the version is bad
	// Route is the route with the strongest evidence against the version, "" for all
	// routes together.
	Route string
	// Against is that evidence, and Limit the value from which the version is bad. For is
	// the weaker one of the two sums for a good version, and Enough the value from which it
	// is good.
	Against, Limit, For, Enough float64
}

// observation are the counts of one test in one cell: of failures, or of slow responses.
type observation struct{ total, bad uint64 }

func (o observation) plus(p observation) observation {
	return observation{o.total + p.total, o.bad + p.bad}
}

type measure func(*cell) observation

func failures(c *cell) observation { return observation{c.requests, c.failures} }
func slowness(c *cell) observation { return observation{c.timed, c.slow} }

// Verdict applies sequential probability ratio tests (Wald, "Sequential Tests of
// Statistical Hypotheses", 1945) to the failures and to the slow responses of the new
// version, on all routes together and on each one. The hypothesis of the good version is
// the part of bad responses that the old version has in the same window. The test for a
// bad version begins again whenever its sum falls below a floor (Page, "Continuous
// Inspection Schemes", 1954). The worst upstreams of each version are left out.
func (e *Evidence) Verdict() Verdict {
	outliers := e.outliers()
	tests := 2 * float64(len(e.names)+1)
	v := Verdict{
		Limit: math.Log(tests*float64(max(len(e.windows), 1))/errorProbability) + badFloor, Enough: math.Log(1 / cutoverProbability),
		For: math.Inf(1), Against: badFloor,
	}
	for _, kind := range []struct {
		measure measure
		part    float64
		reason  Reason
	}{{failures, failingPart, Failing}, {slowness, slowPart, Slow}} {
		bad, good := e.test(kind.measure, kind.part, outliers, shareMargin*(v.Limit-badFloor)/e.contributors())
		v.For = min(v.For, good)
		for scope, sum := range bad {
			if sum > v.Against {
				v.Against, v.Reason, v.Route = sum, kind.reason, ""
				if scope != allRoutes {
					v.Route = e.names[scope-1]
				}
			}
		}
	}
	v.Bad = v.Against >= v.Limit
	v.Good = !v.Bad && v.For >= v.Enough && v.Against < suspicionLimit && e.old.Requests >= minOldRequests
	v.Sure = v.Good && v.For >= math.Log(1/errorProbability)
	return v
}

// allRoutes is the scope of the test on all routes together. The scope of the test on one
// route is its index plus 1.
const allRoutes = 0

// contributors returns the number of upstreams of the new version on which evidence must rest,
// as far as there are as many without the outliers.
func (e *Evidence) contributors() float64 {
	n := 0
	for _, s := range e.sources {
		if s.latest.Software == e.order.To {
			n++
		}
	}
	return float64(max(min(n-int(math.Ceil(outlierPart*float64(n))), minContributors), 1))
}

// upstreamScope identifies the observations at one upstream for one test.
type upstreamScope struct{ node, scope int }

// test returns the sums of the tests for a bad version, by scope, and that of the test
// for a good version on all routes. Each upstream adds at most share to a sum for a bad
// version.
func (e *Evidence) test(m measure, part float64, outliers map[int]bool, share float64) (bad []float64, good float64) {
	scopes := len(e.names) + 1
	mean := e.meanOfOld(m, scopes, outliers)
	bad = make([]float64, scopes)
	for i := range bad {
		bad[i] = badFloor
	}
	old, added, recent := make([]observation, scopes), make([]float64, scopes), make([]float64, scopes)
	upstreams := make(map[upstreamScope]observation)
	contributed := make(map[upstreamScope]float64) // what each upstream has added since the sum was at the floor
	for _, w := range e.windows {
		clear(old)
		clear(added)
		clear(upstreams)
		for i := range w {
			c := &w[i]
			if outliers[c.node] {
				continue
			}
			for _, scope := range []int{allRoutes, c.route + 1} {
				if c.old {
					old[scope] = old[scope].plus(m(c))
				} else {
					k := upstreamScope{c.node, scope}
					upstreams[k] = upstreams[k].plus(m(c))
				}
			}
		}
		for scope, o := range old {
			recent[scope] *= recentFactor
			if o.total >= minWindow {
				recent[scope] = max(recent[scope], partOfOld(o, mean[scope]))
			}
		}
		for k, o := range upstreams {
			p0 := partOfOld(old[k.scope], mean[k.scope])
			if old[k.scope].total < minWindow {
				p0 = max(p0, recent[k.scope])
			}
			p1 := p0 + part*(1-p0)
			sum := float64(o.bad)*math.Log(p1/p0) + float64(o.total-o.bad)*math.Log((1-p1)/(1-p0))
			if k.scope == allRoutes {
				good -= min(sum, burstLimit)
			}
			before := contributed[k]
			contributed[k] = before + min(sum, burstLimit)
			added[k.scope] += min(contributed[k], share) - min(before, share)
		}
		for scope := range bad {
			if bad[scope] += added[scope]; bad[scope] <= badFloor {
				bad[scope] = badFloor
				maps.DeleteFunc(contributed, func(k upstreamScope, _ float64) bool { return k.scope == scope })
			}
		}
	}
	return bad, good
}

// partOfOld returns the part of bad responses that a good version may have in a window: that
// of the old version and one standard error, because it is measured too. mean is that of
// the whole time.
func partOfOld(o observation, mean float64) float64 {
	n := float64(o.total) + oldWeight
	p := (float64(o.bad) + oldWeight*mean) / n
	return min(max(p+math.Sqrt(p*(1-p)/n), minPart), 1-minPart)
}

// meanOfOld returns the part of bad responses of the old version during the whole time, by
// scope.
func (e *Evidence) meanOfOld(m measure, scopes int, outliers map[int]bool) []float64 {
	sums := make([]observation, scopes)
	for _, w := range e.windows {
		for i := range w {
			if c := &w[i]; c.old && !outliers[c.node] {
				sums[allRoutes], sums[c.route+1] = sums[allRoutes].plus(m(c)), sums[c.route+1].plus(m(c))
			}
		}
	}
	mean := make([]float64, scopes)
	for i, o := range sums {
		mean[i] = (float64(o.bad) + 0.5) / (float64(o.total) + minOldRequests)
	}
	return mean
}

// outliers returns the upstreams that are left out: of each version the fifth whose
// number of bad responses is furthest above the mean of the version.
func (e *Evidence) outliers() map[int]bool {
	out := make(map[int]bool)
	for _, old := range []bool{true, false} {
		sums := make(map[int]observation)
		var all observation
		for _, w := range e.windows {
			for i := range w {
				if c := &w[i]; c.old == old {
					s, bad := sums[c.node], c.failures+c.slow
					sums[c.node] = observation{s.total + c.requests, s.bad + bad}
					all = observation{all.total + c.requests, all.bad + bad}
				}
			}
		}
		if len(sums) < 2 {
			continue
		}
		mean := float64(all.bad) / float64(max(all.total, 1))
		excess := func(node int) float64 { s := sums[node]; return float64(s.bad) - mean*float64(s.total) }
		var nodes []int
		for node := range sums {
			nodes = append(nodes, node)
		}
		slices.SortFunc(nodes, func(a, b int) int {
			if x, y := excess(a), excess(b); x != y {
				if x > y {
					return -1
				}
				return 1
			}
			return a - b
		})
		for _, node := range nodes[:int(math.Ceil(outlierPart*float64(len(nodes))))] {
			if excess(node) > 0 {
				out[node] = true
			}
		}
	}
	return out
}
