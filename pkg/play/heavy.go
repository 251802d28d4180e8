package play

import "time"

// HeavyScenarios returns the scenarios of the heaviest days of the two deployments with
// hard load (docs/design/heavy-load.md).
func HeavyScenarios() []Scenario { return []Scenario{dispatchScenario(), flagScenario()} }

// dispatchScenario is a dispatch mesh with 66 VMs, unevenly distributed over the zones,
// and 75 teams. Audits, one team and lookups burst one after the other; then two
// upstreams are slow, and five leave.
func dispatchScenario() Scenario {
	ms, s := time.Millisecond, time.Second
	speeds := []float64{1 / 0.6, 1, 1 / 1.4}
	const load = 1.3 // the mean load of the day, relative to that of a usual day
	return Scenario{
		Name: "dispatch mesh", Zones: 6, Length: 30 * s, Amplitude: 0.2, Period: 17 * s, CallerRetries: 1, Teams: 75, urgentTeams: 15,
		ZoneLoads: []float64{1.04, 1.04, 1.02, 0.93, 1.09, 0.88},
		Services: []Service{
			{Name: "disponibil", Slots: 12, UpstreamsByZone: []int{4, 5, 5, 4, 3, 3}, Speeds: speeds},
			{Name: "comenzi", Slots: 12, UpstreamsByZone: []int{3, 4, 3, 3, 2, 2}, Speeds: speeds},
			{Name: "arhiva", Slots: 12, UpstreamsByZone: []int{5, 4, 4, 4, 4, 4}, Speeds: []float64{1 / 0.7, 1 / 0.7, 1 / 1.6}},
		},
		Kinds: []RequestKind{
			{Name: "lookup", Service: "disponibil", Rank: 1, Idempotent: true, LatencyTarget: 500 * ms, Deadline: 2 * s, Timeout: s, Worth: 1.5, LateWorth: 0.3,
				Work: 160 * ms, WorkSpread: 0.6, Rate: 979 * load / 6, InnerCalls: []InnerCalls{{Kind: "tariff", Times: 2, Share: 0.7}}},
			{Name: "booking", Service: "comenzi", Rank: 1, LatencyTarget: 600 * ms, Deadline: 2500 * ms, Timeout: 1200 * ms, Worth: 1.6, LateWorth: 0.78,
				Work: 210 * ms, WorkSpread: 0.6, Rate: 392 * load / 6, InnerCalls: []InnerCalls{{Kind: "weighbridge", Times: 1, Share: 0.7}}},
			{Name: "audit", Service: "arhiva", Rank: 1, Idempotent: true, LatencyTarget: 2500 * ms, Deadline: 5 * s, Timeout: 2500 * ms, Worth: 0.39, LateWorth: 0.29,
				Work: 400 * ms, WorkSpread: 0.6, Rate: 479 * load / 6},
			{Name: "tariff", Service: "comenzi", Rank: 1, Idempotent: true, LatencyTarget: 150 * ms, Deadline: 500 * ms, Work: 40 * ms, WorkSpread: 0.5},
			{Name: "weighbridge", Service: "arhiva", Rank: 1, Idempotent: true, LatencyTarget: 150 * ms, Deadline: 500 * ms, Work: 40 * ms, WorkSpread: 0.5},
		},
		Faults: []Fault{
			{From: 2100 * ms, To: 8100 * ms, RateKind: "audit", RateZone: -1, RateFactor: 2.4},
			{From: 6300 * ms, To: 11900 * ms, RateZone: -1, RateTeam: 1, RateFactor: 4.6},
			{From: 13 * s, To: 16400 * ms, RateKind: "lookup", RateZone: -1, RateFactor: 1.8},
			{From: 12 * s, To: 30 * s, Service: "disponibil", UpstreamShare: 2. / 24, Slowdown: 4.3},
			{From: 16 * s, To: 30 * s, Service: "disponibil", UpstreamShare: 0, GoneShare: 5. / 24},
		},
	}
}

// flagScenario is a flag platform with 75 VMs, whose reads call another service. Its
// upstreams are slow for moments, and some of its requests take much longer than others.
func flagScenario() Scenario {
	ms, s := time.Millisecond, time.Second
	speeds := []float64{1 / 0.6, 1, 1 / 1.4}
	const load = 1.2 // as for the dispatch mesh
	return Scenario{
		Name: "flag platform", Zones: 6, Length: 30 * s, Amplitude: 0.5, Period: 17 * s, CallerRetries: 1,
		Hiccups:   0.15,
		ZoneLoads: []float64{0.86, 1.1, 0.92, 1.08, 0.97, 1.08},
		Services: []Service{
			{Name: "flag-api", Slots: 6, UpstreamsByZone: []int{9, 8, 8, 8, 7, 8}, Speeds: speeds},
			{Name: "rule-store", Slots: 6, UpstreamsByZone: []int{5, 5, 5, 4, 4, 4}, Speeds: []float64{2, 1, 1, 1 / 1.5}},
		},
		Kinds: []RequestKind{
			{Name: "read", Service: "flag-api", Rank: 1, Idempotent: true, LatencyTarget: 400 * ms, Deadline: 1500 * ms, Timeout: 800 * ms, Worth: 1, LateWorth: 0.1,
				Work: 85 * ms, WorkSpread: 0.6, TailShare: 0.03, TailFactor: 7, Rate: 900 * load / 6, InnerCalls: []InnerCalls{{Kind: "rule fetch", Times: 1, Share: 0.7}}},
			{Name: "toggle", Service: "flag-api", Rank: 0, LatencyTarget: 500 * ms, Deadline: 2 * s, Timeout: s, Worth: 1.5, LateWorth: 0.5,
				Work: 110 * ms, WorkSpread: 0.6, TailShare: 0.03, TailFactor: 7, Rate: 425 * load / 6},
			{Name: "export", Service: "rule-store", Rank: 2, Idempotent: true, LatencyTarget: 800 * ms, Deadline: 3 * s, Timeout: 1500 * ms, Worth: 0.6, LateWorth: 0.3,
				Work: 220 * ms, WorkSpread: 0.6, TailShare: 0.03, TailFactor: 7, Rate: 289 * load / 6},
			{Name: "rule fetch", Service: "rule-store", Rank: 1, Idempotent: true, LatencyTarget: 120 * ms, Deadline: 300 * ms, Work: 26 * ms, WorkSpread: 0.5},
		},
		Faults: []Fault{
			{From: 2 * s, To: 7 * s, RateZone: -1, RateFactor: 1.8},
			{From: 9 * s, To: 14 * s, RateZone: 1, RateFactor: 2.5},
			{From: 11 * s, To: 17 * s, Service: "rule-store", UpstreamShare: 0.2, Slowdown: 5},
			{From: 18 * s, To: 26 * s, Service: "flag-api", UpstreamShare: 1, ShedShare: 0.55},
		},
	}
}

// HeavyVariants returns GatewayPolicy unchanged, then variants that each switch off one
// decision under heavy load.
func HeavyVariants() []Variant {
	return []Variant{
		{"all decisions", func(*Policy) {}},
		{"returning callers as new ones", func(p *Policy) { p.ReturningLate = false }},
		{"calls wait up to their deadline", func(p *Policy) { p.QueueShare = 0 }},
		{"late calls wait", func(p *Policy) { p.RefuseLate = false }},
		{"no shares of teams", func(p *Policy) { p.TeamShares = false }},
		{"calls of upstreams in their own rank", func(p *Policy) { p.InnerWeight = 0 }},
	}
}
