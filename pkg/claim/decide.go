package claim

import (
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Outcome says what the node has to do with a call.
type Outcome struct {
	// Granted means that the call may be dispatched once; Finish or Release
	// must follow.
	Granted bool
	ID      ID
	// Replay is the stored answer of an earlier call, nil if there is none.
	Replay *Answer
	// Refusal is set if the call is neither granted nor replayed.
	Refusal model.Reason
	// Run is the run state that belongs to Refusal or Replay, empty if the
	// call is granted.
	Run model.RunState
}

func refusal(reason model.Reason, run model.RunState) Outcome {
	return Outcome{Refusal: reason, Run: run}
}

// decide returns what a row held by another claim means for a request.
func decide(r record, digest string, alive func(model.NodeID, uint64) bool) Outcome {
	switch {
	case r.Digest != digest:
		return refusal(model.KeyReused, model.NotRun)
	case r.State == done && r.Answer.Truncated:
		return refusal(model.KeyOutcomeUnknown, model.Unknown)
	case r.State == done:
		return Outcome{Replay: r.Answer, Run: model.Ran}
	case alive(r.Node, r.Generation):
		return refusal(model.KeyInProgress, model.Unknown)
	default:
		return refusal(model.KeyOutcomeUnknown, model.Unknown)
	}
}

// kind is what an operation does to a claim row.
type kind uint8

const (
	insert kind = iota
	finish
	release
)

// verdict says what a row read after a conflict or a lost answer means for an
// operation.
type verdict uint8

const (
	again   verdict = iota // not in effect; commit again with the revision read
	applied                // in effect
	lost                   // cannot take effect
)

// judge compares the row read with the intention of an operation of claim id.
// The row is nil if it is absent.
func judge(k kind, id string, row *record) verdict {
	switch {
	case row == nil && k == insert:
		return again
	case row == nil && k == release:
		return applied
	case row == nil:
		return lost // swept; a finished claim must not come back
	case row.Claim != id && k == release:
		return applied // deleted, then claimed by another request
	case row.Claim != id:
		return lost
	case k == insert, k == finish && row.State == done:
		return applied
	case k == release && row.State == done:
		return lost // the call ran
	default:
		return again
	}
}

// expired reports whether a row is past its retention.
func expired(r record, now time.Time) bool { return now.Sub(r.At) > Retention }
