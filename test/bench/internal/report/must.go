package report

import (
	"fmt"
	"os"
	"sync"
)

// Must ends the measurement if err is not nil. It panics, so that deferred
// calls still stop the processes; Main turns the panic into an exit status.
func Must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// Get is Must for a call with a result.
func Get[T any](v T, err error) T {
	Must(err)
	return v
}

type failure struct{ error }

// Main runs a measurement program.
func Main(run func()) {
	if err := try(run); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func try(run func()) (err error) {
	defer func() {
		if r := recover(); r != nil {
			f, ok := r.(failure)
			if !ok {
				panic(r)
			}
			err = f.error
		}
	}()
	run()
	return nil
}

// Each runs do for 0 to n-1, at most limit at a time, and ends the measurement
// if one of them failed.
func Each(n, limit int, do func(i int)) {
	errs := make([]error, n)
	gate := make(chan struct{}, limit)
	var all sync.WaitGroup
	for i := range n {
		gate <- struct{}{}
		all.Go(func() {
			defer func() { <-gate }()
			errs[i] = try(func() { do(i) })
		})
	}
	all.Wait()
	for _, err := range errs {
		Must(err)
	}
}
