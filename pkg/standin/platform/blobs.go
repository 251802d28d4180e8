package platform

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"github.com/lentilflow/lentilflow/pkg/platform"
)

// Blobs is the state of the object store. It implements platform.Objects
// without faults. Every write gets a new entity tag.
type Blobs struct {
	mu      sync.RWMutex
	objects map[string]platform.Object
	writes  uint64
}

var _ platform.Objects = (*Blobs)(nil)

// NewBlobs returns an empty object store.
func NewBlobs() *Blobs { return &Blobs{objects: map[string]platform.Object{}} }

// Get returns the object, or platform.ErrNotFound.
func (b *Blobs) Get(_ context.Context, key string) (platform.Object, error) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	o, ok := b.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

// Head returns the entity tag, or platform.ErrNotFound.
func (b *Blobs) Head(ctx context.Context, key string) (string, error) {
	o, err := b.Get(ctx, key)
	return o.ETag, err
}

// Put writes the object, or returns platform.ErrConflict.
func (b *Blobs) Put(_ context.Context, key string, body []byte, ifMatch string) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, exists := b.objects[key]
	if ifMatch == platform.IfAbsent && exists {
		return "", platform.ErrConflict
	}
	if ifMatch != "" && ifMatch != platform.IfAbsent && ifMatch != old.ETag {
		return "", platform.ErrConflict
	}
	b.writes++
	tag := strconv.Quote(strconv.FormatUint(b.writes, 16))
	b.objects[key] = platform.Object{Key: key, ETag: tag, Body: slices.Clone(body)}
	return tag, nil
}
