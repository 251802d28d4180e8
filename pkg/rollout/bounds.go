package rollout

import (
	"math"
	"time"
)

// Bounds are the limits that a rollout has to keep.
type Bounds struct {
	// Exposure is the share of the requests of a service, from the order to its time
	// limit, that a bad version may get, and Tolerance a number of further requests.
	Exposure  float64
	Tolerance float64
	// Rollback is the time after its 50th bad response within which a bad version must
	// get no more requests.
	Rollback time.Duration
}

const (
	// canaryPart is the part of the exposure that the canary uses. The rest is for the
	// load test, and for the time until a version that turns bad in the cutover is
	// detected.
	canaryPart = 0.5
	// tolerancePart is the part of the tolerance that is planned for.
	tolerancePart = 0.7
	// maxCanaryShare bounds the share in services with few requests, for which the
	// tolerance would permit a large one.
	maxCanaryShare = 0.3
	// loadTestShare and maxLoadTest are the share and the longest time of the load test,
	// and minLoadTest the shortest one that is worthwhile.
	loadTestShare = 0.5
	maxLoadTest   = time.Second
	minLoadTest   = 200 * time.Millisecond
	// detectionTime is the time until a version that turns bad in the cutover gets no
	// more requests. The canary and the load test leave that many requests.
	detectionTime = 400 * time.Millisecond
	// settleTime is the time from the end of the load test to the cutover, in which slow
	// responses and the counts arrive.
	settleTime = 700 * time.Millisecond
	// cutoverLead is the time from the cutover to the time limit: 2 s for calls at old
	// upstreams and 1.5 s for the write of the status. leadPart bounds it for short
	// orders.
	cutoverLead = 3500 * time.Millisecond
	leadPart    = 0.4
	// latestLead is the time before the limit at which a rollout is given up that may
	// not begin its cutover. latestPart bounds it for short orders.
	latestLead = 1500 * time.Millisecond
	latestPart = 0.2
	// DrainLimit is the time for calls at old upstreams to end.
	DrainLimit = 2 * time.Second
	// minCutover is the least time of a cutover: a version that turns bad must be detected
	// before old upstreams stop. minCutoverPart bounds it for short orders.
	minCutover     = time.Second
	minCutoverPart = 0.15
	// writeMargin is the time before the limit at which the rollout is completed
	// although calls at old upstreams have not ended.
	writeMargin = 700 * time.Millisecond
	// futureRate is the part of the present rate of requests that is expected for the
	// rest of the time.
	futureRate = 0.8
)

// times are points in time since the order.
type times struct{ loadTest, cutover, latest time.Duration }

// times returns when the phases of an order with a time limit begin.
func (b Bounds) times(limit time.Duration) times {
	part := func(p float64) time.Duration { return time.Duration(p * float64(limit)) }
	t := times{cutover: limit - min(cutoverLead, part(leadPart)), latest: limit - min(latestLead, part(latestPart))}
	t.loadTest = max(t.cutover-settleTime-maxLoadTest, 0)
	return t
}

// leastCutover returns the least time of the cutover of an order with a time limit.
func (b Bounds) leastCutover(limit time.Duration) time.Duration {
	return max(min(minCutover, time.Duration(minCutoverPart*float64(limit))), closeGrace)
}

// allowance returns how many requests the new version may have got by the time limit, of
// which planned are counted on. rate is the present rate of the service per second.
func (b Bounds) allowance(total, rate float64, remaining time.Duration) float64 {
	return b.Exposure*(total+futureRate*rate*max(remaining, 0).Seconds()) + tolerancePart*b.Tolerance
}

// canaryShare returns the share of the calls that goes to the new version in the canary.
func (b Bounds) canaryShare(f *Facts, limit time.Duration) float64 {
	if f.Rate <= 0 {
		return canaryPart * b.Exposure
	}
	total := float64(f.Old.Requests + f.New.Requests)
	allowed := b.allowance(total, f.Rate, limit-f.Elapsed)
	left := canaryPart*allowed - float64(f.New.Requests)
	share := left / max(f.Rate*(b.times(limit).loadTest-f.Elapsed).Seconds(), f.Rate)
	return min(max(share, 0), maxCanaryShare, max(canaryPart*b.Exposure, canaryPart*allowed/max(f.Rate*limit.Seconds(), 1)))
}

// lateShare returns the share of the calls while the cutover is due and the counts do not
// suffice yet: what was reserved for the cutover is used for them.
func (b Bounds) lateShare(f *Facts, limit time.Duration) float64 {
	allowed := b.allowance(float64(f.Old.Requests+f.New.Requests), f.Rate, limit-f.Elapsed)
	remaining := b.times(limit).latest - f.Elapsed
	if f.Rate <= 0 || remaining <= 0 {
		return 0
	}
	share := (allowed - float64(f.New.Requests)) / max(f.Rate*remaining.Seconds(), f.Rate)
	return min(max(share, 0), maxCanaryShare)
}

// loadTest returns how long the load test may take, 0 if there is no room for it.
func (b Bounds) loadTest(f *Facts, limit time.Duration) time.Duration {
	if f.Rate <= 0 {
		return 0
	}
	allowed := b.allowance(float64(f.Old.Requests+f.New.Requests), f.Rate, limit-f.Elapsed)
	left := allowed - float64(f.New.Requests) - f.Rate*detectionTime.Seconds()
	d := time.Duration(left / (loadTestShare * f.Rate) * float64(time.Second))
	if d = min(d, maxLoadTest); d < minLoadTest {
		return 0
	}
	return d
}

// subset returns how many upstreams of the new version get a share of the calls, so that
// each is loaded like one of the old ones. At least three are used, because the worst
// one is left out of the verdict.
func subset(share float64, oldNodes, newNodes int) int {
	const minUpstreams = 3
	if share >= 1 {
		return newNodes
	}
	n := int(math.Ceil(share / (1 - share) * float64(oldNodes)))
	return min(max(n, minUpstreams), newNodes)
}
