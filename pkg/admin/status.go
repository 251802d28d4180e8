package admin

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Bounds of one status query. 64 requests at a time ask 2,800 nodes within
// the total time if each answers within 100 ms.
const (
	stateConcurrency = 64
	stateTimeout     = 1 * time.Second
	totalTimeout     = 5 * time.Second
	storeTimeout     = 2 * time.Second
)

// staleAge is the age after which a node may have missed a version: changes
// are in force everywhere within 15 s.
const staleAge = 15 * time.Second

// answer is a node's state, or why there is none.
type answer struct {
	entry model.Entry
	state NodeState
	err   error
}

func (s *queries) status(c echo.Context) error {
	if err := checkParams(c); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), totalTimeout)
	defer cancel()
	status := Status{Node: s.cfg.Node, At: time.Now().UTC()}
	// The store is read while the nodes answer, so that an outage does not
	// add its timeout to the query.
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		status.Store, status.Rejected = s.store(ctx)
	}()
	answers := s.gather(ctx)
	<-stored
	summarise(&status, answers)
	return c.JSON(http.StatusOK, status)
}

// store reads the last rejection, which also shows whether the store answers.
func (s *queries) store(ctx context.Context) (Store, *model.Rejection) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rejected, err := s.lastRejection(ctx)
	if err == nil {
		return Store{Reachable: true}, rejected
	}
	answer := Store{Error: err.Error()}
	if since := s.cfg.Store.Since(); !since.IsZero() {
		since = since.UTC()
		answer.Since = &since
	}
	return answer, nil
}

// gather asks every node of the roster that is not gone.
func (s *queries) gather(ctx context.Context) []answer {
	var answers []answer
	for _, e := range s.cfg.Router.Entries() {
		if e.State != model.Gone {
			answers = append(answers, answer{entry: e})
		}
	}
	var group errgroup.Group
	group.SetLimit(stateConcurrency)
	for i := range answers {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, stateTimeout)
			defer cancel()
			answers[i].state, answers[i].err = s.cfg.States.State(ctx, answers[i].entry)
			return nil
		})
	}
	_ = group.Wait() // each error is kept in its answer
	return answers
}

// summarise groups the answers by region and availability zone.
func summarise(status *Status, answers []answer) {
	for _, a := range answers {
		status.Highest = max(status.Highest, a.state.Version)
		if a.state.Publisher || a.err != nil && a.entry.Publisher {
			status.Publisher = a.entry.Node
		}
	}
	slices.SortFunc(answers, func(a, b answer) int {
		return cmp.Or(
			cmp.Compare(a.entry.Location.Region, b.entry.Location.Region),
			cmp.Compare(a.entry.Location.AvailabilityZone, b.entry.Location.AvailabilityZone),
			cmp.Compare(a.entry.Node, b.entry.Node))
	})
	status.Regions = []RegionStatus{}
	for _, a := range answers {
		region := lastRegion(status, a.entry.Location.Region)
		zone := lastZone(region, a.entry.Location.AvailabilityZone)
		node := nodeStatus(a, status.Highest)
		zone.Nodes = append(zone.Nodes, node)
		region.AsOfAgeMS = max(region.AsOfAgeMS, node.AsOfAgeMS)
		count(&status.Summary, a, node)
	}
}

func lastRegion(status *Status, name model.Region) *RegionStatus {
	if n := len(status.Regions); n == 0 || status.Regions[n-1].Region != name {
		status.Regions = append(status.Regions, RegionStatus{Region: name})
	}
	return &status.Regions[len(status.Regions)-1]
}

func lastZone(region *RegionStatus, name model.AvailabilityZone) *ZoneStatus {
	if n := len(region.Zones); n == 0 || region.Zones[n-1].AvailabilityZone != name {
		region.Zones = append(region.Zones, ZoneStatus{AvailabilityZone: name})
	}
	return &region.Zones[len(region.Zones)-1]
}

func nodeStatus(a answer, highest model.Version) NodeStatus {
	n := NodeStatus{
		Node:      a.entry.Node,
		Service:   a.entry.Service,
		State:     a.entry.ServiceState().String(),
		Answered:  a.err == nil,
		Version:   a.state.Version,
		AsOfAgeMS: a.state.AsOfAge.Milliseconds(),
		Parent:    a.state.Parent,
	}
	if a.err != nil {
		n.Why = "no answer: " + a.err.Error()
		return n
	}
	n.Behind = a.state.Version < highest
	n.Why = why(a.state, highest)
	return n
}

// why names the cause that an operator can act on, the most specific first.
func why(s NodeState, highest model.Version) string {
	switch {
	case s.Fault != "":
		return s.Fault
	case s.Version > 0 && !s.Heard:
		return "no heartbeat from the publisher yet"
	case s.AsOfAge > staleAge:
		return fmt.Sprintf("no heartbeat from the publisher for %s", s.AsOfAge.Round(time.Second))
	case s.Parent == "" && !s.Top:
		return "has no stream from a parent"
	case s.Version < highest && s.Parent == "":
		return fmt.Sprintf("has not applied version %d", highest)
	case s.Version < highest:
		return fmt.Sprintf("has not received version %d from %s", highest, s.Parent)
	default:
		return ""
	}
}

func count(s *Summary, a answer, n NodeStatus) {
	s.Nodes++
	switch {
	case a.err != nil:
		s.Unreachable++
	case n.Behind:
		s.Behind++
	default:
		s.InForce++
	}
}
