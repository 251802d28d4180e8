package distribution

import (
	"sync"

	"github.com/lentilflow/lentilflow/pkg/delta"
	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// Limits of the predecessors kept to encode deltas against.
const (
	keptTexts     = 8
	keptTextBytes = 4 << 20
)

// frameCache encodes the version in force once per version that children hold.
// It keeps the last texts, so that a child that was away briefly gets a delta.
type frameCache struct {
	mu     sync.Mutex
	texts  []*Active // oldest first, the last one is the version that frames are for
	frames map[model.Version]*wire.VersionFrame
}

// remember adds a version that has come into force.
func (c *frameCache) remember(a *Active) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(a)
}

func (c *frameCache) add(a *Active) {
	if n := len(c.texts); n > 0 && c.texts[n-1].Info.Number >= a.Info.Number {
		return
	}
	c.texts = append(c.texts, &Active{Info: a.Info, Text: a.Text}) // without the snapshot
	c.frames = make(map[model.Version]*wire.VersionFrame)
	size := 0
	for _, t := range c.texts {
		size += len(t.Text)
	}
	for len(c.texts) > 1 && (len(c.texts) > keptTexts || size > keptTextBytes) {
		size -= len(c.texts[0].Text)
		c.texts[0] = nil
		c.texts = c.texts[1:]
	}
}

// frame returns the frame that brings a node from held to a: a delta if the
// predecessor is known and the delta is smaller, else the whole text.
func (c *frameCache) frame(a *Active, held model.VersionInfo) (*wire.VersionFrame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(a)
	base := c.base(a, held)
	key := model.Version(0)
	if base != nil {
		key = held.Number
	}
	if f, ok := c.frames[key]; ok && f.Info.Number == a.Info.Number {
		return f, nil
	}
	f, err := encodeFrame(a, base)
	if err == nil {
		c.frames[key] = f
	}
	return f, err
}

func (c *frameCache) base(a *Active, held model.VersionInfo) *Active {
	for _, t := range c.texts {
		if t.Info.Number == held.Number && t.Info.Digest == held.Digest && t.Info.Number < a.Info.Number {
			return t
		}
	}
	return nil
}

func encodeFrame(a, base *Active) (*wire.VersionFrame, error) {
	full, err := delta.Compress(a.Text)
	if err != nil {
		return nil, err
	}
	if base != nil {
		d, err := delta.Encode(base.Text, a.Text)
		if err == nil && len(d) < len(full) {
			return &wire.VersionFrame{Info: a.Info, From: base.Info.Number, FromDigest: base.Info.Digest, Delta: d}, nil
		}
	}
	return &wire.VersionFrame{Info: a.Info, Full: full}, nil
}
