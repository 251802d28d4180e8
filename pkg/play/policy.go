package play

// Policy holds the parameters of the nodes' decisions that a simulation can change.
// The decisions themselves are made by the packages that nodes use.
type Policy struct {
	// MaxWaitShare is the share of the latency target that the expected wait of a
	// call may take while another upstream may be free. DownloadMaxWaitShare
	// replaces it for downloads.
	MaxWaitShare, DownloadMaxWaitShare float64
	// LinkWaitShare is the share of the latency target that the expected wait of a
	// download for the link may take. LinkRetryAfterShare is the share of the
	// latency target over which the return of refused downloads is spread.
	LinkWaitShare, LinkRetryAfterShare float64
	// BackOff stops attempts for some time at upstreams where the expected wait of
	// a call was too long.
	BackOff bool
	// BackOffLimitedAlone restricts the backoff after a wait for a rate limit to the
	// upstream that states it.
	BackOffLimitedAlone bool
	// DownloadsInRegion keeps downloads in the region of their node.
	DownloadsInRegion bool
	// ShortestFirst sends the download with the fewest remaining bytes first, among
	// those that can meet their latency target. Without it, the oldest goes first.
	ShortestFirst bool
	// InTimeFirst runs calls that can meet their latency target before calls that
	// cannot.
	InTimeFirst bool
	// ShareWithinRank divides the slots of a rank evenly among its request kinds.
	ShareWithinRank bool
	// Retries permits further attempts of a call. Without it, a call has only one
	// attempt, even if no upstream saw that one.
	Retries bool
	// BudgetShare is the share of its calls that a node may retry. ReserveShare is
	// the share of extraRetries that all nodes together may spend at once, in
	// addition. Each node may spend at least one of them.
	BudgetShare, ReserveShare float64
	// ReturningLate counts the time since the first try of a caller that comes back: its
	// call is late when the first try would be.
	ReturningLate bool
	// InnerWeight is the weight of the calls that upstreams make, which get the most
	// urgent rank; 0 leaves them their own rank and weight.
	InnerWeight int
	// QueueShare is the share of the latency target that the expected wait of a call may
	// take at any upstream; 0 sets no limit other than the deadline.
	QueueShare float64
	// RefuseLate refuses calls that have become late in a queue.
	RefuseLate bool
	// TeamShares divides the starts of a request kind among teams by their usual load.
	TeamShares bool
}

// Variant is a named change of a policy.
type Variant struct {
	Name   string
	Change func(*Policy)
}

// Variants returns GatewayPolicy unchanged, then variants that each switch off one
// mechanism or change one parameter of it.
func Variants() []Variant {
	return []Variant{
		{"as the product", func(*Policy) {}},
		{"no other upstream before the queue", func(p *Policy) { p.MaxWaitShare, p.DownloadMaxWaitShare = 0, 0 }},
		{"no hold-off", func(p *Policy) { p.BackOff = false }},
		{"a rate limit holds off its region", func(p *Policy) { p.BackOffLimitedAlone = false }},
		{"large answers in all regions", func(p *Policy) { p.DownloadsInRegion = false }},
		{"large answers first come first served", func(p *Policy) { p.ShortestFirst = false }},
		{"late calls in their turn", func(p *Policy) { p.InTimeFirst = false }},
		{"no shares within a rank", func(p *Policy) { p.ShareWithinRank = false }},
		{"no retries", func(p *Policy) { p.Retries = false }},
		{"half the wait for a link", func(p *Policy) { p.LinkWaitShare, p.DownloadMaxWaitShare = p.LinkWaitShare/2, p.DownloadMaxWaitShare/2 }},
		{"twice the wait for a link", func(p *Policy) { p.LinkWaitShare, p.DownloadMaxWaitShare = p.LinkWaitShare*2, p.DownloadMaxWaitShare*2 }},
	}
}

// GatewayPolicy returns the parameters of the nodes (pkg/gateway). BudgetShare is the
// share of the permitted ratio that nodes spend, 0.75, times a ratio of 0.2.
func GatewayPolicy() Policy {
	return Policy{
		MaxWaitShare: 0.25, DownloadMaxWaitShare: 0.35, LinkWaitShare: 0.42, LinkRetryAfterShare: 0.25, BackOff: true, BackOffLimitedAlone: true, DownloadsInRegion: true,
		ShortestFirst: true, InTimeFirst: true, ShareWithinRank: true, Retries: true, BudgetShare: 0.75 * 0.2, ReserveShare: 0.7,
		ReturningLate: true, InnerWeight: 8, QueueShare: 0.25, RefuseLate: true, TeamShares: true,
	}
}
