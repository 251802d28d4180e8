package quota

import "time"

// Limit is the limit of a team over all nodes together.
type Limit struct {
	Rate  float64 // requests per second; 0: no limit
	Burst float64 // requests
}

// Bounds is what a deployment promises about the requests of a team in every window:
// at most (rate x Window + burst) x (1 + Overage) + Tolerance.
type Bounds struct {
	Window    time.Duration
	Overage   float64
	Tolerance float64 // requests
}

const (
	// demandLife is how long after its ask was sent a token may be used that was
	// granted for a waiting request. Requests wait for at most as long.
	demandLife = MaxWait
	// prefetchLife is the same for tokens that were granted ahead of demand.
	prefetchLife = 500 * time.Millisecond
	// headroomPerArea is the number of tokens that are added to the burst for each
	// area, as far as the bounds allow. A bucket with a fraction of the burst grants
	// whole tokens only; without the addition, a team with a burst of 3 would get no
	// token from three holders with 0.95 tokens each.
	headroomPerArea = 2
	// maxHeadroomShare is the largest part of the leeway that headroom may take, apart
	// from the part for tokens that are used late.
	maxHeadroomShare = 0.5
	// minCapPerArea is the smallest burst for each area, whatever the bounds are.
	// Without it a burst of less than one token for each area could not be used.
	minCapPerArea = 1.25
)

// plan is a limit as the holders apply it. All values belong to a weight of one and
// are multiplied by the weight of a holder.
type plan struct {
	rate float64 // tokens per second
	cap  float64 // of the bucket
	// prefetch is the cap of the allowance for tokens that are granted ahead of
	// demand. It refills within prefetchLife.
	prefetch float64
}

// leeway returns by how many requests the window of a limit may exceed rate x window +
// burst.
func (b Bounds) leeway(l Limit) float64 {
	return b.Overage*(l.Rate*b.Window.Seconds()+l.Burst) + b.Tolerance
}

// plan divides the leeway: tokens granted for requests that wait may be used up to
// demandLife after the grant, the headroom adds to the burst, and the rest may be
// outstanding as prefetched tokens. If the leeway is too small for the first part, the
// burst is reduced.
func (b Bounds) plan(l Limit, areas int) plan {
	late := l.Rate * demandLife.Seconds()
	leeway := b.leeway(l) - late
	headroom := min(headroomPerArea*float64(areas), maxHeadroomShare*leeway)
	if leeway < 0 {
		headroom = leeway
	}
	return plan{
		rate: l.Rate, cap: max(l.Burst+headroom, minCapPerArea*float64(areas)),
		// Over any prefetchLife, at most the cap and one refill are granted.
		prefetch: max(leeway-headroom, 0) / 2,
	}
}
