package gossip

import (
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/jsonlist"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rollout"
)

var (
	errStateName   = errors.New("state names no node, or has a name that is too long")
	errCrashRecord = errors.New("record of crashes names no request or has a long service name")
)

func checkMember(m *fleet.Member) error { return m.Check() }

func checkState(s *State) error {
	if s.Node == "" || len(s.Node) > fleet.MaxNameBytes || len(s.Software) > fleet.MaxNameBytes {
		return errStateName
	}
	return nil
}

func checkRollout(s *rollout.State) error { return s.Check() }

func checkCrashRecord(r *CrashRecord) error {
	if r.Fingerprint == (crashguard.Fingerprint{}) || len(r.Service) > fleet.MaxNameBytes {
		return errCrashRecord
	}
	return r.Check(time.Now())
}

// decodeUpdate decodes an Update. Entries of lists that cannot be used are left out. The
// message may hold a whole configuration, so its fields are found once only.
func (n *Node) decodeUpdate(text []byte, u *Update, from model.NodeID) error {
	ignored := n.logIgnored(from)
	fields, err := jsonlist.Fields(text)
	if err != nil {
		return err
	}
	count := len(fields)
	nodes, err := takeField(fields, "nodes", checkMember, ignored)
	crashes, crashErr := takeField(fields, "crash_records", checkCrashRecord, ignored)
	rollouts, rolloutErr := takeField(fields, "rollout_states", checkRollout, ignored)
	states, stateErr := takeField(fields, "states", checkState, ignored)
	if err := errors.Join(err, crashErr, rolloutErr, stateErr); err != nil {
		return err
	}
	var set []fleet.Member
	changes, hasChanges := fields["changes"]
	if hasChanges = hasChanges && string(changes) != "null"; hasChanges {
		if fields["changes"], set, err = takeList(changes, "set", checkMember, ignored); err != nil {
			return err
		}
	}
	if len(fields) < count || hasChanges {
		if text, err = joinFields(fields); err != nil {
			return err
		}
	}
	if err := json.Unmarshal(text, u); err != nil {
		return err
	}
	if err := u.From.Check(); err != nil {
		return err
	}
	u.Nodes, u.Crashes, u.Rollouts, u.States = nodes, crashes, rollouts, states
	if u.FleetChange != nil {
		u.FleetChange.Set = set
	}
	return nil
}

// decodeDatagram decodes a Datagram. States that cannot be used are left out.
func (n *Node) decodeDatagram(text []byte, d *Datagram) error {
	rest, states, err := takeList(text, "states", checkState, n.logIgnored(""))
	if err != nil {
		return err
	}
	rest, rollouts, err := takeList(rest, "rollout_states", checkRollout, n.logIgnored(""))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(rest, d); err != nil {
		return err
	}
	if d.From == "" || len(d.From) > fleet.MaxNameBytes {
		return errStateName
	}
	d.States, d.Rollouts = states, rollouts
	if d.Counts != nil {
		return d.Counts.Check()
	}
	return nil
}

// logIgnored returns a function that logs an entry of a message that is left out.
func (n *Node) logIgnored(from model.NodeID) func(error) {
	return func(err error) {
		n.Log.Warn("entry of a message from another node is ignored", zap.String("from", string(from)), zap.Error(err))
	}
}

// takeList decodes the list in a field of an object, entry by entry, and returns it
// and the object without the field.
func takeList[T any](text []byte, name string, check func(*T) error, ignored func(error)) (rest []byte, list []T, err error) {
	fields, err := jsonlist.Fields(text)
	if err != nil {
		return nil, nil, err
	}
	if _, ok := fields[name]; !ok {
		return text, nil, nil
	}
	if list, err = takeField(fields, name, check, ignored); err != nil {
		return nil, nil, err
	}
	rest, err = joinFields(fields)
	return rest, list, err
}

// takeField decodes the list in one of the fields of an object, entry by entry, and deletes
// the field.
func takeField[T any](fields map[string][]byte, name string, check func(*T) error, ignored func(error)) ([]T, error) {
	value, ok := fields[name]
	if !ok {
		return nil, nil
	}
	delete(fields, name)
	return jsonlist.Decode(value, check, ignored)
}

// joinFields returns an object with the given fields.
func joinFields(fields map[string][]byte) ([]byte, error) {
	raw := make(map[string]json.RawMessage, len(fields))
	for name, value := range fields {
		raw[name] = value
	}
	return json.Marshal(raw)
}
