package recovery

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against late reports that are trusted although a holder of a departure has
// not answered, has restarted and may have lost it, or although no node was asked yet.
func TestEvidenceIsCompleteOnlyIfNoDepartureCanBeMissing(t *testing.T) {
	is := is.New(t)
	asked := func(store, health bool, a Answers) bool {
		e := Evidence{StoreRead: store, Asked: true, Answers: a, HealthPath: health}
		return e.Complete()
	}
	is.True(asked(false, true, Answers{Others: 5, Holders: 3, CompleteHolders: 2}))
	is.True(!asked(false, true, Answers{Others: 5, Holders: 3, CompleteHolders: 1, Settled: 3}))
	is.True(!asked(true, true, Answers{Others: 5, Holders: 3, Settled: 2})) // two nodes that were not asked to hold it
	is.True(asked(true, true, Answers{Others: 5, Holders: 3, CompleteHolders: 1}))
	is.True(asked(true, true, Answers{}))
	is.True(!asked(false, false, Answers{Others: 1, Holders: 1, CompleteHolders: 1})) // the store alone may hold it
	is.True(asked(true, false, Answers{Others: 5, Holders: 3}))
	e := Evidence{StoreRead: true}
	is.True(!e.Complete())
}
