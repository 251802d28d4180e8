package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
)

// Guards against a draining node that announces itself ready again when its
// upstream answers, and against a suspicion that one good sign removes too
// early.
func TestUpstreamStateAnnouncements(t *testing.T) {
	is := is.New(t)
	var announced []model.EntryState
	u := &upstreamState{log: zap.NewNop(), announce: func(s model.EntryState) { announced = append(announced, s) }}
	u.seenByCalls(true)
	u.seenByCalls(false)
	u.seenByHealth(false)
	u.seenByCalls(true)
	is.Equal(announced, []model.EntryState{model.Suspect})
	u.seenByHealth(true)
	is.Equal(announced, []model.EntryState{model.Suspect, model.Ready})
	u.leave()
	u.seenByCalls(false)
	u.seenByCalls(true)
	is.Equal(announced, []model.EntryState{model.Suspect, model.Ready, model.Draining})
}

// Guards against an outage whose start moves with every failed request, and
// against conflicts or cancelled requests that count as outages.
func TestMonitorKeepsTheStartOfAnOutage(t *testing.T) {
	is := is.New(t)
	var m monitor
	m.record(platform.ErrConflict)
	m.record(platform.ErrNotFound)
	m.record(merry.Wrap(platform.ErrUnavailable, merry.WithCause(context.Canceled)))
	is.True(m.Since().IsZero())
	m.record(merry.Prepend(platform.ErrUnavailable, "refused"))
	since := m.Since()
	is.True(!since.IsZero())
	m.record(platform.ErrOutcomeUnknown)
	is.Equal(m.Since(), since)
	m.record(nil)
	is.True(m.Since().IsZero())
}

// Guards against memory that grows with the number of names in request
// headers, and against a drain that tells old callers first.
func TestCallersAreBounded(t *testing.T) {
	is := is.New(t)
	var c callers
	now := time.Now()
	c.note("old", now.Add(-time.Hour))
	for i := range 2 * maxCallers {
		c.note(model.NodeID(fmt.Sprintf("node-%d", i)), now)
	}
	c.note("node-7", now.Add(time.Second))
	recent := c.recent()
	is.Equal(len(recent), maxCallers)
	is.Equal(recent[0], model.NodeID("node-7"))
}
