package quota

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// udpNode is a node with a socket of its own.
type udpNode struct {
	*Node
	socket *net.UDPConn
}

// startUDPNodes starts nodes in three regions that exchange datagrams over loopback,
// until the test ends.
func startUDPNodes(t *testing.T, count int, l Limit) []udpNode {
	t.Helper()
	nodes := make([]udpNode, count)
	var peers []Peer
	for i := range nodes {
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		nodes[i] = udpNode{testNode(t, nil), socket}
		peers = append(peers, Peer{
			Name: model.NodeID(fmt.Sprint("node-", i)), Address: socket.LocalAddr().(*net.UDPAddr).AddrPort(),
			Location: model.Location{Region: model.Region(fmt.Sprint("region-", i%3)), AvailabilityZone: model.AvailabilityZone(fmt.Sprint("zone-", i%3))},
		})
	}
	ctx, end := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	for i, n := range nodes {
		n.Self, n.Location, n.Process, n.Clock = peers[i].Name, peers[i].Location, uint32(i+1), BootClock
		n.Limit = func(uint64) (Limit, bool) { return l, true }
		n.Send = func(b []byte, to netip.AddrPort) { _, _ = n.socket.WriteToUDPAddrPort(b, to) }
		n.Init()
		n.SetFleet(slices.Clone(peers))
		loops.Go(func() { _ = n.Run(ctx) })
		loops.Go(func() {
			b := make([]byte, 2048)
			for {
				size, from, err := n.socket.ReadFromUDPAddrPort(b)
				if err != nil {
					return
				}
				n.Handle(b[:size], from)
			}
		})
	}
	t.Cleanup(func() {
		end()
		for _, n := range nodes {
			_ = n.socket.Close()
		}
		loops.Wait()
	})
	return nodes
}

// Guards against races and deadlocks between requests, datagrams, changes of the fleet,
// metrics and a stop, over real sockets; and against more requests than the limit.
func TestConcurrentRequestsKeepTheLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	limit := Limit{100, 100}
	nodes := startUDPNodes(t, 6, limit)
	teams := []*config.Team{{Name: "a", Rate: limit.Rate, Burst: limit.Burst}, {Name: "b", Rate: limit.Rate, Burst: limit.Burst}}
	time.Sleep(1500 * time.Millisecond)
	var granted [2]atomic.Int64
	var callers sync.WaitGroup
	start := time.Now()
	for _, n := range nodes {
		for i := range 8 {
			callers.Go(func() {
				for time.Since(start) < 2*time.Second {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i)*10*time.Millisecond)
					if n.Admit(ctx, teams[i%2], MaxWait).Verdict == Granted {
						granted[i%2].Add(1)
					}
					cancel()
				}
			})
		}
		callers.Go(func() {
			for time.Since(start) < 2*time.Second {
				n.mu.Lock()
				peers := slices.Clone(n.peers)
				n.mu.Unlock()
				n.SetFleet(peers)
				_ = n.State()
				_ = n.Refusals()
				_ = n.totals([]string{"a"})
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	nodes[0].Drain(true)
	callers.Wait()
	passed := time.Since(start).Seconds()
	for i := range granted {
		is.True(granted[i].Load() > 50)
		most := limit.Burst + limit.Rate*passed + nodes[0].Bounds.leeway(limit)
		if n := granted[i].Load(); float64(n) > most {
			t.Errorf("%d requests in %.1f s, at most %.0f are permitted", n, passed, most)
		}
	}
}
