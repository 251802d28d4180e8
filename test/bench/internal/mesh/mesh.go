package mesh

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/distribution"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/publisher"
	"github.com/lentilflow/lentilflow/pkg/standin/platform"
	"github.com/lentilflow/lentilflow/test/bench/internal/report"
)

// Zones are those of Bertolucci (docs/design.md, section 1).
func Zones() []model.Location {
	return []model.Location{
		{Region: "serra", AvailabilityZone: "caxias"}, {Region: "litoral", AvailabilityZone: "joinville"}, {Region: "oeste", AvailabilityZone: "cascavel"},
		{Region: "serra", AvailabilityZone: "bento"}, {Region: "litoral", AvailabilityZone: "itajai"}, {Region: "oeste", AvailabilityZone: "toledo"},
	}
}

// Config describes a deployment.
type Config struct {
	Binary string // of the node
	Zones  []model.Location
	Nodes  int
	Rules  []byte
	// Seeds, if stated, makes the nodes join another fleet; Start does not
	// wait for them then.
	Seeds []string
}

// Mesh is a running deployment. The store is in the region of the first zone.
type Mesh struct {
	Nodes []*Node
	Store *platform.Server
	Peers *Links // messages and calls between nodes
	Reads *Links // requests to the store

	cfg Config
	dir string // of settings and logs
}

// running holds the deployments that an interrupt has to stop; their processes
// would outlive the measurement otherwise.
var running sync.Map

var onInterrupt = sync.OnceFunc(func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		running.Range(func(m, _ any) bool {
			Kill(m.(*Mesh).Alive())
			_ = os.RemoveAll(m.(*Mesh).dir)
			return true
		})
		os.Exit(1)
	}()
})

// Start starts the deployment and waits until every node knows all others and
// has the rules in force.
func Start(cfg Config) *Mesh {
	m := &Mesh{
		cfg: cfg, Peers: NewLinks(), Reads: NewLinks(), dir: report.Get(os.MkdirTemp("", "lentilflow-bench-")),
		Store: report.Get(platform.NewServer("127.0.0.1:0", platform.NewService(platform.Config{}))),
	}
	running.Store(m, nil)
	onInterrupt()
	complete := false
	defer func() {
		if !complete {
			m.Stop()
		}
	}()
	m.Put(cfg.Rules)
	for i := range cfg.Nodes {
		m.add(i)
	}
	for i, n := range m.Nodes {
		n.Start()
		if i < len(cfg.Zones) {
			time.Sleep(100 * time.Millisecond) // the first node of each zone is its root
		}
	}
	if len(cfg.Seeds) == 0 {
		m.Await(1)
	}
	complete = true
	return m
}

func (m *Mesh) add(i int) {
	n := &Node{Location: m.cfg.Zones[i%len(m.cfg.Zones)], Service: Service(i / len(m.cfg.Zones)), binary: m.cfg.Binary}
	n.ID = model.NodeID(fmt.Sprintf("%s-%03d", n.Location.AvailabilityZone, i))
	n.Calls, n.Peer, n.Admin = freeAddress(), freeAddress(), freeAddress()
	n.upstream = httptest.NewServer(n)
	m.Nodes = append(m.Nodes, n)
	own := n.Location.Region
	var regions []model.Region
	others := make(map[model.Region]string)
	for _, z := range m.cfg.Zones {
		if !slices.Contains(regions, z.Region) {
			regions = append(regions, z.Region)
			if z.Region != own {
				others[z.Region] = m.Peers.Via(z.Region, own, n.Peer)
			}
		}
	}
	seeds := m.cfg.Seeds
	if len(seeds) == 0 {
		seeds = []string{m.Peers.Via(own, m.Nodes[0].Location.Region, m.Nodes[0].Peer)}
	}
	store := m.Reads.Via(own, m.cfg.Zones[0].Region, m.Store.URL()[len("http://"):])
	n.writeSettings(m.dir, regions, others, "http://"+store, seeds)
}

// Put replaces the rules file, as an operator does.
func (m *Mesh) Put(text []byte) {
	report.Get(m.Store.Blobs.Put(context.Background(), publisher.RulesObject, text, ""))
}

// Accepted waits until the rules file in the store has become a version, and
// returns its number. A file that is replaced before a publisher has read it
// becomes none, so the number of files does not tell it.
func (m *Mesh) Accepted() model.Version {
	ctx, at := context.Background(), time.Now()
	tag := report.Get(m.Store.Blobs.Head(ctx, publisher.RulesObject))
	for time.Since(at) < awaitLimit {
		var head model.VersionInfo
		if row, err := m.Store.Rows.Get(ctx, "head"); err == nil {
			report.Must(json.Unmarshal(row.Value, &head))
		}
		if head.ETag == tag {
			return head.Number
		}
		time.Sleep(100 * time.Millisecond)
	}
	report.Must(merry.Errorf("the rules file was not accepted within %s", awaitLimit))
	return 0
}

// Alive returns the nodes whose process runs.
func (m *Mesh) Alive() []*Node {
	return slices.DeleteFunc(slices.Clone(m.Nodes), func(n *Node) bool { return !n.Alive() })
}

// awaitLimit is the time after which a deployment that does not agree counts
// as failed.
const awaitLimit = time.Minute

// Await waits until the rosters of all live nodes hold exactly these as ready
// and all have the same version in force, v or a later one. It returns how
// long that took.
func (m *Mesh) Await(v model.Version) time.Duration {
	at := time.Now()
	for {
		missing := m.missing(v)
		if missing == "" {
			return time.Since(at)
		}
		if time.Since(at) > awaitLimit {
			report.Must(merry.Errorf("nodes do not agree after %s: %s", awaitLimit, missing))
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// missing names a node that is not there yet, empty if all are.
func (m *Mesh) missing(v model.Version) string {
	alive := m.Alive()
	states, errs := make([]distribution.State, len(alive)), make([]error, len(alive))
	report.Each(len(alive), 16, func(i int) { states[i], errs[i] = alive[i].State() })
	for _, s := range states {
		v = max(v, s.Info.Number)
	}
	for i, s := range states {
		if errs[i] != nil {
			return errs[i].Error()
		}
		if ready := s.Roster[model.Ready.String()]; ready != len(alive) || s.Info.Number != v || !s.Settled {
			return fmt.Sprintf("node %s: %d of %d nodes ready, version %d of %d", s.Node, ready, len(alive), s.Info.Number, v)
		}
	}
	return ""
}

// Kill ends processes at once and waits for their end.
func Kill(nodes []*Node) {
	report.Each(len(nodes), len(nodes)+1, func(i int) { <-nodes[i].Signal(syscall.SIGKILL) })
}

// Stop ends everything without a drain.
func (m *Mesh) Stop() {
	defer running.Delete(m)
	Kill(m.Alive())
	for _, n := range m.Nodes {
		n.upstream.CloseClientConnections()
		n.upstream.Close()
	}
	m.Peers.Close()
	m.Reads.Close()
	m.Store.Stop()
	_ = os.RemoveAll(m.dir)
}
