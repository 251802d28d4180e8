package publisher

import (
	"fmt"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// view is what the publisher has read from the table.
type view struct {
	head             model.VersionInfo
	headRevision     uint64
	rejected         model.Rejection
	rejectedRevision uint64
}

// settledTag reports whether the rules file with this tag needs no work.
func (v view) settledTag(tag string) bool {
	return tag == "" || (v.head.Number > 0 && v.head.ETag == tag) ||
		(v.rejectedRevision != 0 && v.rejected.ETag == tag)
}

// author identifies the publisher in the versions it accepts.
type author struct {
	node       model.NodeID
	generation uint64
	now        time.Time
}

// plan is one transaction and what it means.
type plan struct {
	transaction platform.Transaction
	accepted    bool              // the transaction writes a version
	info        model.VersionInfo // of that version
	empty       bool              // nothing to write
}

// decide plans what becomes of a rules file with the given faults. Every
// transaction checks the head row and the rejected row, so that a former
// publisher that resumes after a pause writes nothing, and an acceptance
// leaves no older rejection behind.
func decide(v view, tag, digest string, faults []rules.Fault, by author) plan {
	checks := []platform.Check{
		{Key: headKey, Revision: v.headRevision},
		{Key: rejectedKey, Revision: v.rejectedRevision},
	}
	switch {
	case len(faults) > 0:
		rejection := model.Rejection{ETag: tag, At: by.now, Faults: lines(faults)}
		return plan{transaction: platform.Transaction{
			Checks: checks,
			Puts:   []platform.Put{{Key: rejectedKey, Value: encode(rejection)}},
		}}
	case v.head.Number > 0 && v.head.Digest == digest && v.rejectedRevision == 0:
		return plan{empty: true}
	case v.head.Number > 0 && v.head.Digest == digest:
		// The file is the version in force again: only its rejected
		// successor is withdrawn.
		return plan{transaction: platform.Transaction{Checks: checks, Deletes: []string{rejectedKey}}}
	}
	info := model.VersionInfo{
		Number:     v.head.Number + 1,
		Digest:     digest,
		ETag:       tag,
		AcceptedAt: by.now,
		Publisher:  by.node,
		Generation: by.generation,
	}
	t := platform.Transaction{
		Checks: append(checks, platform.Check{Key: versionKey(info.Number)}),
		Puts: []platform.Put{
			{Key: headKey, Value: encode(info)},
			{Key: versionKey(info.Number), Value: encode(info)},
		},
	}
	if v.rejectedRevision != 0 {
		t.Deletes = []string{rejectedKey}
	}
	return plan{transaction: t, accepted: true, info: info}
}

// confirms reports whether head shows that a version planned from digest and
// tag was accepted, by this publisher or another one.
func confirms(head model.VersionInfo, planned model.VersionInfo) bool {
	return head.Number >= planned.Number && head.Digest == planned.Digest && head.ETag == planned.ETag
}

func lines(faults []rules.Fault) []string {
	out := make([]string, 0, len(faults))
	for _, f := range faults {
		out = append(out, f.String())
	}
	return out
}

func tooLarge(name string, size int) rules.Fault {
	return rules.Fault{
		Name:     name,
		Line:     1,
		Message:  fmt.Sprintf("file has %d bytes", size),
		Accepted: fmt.Sprintf("at most %d bytes", rules.MaxSize),
	}
}
