package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// GoneRetention is how long the entry of a gone node is kept so that a late
// message does not make the node live again.
const GoneRetention = 10 * time.Minute

// Buckets is the number of parts of the roster that have their own digest, so
// that a sync exchanges only the parts that differ. At 2,800 entries a part
// holds about 11.
const Buckets = 256

// Digests holds one digest per bucket. Gone entries are left out, because
// nodes forget them at different times.
type Digests [Buckets]uint32

// Sum returns the digest of the whole roster.
func (d *Digests) Sum() uint64 {
	var h xxhash.Digest
	h.Reset()
	var b [4]byte
	for _, v := range d {
		binary.LittleEndian.PutUint32(b[:], v)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// Differing returns the buckets in which d and o differ.
func (d *Digests) Differing(o *Digests) []int {
	var out []int
	for i := range d {
		if d[i] != o[i] {
			out = append(out, i)
		}
	}
	return out
}

// BucketOf returns the bucket of node id.
func BucketOf(id model.NodeID) int {
	return int(xxhash.Sum64String(string(id)) % Buckets)
}

// fingerprint covers the fields that decide a merge. An owner that changes any
// other field raises the sequence.
func fingerprint(e *model.Entry) uint32 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:8], e.Generation)
	binary.LittleEndian.PutUint64(b[8:16], e.Sequence)
	b[16] = byte(e.State)
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(e.Node))
	_, _ = h.Write(b[:])
	return uint32(h.Sum64())
}

type record struct {
	entry  model.Entry
	goneAt time.Time
}

// Core is the merge state of one node. It does no I/O and takes the time as an
// argument; it is not safe for concurrent use.
type Core struct {
	self    model.NodeID
	records map[model.NodeID]*record
	digests Digests
	changed map[model.NodeID]struct{} // since the last view
}

// NewCore returns a Core that holds only the own entry.
func NewCore(self model.Entry) *Core {
	c := &Core{
		self:    self.Node,
		records: make(map[model.NodeID]*record),
		changed: make(map[model.NodeID]struct{}),
	}
	c.put(self, time.Time{})
	return c
}

// Own returns the own entry.
func (c *Core) Own() model.Entry { return c.records[c.self].entry }

// put stores e unconditionally.
func (c *Core) put(e model.Entry, now time.Time) {
	b := BucketOf(e.Node)
	r, ok := c.records[e.Node]
	if ok && r.entry.State != model.Gone {
		c.digests[b] ^= fingerprint(&r.entry)
	}
	if !ok {
		r = &record{}
		c.records[e.Node] = r
	}
	r.entry = e
	if e.State == model.Gone {
		r.goneAt = now
	} else {
		c.digests[b] ^= fingerprint(&e)
	}
	c.changed[e.Node] = struct{}{}
}

// Merge takes in one announced entry and returns the entry to pass on, if the
// announcement changed anything.
func (c *Core) Merge(e model.Entry, now time.Time) (model.Entry, bool) {
	if e.Node == c.self {
		return c.mergeOwn(e, now)
	}
	old, ok := c.records[e.Node]
	if !ok && e.State == model.Gone {
		// Nothing to withdraw. Storing it would let forgotten entries of gone
		// nodes travel between nodes forever.
		return model.Entry{}, false
	}
	if ok && !e.Newer(&old.entry) {
		return model.Entry{}, false
	}
	c.put(e, now)
	return e, true
}

// mergeOwn answers an announcement about this node that is newer than its own
// entry: a wrong suspicion, or the entry of an earlier process.
func (c *Core) mergeOwn(e model.Entry, now time.Time) (model.Entry, bool) {
	own := c.Own()
	if !e.Newer(&own) {
		return model.Entry{}, false
	}
	if e.Generation > own.Generation {
		own.Generation = e.Generation + 1
		own.Sequence = 0
	} else {
		own.Sequence = e.Sequence + 1
	}
	c.put(own, now)
	return own, true
}

// Update changes the own entry and raises its sequence.
func (c *Core) Update(change func(*model.Entry), now time.Time) model.Entry {
	own := c.Own()
	change(&own)
	own.Sequence++
	c.put(own, now)
	return own
}

// Regenerate gives the own entry a new generation, as after a restart.
func (c *Core) Regenerate(now time.Time) model.Entry {
	own := c.Own()
	own.Generation = max(own.Generation+1, uint64(now.UnixMilli()))
	own.Sequence = 0
	c.put(own, now)
	return own
}

// Mark sets the state of another node's entry on the evidence of this node, at
// the generation that the evidence is about.
func (c *Core) Mark(id model.NodeID, generation uint64, s model.EntryState, now time.Time) (model.Entry, bool) {
	r, ok := c.records[id]
	if !ok || id == c.self || r.entry.Generation != generation || r.entry.State >= s {
		return model.Entry{}, false
	}
	e := r.entry
	e.State = s
	c.put(e, now)
	return e, true
}

// Expire forgets entries that have been gone for GoneRetention.
func (c *Core) Expire(now time.Time) {
	for id, r := range c.records {
		if r.entry.State == model.Gone && now.Sub(r.goneAt) >= GoneRetention {
			delete(c.records, id)
			c.changed[id] = struct{}{}
		}
	}
}

// Get returns the entry of a node, also if it is gone.
func (c *Core) Get(id model.NodeID) (model.Entry, bool) {
	if r, ok := c.records[id]; ok {
		return r.entry, true
	}
	return model.Entry{}, false
}

// Entries returns the entries of the given buckets, gone ones included, so
// that a sync also withdraws entries. Nil means every bucket.
func (c *Core) Entries(buckets []int) []model.Entry {
	var want [Buckets]bool
	for _, b := range buckets {
		if b >= 0 && b < Buckets {
			want[b] = true
		}
	}
	var out []model.Entry
	for id, r := range c.records {
		if buckets == nil || want[BucketOf(id)] {
			out = append(out, r.entry)
		}
	}
	return out
}

// View returns the next view, given the previous one or nil.
func (c *Core) View(prev *View) *View {
	if prev != nil && len(c.changed) == 0 {
		return prev
	}
	return buildView(prev, c)
}
