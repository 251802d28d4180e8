package quota

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// pairOfNodes returns two nodes, the holder of the team and another one, and a function
// that delivers the datagrams that they have sent. Both have their weights.
func pairOfNodes(b *testing.B, l Limit) (holder, client *Node, team *config.Team, deliver func()) {
	b.Helper()
	var nodes [2]*Node
	var sent []func()
	deliver = func() {
		for len(sent) > 0 {
			next := sent[0]
			sent = sent[1:]
			next()
		}
		sent = nil
	}
	addresses := [2]netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}
	var peers []Peer
	for i := range nodes {
		name := model.NodeID([]string{"a", "b"}[i])
		peers = append(peers, Peer{Name: name, Location: model.Location{Region: "r", AvailabilityZone: "z"}, Address: addresses[i]})
	}
	start := time.Now()
	for i := range nodes {
		n := testNode(b, nil)
		n.Self, n.Process, n.Location = peers[i].Name, uint32(i+1), peers[i].Location
		n.Clock = func() time.Duration { return modelStart + time.Since(start) }
		n.Limit = func(uint64) (Limit, bool) { return l, true }
		n.Bounds = Bounds{Window: 5 * time.Second} // nothing is granted ahead of demand
		n.Send = func(d []byte, to netip.AddrPort) {
			d = slices.Clone(d)
			for j := range addresses {
				if addresses[j] == to {
					sent = append(sent, func() { nodes[j].Handle(d, addresses[i]) })
				}
			}
		}
		nodes[i] = n
		n.Init()
	}
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, n := range nodes {
			if n.census.present == 0 {
				n.SetFleet(peers)
			}
			n.Tick()
			deliver()
		}
	}
	team = &config.Team{Name: "t", Rate: l.Rate, Burst: l.Burst}
	class := classOf(Hash(team.Name))
	if nodes[0].entitlements[class].holder == nodes[0].self {
		return nodes[0], nodes[1], team, deliver
	}
	return nodes[1], nodes[0], team, deliver
}

// BenchmarkAdmitFromStock measures a request that finds a token.
func BenchmarkAdmitFromStock(b *testing.B) {
	n := testNode(b, nil)
	n.Clock = BootClock
	n.Init()
	team := &config.Team{Name: "t", Rate: 100, Burst: 100}
	t := n.teamOf(Hash(team.Name), team.Name)
	b.ReportAllocs()
	for b.Loop() {
		t.stock.lots = append(t.stock.lots[:0], lot{1, BootClock() + time.Hour})
		if n.Admit(b.Context(), team, MaxWait).Verdict != Granted {
			b.Fatal("not granted")
		}
	}
}

// BenchmarkAdmitDenied measures a request that is denied because all holders have denied
// a token for some time.
func BenchmarkAdmitDenied(b *testing.B) {
	n := testNode(b, nil)
	n.Clock = BootClock
	n.Init()
	team := &config.Team{Name: "t", Rate: 100, Burst: 100}
	t := n.teamOf(Hash(team.Name), team.Name)
	n.areaCount.Store(1)
	n.areaVersion.Store(7)
	t.version, t.areas = 7, []areaState{{deniedUntil: BootClock() + time.Hour, weight: unit}}
	b.ReportAllocs()
	for b.Loop() {
		if n.Admit(b.Context(), team, MaxWait).Verdict != Exceeded {
			b.Fatal("not exceeded")
		}
	}
}

// BenchmarkAskAndAnswer measures an ask of one node and the answer of another, without
// the system calls: making, sending and processing both datagrams.
func BenchmarkAskAndAnswer(b *testing.B) {
	holder, client, team, deliver := pairOfNodes(b, Limit{1e9, 1e9})
	l := Limit{team.Rate, team.Burst}
	b.ReportAllocs()
	for b.Loop() {
		now, decision := client.Clock(), Decision{Verdict: Unavailable}
		t, d, ok := client.begin(team.Name, l, now+MaxWait, now)
		if ok {
			decision = d
		} else {
			client.wait(t, &waiter{deadline: now + MaxWait, resolve: func(d Decision) { decision = d }}, now)
			deliver()
		}
		if decision.Verdict != Granted { // the process was not running for a lease
			holder.Tick()
			client.Tick()
			deliver()
		}
	}
}

// BenchmarkHandleAsk measures an ask at its holder, without the system calls.
func BenchmarkHandleAsk(b *testing.B) {
	holder, client, team, _ := pairOfNodes(b, Limit{1e9, 1e9})
	holder.Send = func([]byte, netip.AddrPort) {}
	r := client.delegation(classOf(Hash(team.Name)), 0, client.Clock())
	r.kind, r.flags, r.teams = kindAsk, flagProbe, []want{{Hash(team.Name), 1, 0}}
	datagram := r.append(nil)
	from := netip.MustParseAddrPort("10.0.0.9:1")
	b.ReportAllocs()
	for b.Loop() {
		holder.Handle(datagram, from)
	}
}
