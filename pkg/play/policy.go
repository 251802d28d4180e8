package play

// Policy is how nodes decide, as far as a play can change it. The decisions
// themselves are those of the packages that make them.
type Policy struct {
	// Patience and LargePatience are the parts of the latency target that a call
	// may be expected to wait while another upstream may be free.
	MaxWaitShare, DownloadMaxWaitShare float64
	// LinkShare is the part of the target that a large answer may wait for the
	// link, and LinkRetryShare the part over which the return of the others is
	// spread.
	LinkWaitShare, LinkRetryAfterShare float64
	// Hold leaves upstreams alone that would let a call wait too long.
	BackOff bool
	// LargeInRegion keeps large answers in their region.
	DownloadsInRegion bool
	// ShortestFirst sends the shortest large answer that is in time first.
	ShortestFirst bool
	// InTimeFirst runs calls that can meet their target before late ones.
	InTimeFirst bool
	// Shares divides the service of a rank among its kinds.
	ShareWithinRank bool
	// Retries sends calls again.
	Retries bool
	// BudgetShare is the part of its calls that a node may send again, and
	// ReserveShare its part of the extra retries of all.
	BudgetShare, ReserveShare float64
}

// Variant is a change of a policy.
type Variant struct {
	Name   string
	Change func(*Policy)
}

// Variants returns what Product does, and it without each mechanism alone.
func Variants() []Variant {
	return []Variant{
		{"as the product", func(*Policy) {}},
		{"no other upstream before the queue", func(p *Policy) { p.MaxWaitShare, p.DownloadMaxWaitShare = 0, 0 }},
		{"no hold-off", func(p *Policy) { p.BackOff = false }},
		{"large answers in all regions", func(p *Policy) { p.DownloadsInRegion = false }},
		{"large answers first come first served", func(p *Policy) { p.ShortestFirst = false }},
		{"late calls in their turn", func(p *Policy) { p.InTimeFirst = false }},
		{"no shares within a rank", func(p *Policy) { p.ShareWithinRank = false }},
		{"no retries", func(p *Policy) { p.Retries = false }},
		{"half the wait for a link", func(p *Policy) { p.LinkWaitShare, p.DownloadMaxWaitShare = p.LinkWaitShare/2, p.DownloadMaxWaitShare/2 }},
		{"twice the wait for a link", func(p *Policy) { p.LinkWaitShare, p.DownloadMaxWaitShare = p.LinkWaitShare*2, p.DownloadMaxWaitShare*2 }},
	}
}

// Product is what the nodes do (pkg/gateway).
func GatewayPolicy() Policy {
	return Policy{
		MaxWaitShare: 0.25, DownloadMaxWaitShare: 0.35, LinkWaitShare: 0.42, LinkRetryAfterShare: 0.25, BackOff: true, DownloadsInRegion: true,
		ShortestFirst: true, InTimeFirst: true, ShareWithinRank: true, Retries: true, BudgetShare: 0.75 * 0.2, ReserveShare: 0.7,
	}
}
