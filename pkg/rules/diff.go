package rules

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Kind says how a statement differs between two files.
type Kind string

// Kinds of change.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one statement that differs between two files.
type Change struct {
	Kind      Kind          `json:"kind"`
	Statement string        `json:"statement"` // "service", "rule" or "team"
	Name      string        `json:"name"`
	Line      int           `json:"line"`     // in the newer file; in the older one if removed
	AskedBy   string        `json:"asked_by"` // of the same line
	Reason    string        `json:"reason,omitempty"`
	Fields    []FieldChange `json:"fields,omitempty"` // only if changed
}

// FieldChange is one changed field of a statement. Before and After are its
// values as the file would state them. A field that is not stated has its
// default; if it has no value, "none" stands for it.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String formats c as "changed rule status: rank 1 -> 0 (asked by NAME)".
func (c Change) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", c.Kind, c.Statement, c.Name)
	for i, f := range c.Fields {
		sep := ", "
		if i == 0 {
			sep = ": "
		}
		fmt.Fprintf(&b, "%s%s %s -> %s", sep, f.Field, f.Before, f.After)
	}
	fmt.Fprintf(&b, " (asked by %s)", c.AskedBy)
	return b.String()
}

// entry is a statement in a form that can be compared.
type entry struct {
	statement, name, askedBy, reason string
	line                             int
	fields                           []FieldChange // Before is unused
}

// Diff returns the statements that differ between two files. Statements are
// matched by name; those of after come first, in file order, then the removed
// ones. The order of lines is not compared, although it determines the
// precedence of rules that are equally specific. A nil file counts as empty.
func Diff(before, after *File) []Change {
	old, now := entries(before), entries(after)
	byName := make(map[string]entry, len(old))
	for _, e := range old {
		byName[e.statement+" "+e.name] = e
	}
	var changes []Change
	for _, e := range now {
		key := e.statement + " " + e.name
		o, found := byName[key]
		delete(byName, key)
		if !found {
			changes = append(changes, e.change(Added, nil))
		} else if fields := changedFields(o, e); len(fields) > 0 {
			changes = append(changes, e.change(Changed, fields))
		}
	}
	for _, e := range old {
		if _, left := byName[e.statement+" "+e.name]; left {
			changes = append(changes, e.change(Removed, nil))
		}
	}
	return changes
}

func (e entry) change(k Kind, fields []FieldChange) Change {
	return Change{Kind: k, Statement: e.statement, Name: e.name, Line: e.line, AskedBy: e.askedBy, Reason: e.reason, Fields: fields}
}

func changedFields(old, now entry) []FieldChange {
	var changed []FieldChange
	for i, f := range now.fields {
		if o := old.fields[i].After; o != f.After {
			changed = append(changed, FieldChange{Field: f.Field, Before: o, After: f.After})
		}
	}
	return changed
}

func entries(f *File) []entry {
	if f == nil {
		return nil
	}
	all := make([]entry, 0, len(f.Services)+len(f.Rules)+len(f.Teams))
	for i := range f.Services {
		all = append(all, serviceEntry(&f.Services[i]))
	}
	for i := range f.Rules {
		all = append(all, ruleEntry(&f.Rules[i]))
	}
	for i := range f.Teams {
		all = append(all, teamEntry(&f.Teams[i]))
	}
	return all
}

func serviceEntry(s *model.Service) entry {
	return entry{statement: "service", name: s.Name, askedBy: s.AskedBy, reason: s.Reason, line: s.Line, fields: []FieldChange{
		{Field: "slots", After: fmt.Sprint(s.Slots)},
		{Field: "connections", After: fmt.Sprint(s.Connections)},
		{Field: "asked by", After: s.AskedBy},
		{Field: "reason", After: orNone(s.Reason)},
	}}
}

func ruleEntry(r *model.Rule) entry {
	methods, target, idempotent, public := "*", "none", "no", "no"
	if len(r.Match.Methods) > 0 {
		methods = strings.Join(r.Match.Methods, ",")
	}
	if r.LatencyTarget > 0 {
		target = r.LatencyTarget.String()
	}
	if r.Idempotent {
		idempotent = "yes"
	}
	if r.Public {
		public = "yes"
	}
	return entry{statement: "rule", name: r.Name, askedBy: r.AskedBy, reason: r.Reason, line: r.Line, fields: []FieldChange{
		{Field: "method", After: methods},
		{Field: "host", After: r.Match.Host},
		{Field: "path", After: r.Match.Path},
		{Field: "service", After: r.Service},
		{Field: "rank", After: fmt.Sprint(r.Rank)},
		{Field: "target", After: target},
		{Field: "floor", After: fmt.Sprintf("%d%%", r.Floor)},
		{Field: "worth", After: fmt.Sprint(r.Weight)},
		{Field: "deadline", After: r.Deadline.String()},
		{Field: "idempotent", After: idempotent},
		{Field: "retries", After: fmt.Sprint(r.Retries)},
		{Field: "inflight", After: fmt.Sprint(r.MaxInFlight)},
		{Field: "prefer", After: string(r.Prefer)},
		{Field: "public", After: public},
		{Field: "asked by", After: r.AskedBy},
		{Field: "reason", After: orNone(r.Reason)},
	}}
}

func teamEntry(t *model.Team) entry {
	rank := "none"
	if t.Rank != nil {
		rank = fmt.Sprint(*t.Rank)
	}
	keys := make([]string, len(t.Keys))
	for i, d := range t.Keys {
		keys[i] = shortDigest(d)
	}
	slices.Sort(keys) // their order has no meaning
	return entry{statement: teamWord, name: t.Name, askedBy: t.AskedBy, reason: t.Reason, line: t.Line, fields: []FieldChange{
		{Field: "rank", After: rank},
		{Field: "rate", After: strconv.FormatFloat(t.Rate, 'f', -1, 64)},
		{Field: "burst", After: strconv.FormatFloat(t.Burst, 'f', -1, 64)},
		{Field: "keys", After: strings.Join(keys, ",")},
		{Field: "asked by", After: t.AskedBy},
		{Field: "reason", After: orNone(t.Reason)},
	}}
}

// shortDigest returns the first digits of the digest of a key. They are enough to
// tell all keys of a file apart.
func shortDigest(digits string) string { return digits[:min(len(digits), shortDigestDigits)] }

const shortDigestDigits = 16

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
