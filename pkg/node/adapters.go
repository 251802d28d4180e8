package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/admin"
	"github.com/lentilflow/lentilflow/pkg/distribution"
	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/membership"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// router shows the routing state to the administration API.
type router struct {
	holder *distribution.Holder
	roster *membership.Roster
}

// InForce returns the version that decides new calls.
func (r router) InForce() (model.Version, *rules.File) {
	a := r.holder.Active()
	if a == nil {
		return 0, nil
	}
	return a.Info.Number, a.File
}

// Entries returns every entry that is not gone.
func (r router) Entries() []model.Entry { return r.roster.View().All() }

// Usable returns the entries of a service that take calls.
func (r router) Usable(service string) []model.Entry { return r.roster.View().Service(service) }

// maxState bounds the state of one node in bytes; it holds up to 64 children.
const maxState = 1 << 20

// states asks nodes for their state over their peer listeners.
type states struct {
	client *http.Client
	region model.Region // of the asking node
}

// State asks the node of e.
func (s states) State(ctx context.Context, e model.Entry) (admin.NodeState, error) {
	target := "http://" + e.AddressFrom(s.region) + wire.State.Path()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return admin.NodeState{}, merry.Prepend(err, "peer address")
	}
	response, err := s.client.Do(request)
	if err != nil {
		// net/http repeats the URL in its errors; the status names the node.
		var u *url.Error
		if errors.As(err, &u) {
			err = u.Err
		}
		return admin.NodeState{}, merry.Prepend(err, "peer listener")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxState))
	if err != nil {
		return admin.NodeState{}, merry.Prepend(err, "read state")
	}
	if response.StatusCode != http.StatusOK {
		return admin.NodeState{}, merry.Errorf("peer listener answered %s", response.Status)
	}
	var state distribution.State
	compressed := response.Header.Get("Content-Encoding") == wire.Encoding
	if err := wire.Unmarshal(body, compressed, &state); err != nil {
		return admin.NodeState{}, merry.Prepend(err, "decode state")
	}
	return nodeState(&state), nil
}

func nodeState(s *distribution.State) admin.NodeState {
	n := admin.NodeState{
		Version:   s.Info.Number,
		AsOfAge:   time.Duration(s.AgeSeconds * float64(time.Second)),
		Heard:     !s.AsOf.IsZero(),
		Parent:    s.Parent,
		Top:       s.Top,
		Publisher: s.Publisher,
	}
	switch {
	case s.ApplyError != "":
		n.Fault = s.ApplyError
	case !s.Settled:
		n.Fault = fmt.Sprintf("starting: %s", s.Starting)
	}
	return n
}
