package quota

import (
	"encoding/binary"
	"errors"
	"time"
)

// FirstByte is the first byte of the datagrams of this package. Other datagrams on the
// same socket are JSON and begin with '{'.
const FirstByte = 'Q'

// kind is the kind of a datagram.
type kind uint8

const (
	kindDelegation kind = 1
	kindAsk        kind = 2
	kindAnswer     kind = 3
)

const (
	// flagProbe marks a request of a node that does not delegate its weight to the
	// receiver.
	flagProbe = 1 << iota
	// flagRevoke marks a request of a node that is about to delegate its weight to
	// another node. Its weight is 0.
	flagRevoke
	// flagUnsettled marks a request of a node that is not settled (see census). The
	// answer has a report then.
	flagUnsettled
	// flagDraining marks the answers of a node that is draining: it has dropped all
	// delegations and accepts none.
	flagDraining
	// flagReport marks an answer that has a report.
	flagReport
	// flagNotSettled marks an answer to a node that has called itself settled, although
	// the process of the node before was not.
	flagNotSettled
)

// flagUnknown marks an entry of an answer for a team that the holder does not know
// with a limit.
const flagUnknown = 1

// maxTeams bounds the teams of one datagram, so that an answer fits in one packet.
const maxTeams = 64

// header begins every datagram.
type header struct {
	kind    kind
	class   uint8
	flags   uint8
	sender  uint64 // hash of the name of the node
	process uint32 // random number of the process
	number  uint32 // of a request, in the order of the sender; an answer repeats it
	nodes   uint16 // that may have a weight, as far as the sender knows
}

// request is a delegation or an ask.
type request struct {
	header
	fleet  uint64 // identifies the set of nodes that the sender knows
	weight weight // that is delegated; 0 revokes what was delegated before
	lease  time.Duration
	// echoClock is the last clock value of the receiver that the sender has received,
	// and echoProcess the process that sent it.
	echoClock   time.Duration
	echoProcess uint32
	teams       []want
}

// want is the part of an ask for one team.
type want struct {
	team   uint64
	wanted uint16 // tokens for requests that wait
	demand uint16 // requests within prefetchLife, for prefetched tokens
}

// answer is the response of a holder to a request.
type answer struct {
	header
	asker  uint32 // process of the request
	clock  time.Duration
	weight weight // of the holder in the class
	report report
	teams  []grant
}

// grant is the part of an answer for one team.
type grant struct {
	team       uint64
	granted    uint16 // of the wanted tokens
	prefetched uint16
	retry      time.Duration // when the holder expects a token, if it has granted less than wanted; ms on the wire
	flags      uint8
}

// report is what a holder knows about the nodes that send it requests of a class, for
// a sender that is not settled.
type report struct {
	// same identifies the nodes that know the same fleet as the asker: the exclusive or
	// of their hashes.
	same uint64
	// sames is their number, sameSettled that of the settled ones among them, and settled
	// that of all settled nodes.
	sames, sameSettled, settled uint16
}

// Sizes of the encodings, in bytes.
const (
	headerBytes  = 22
	requestBytes = headerBytes + 27
	wantBytes    = 12
	answerBytes  = headerBytes + 17
	reportBytes  = 14
	grantBytes   = 15
)

var errMalformed = errors.New("malformed quota datagram")

func (h *header) append(b []byte) []byte {
	b = append(b, FirstByte, byte(h.kind), h.class, h.flags)
	b = binary.BigEndian.AppendUint64(b, h.sender)
	b = binary.BigEndian.AppendUint32(b, h.process)
	b = binary.BigEndian.AppendUint32(b, h.number)
	return binary.BigEndian.AppendUint16(b, h.nodes)
}

// append appends the encoding of r to b.
func (r *request) append(b []byte) []byte {
	b = r.header.append(b)
	b = binary.BigEndian.AppendUint64(b, r.fleet)
	b = binary.BigEndian.AppendUint32(b, uint32(r.weight))
	b = binary.BigEndian.AppendUint16(b, uint16(r.lease/leaseUnit))
	b = binary.BigEndian.AppendUint64(b, uint64(r.echoClock))
	b = binary.BigEndian.AppendUint32(b, r.echoProcess)
	b = append(b, byte(len(r.teams)))
	for _, w := range r.teams {
		b = binary.BigEndian.AppendUint64(b, w.team)
		b = binary.BigEndian.AppendUint16(b, w.wanted)
		b = binary.BigEndian.AppendUint16(b, w.demand)
	}
	return b
}

// leaseUnit is the unit of a lease on the wire.
const leaseUnit = 10 * time.Millisecond

// append appends the encoding of a to b.
func (a *answer) append(b []byte) []byte {
	b = a.header.append(b)
	b = binary.BigEndian.AppendUint32(b, a.asker)
	b = binary.BigEndian.AppendUint64(b, uint64(a.clock))
	b = binary.BigEndian.AppendUint32(b, uint32(a.weight))
	if a.flags&flagReport != 0 {
		b = binary.BigEndian.AppendUint64(b, a.report.same)
		b = binary.BigEndian.AppendUint16(b, a.report.sames)
		b = binary.BigEndian.AppendUint16(b, a.report.sameSettled)
		b = binary.BigEndian.AppendUint16(b, a.report.settled)
	}
	b = append(b, byte(len(a.teams)))
	for _, g := range a.teams {
		b = binary.BigEndian.AppendUint64(b, g.team)
		b = binary.BigEndian.AppendUint16(b, g.granted)
		b = binary.BigEndian.AppendUint16(b, g.prefetched)
		b = binary.BigEndian.AppendUint16(b, encodeRetry(g.retry))
		b = append(b, g.flags)
	}
	return b
}

// encodeRetry rounds d up to milliseconds. Times over a minute become a minute.
func encodeRetry(d time.Duration) uint16 {
	return uint16(min(max((d+time.Millisecond-1)/time.Millisecond, 0), 60_000))
}

func decodeHeader(b []byte) (h header, err error) {
	if len(b) < headerBytes || b[0] != FirstByte || b[2] >= Classes {
		return h, errMalformed
	}
	return header{
		kind: kind(b[1]), class: b[2], flags: b[3], sender: binary.BigEndian.Uint64(b[4:]),
		process: binary.BigEndian.Uint32(b[12:]), number: binary.BigEndian.Uint32(b[16:]), nodes: binary.BigEndian.Uint16(b[20:]),
	}, nil
}

// decodeRequest decodes a delegation or an ask into r and reuses r.teams. Bytes after
// the last entry are ignored.
func decodeRequest(b []byte, r *request) (err error) {
	if r.header, err = decodeHeader(b); err != nil {
		return err
	}
	if len(b) < requestBytes || r.kind != kindDelegation && r.kind != kindAsk {
		return errMalformed
	}
	b = b[headerBytes:]
	r.fleet, r.weight = binary.BigEndian.Uint64(b), weight(binary.BigEndian.Uint32(b[8:]))
	r.lease = time.Duration(binary.BigEndian.Uint16(b[12:])) * leaseUnit
	r.echoClock, r.echoProcess = time.Duration(binary.BigEndian.Uint64(b[14:])), binary.BigEndian.Uint32(b[22:])
	count := int(b[26])
	b = b[requestBytes-headerBytes:]
	if count > maxTeams || len(b) < count*wantBytes || r.weight > unit || r.echoClock < 0 {
		return errMalformed
	}
	r.teams = r.teams[:0]
	for ; count > 0; count-- {
		r.teams = append(r.teams, want{binary.BigEndian.Uint64(b), binary.BigEndian.Uint16(b[8:]), binary.BigEndian.Uint16(b[10:])})
		b = b[wantBytes:]
	}
	return nil
}

// decodeAnswer decodes an answer into a and reuses a.teams. Bytes after the last entry
// are ignored.
func decodeAnswer(b []byte, a *answer) (err error) {
	if a.header, err = decodeHeader(b); err != nil {
		return err
	}
	if len(b) < answerBytes || a.kind != kindAnswer {
		return errMalformed
	}
	b = b[headerBytes:]
	a.asker, a.clock, a.weight = binary.BigEndian.Uint32(b), time.Duration(binary.BigEndian.Uint64(b[4:])), weight(binary.BigEndian.Uint32(b[12:]))
	b = b[16:]
	a.report = report{}
	if a.flags&flagReport != 0 {
		if len(b) < reportBytes+1 {
			return errMalformed
		}
		a.report = report{binary.BigEndian.Uint64(b), binary.BigEndian.Uint16(b[8:]), binary.BigEndian.Uint16(b[10:]), binary.BigEndian.Uint16(b[12:])}
		b = b[reportBytes:]
	}
	count := int(b[0])
	b = b[1:]
	if count > maxTeams || len(b) < count*grantBytes || a.weight > unit || a.clock < 0 {
		return errMalformed
	}
	a.teams = a.teams[:0]
	for ; count > 0; count-- {
		a.teams = append(a.teams, grant{
			team: binary.BigEndian.Uint64(b), granted: binary.BigEndian.Uint16(b[8:]), prefetched: binary.BigEndian.Uint16(b[10:]),
			retry: time.Duration(binary.BigEndian.Uint16(b[12:])) * time.Millisecond, flags: b[14],
		})
		b = b[grantBytes:]
	}
	return nil
}
