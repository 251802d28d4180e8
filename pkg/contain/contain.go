// Package contain recovers panics, so that each ends only the piece of work in
// which it occurred: one call, message, report or step of a loop. Each panic is
// logged with its stack and counted.
package contain

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// restartDelay is the delay before a loop is restarted after a panic.
const restartDelay = time.Second

// Guard recovers panics. Its methods are safe for concurrent use. A nil Guard, for
// tests, recovers panics without logging and counting them.
type Guard struct {
	log    *zap.Logger
	panics *prometheus.CounterVec
}

// New returns a Guard and registers its counter of panics with r. It panics if r
// has the counter already.
func New(log *zap.Logger, r prometheus.Registerer) *Guard {
	caught := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "lentilflow", Name: "panics_total", Help: "Faults of the program that ended one piece of work, by place.",
	}, []string{"place"})
	r.MustRegister(caught)
	return &Guard{log: log, panics: caught}
}

// RecordPanic logs and counts a panic that was recovered elsewhere. place names
// the piece of work and is a label of the counter.
func (g *Guard) RecordPanic(place string, value any, stack []byte) {
	if g == nil {
		return
	}
	g.panics.WithLabelValues(place).Inc()
	g.log.Error("panic was caught", zap.String("place", place), zap.Any("value", value), zap.ByteString("stack", stack))
}

// Do runs f and reports whether it returned without a panic.
func (g *Guard) Do(place string, f func()) (returned bool) {
	defer func() {
		if v := recover(); v != nil {
			g.RecordPanic(place, v, debug.Stack())
		}
	}()
	f()
	return true
}

// Go runs f like Do, in a new goroutine.
func (g *Guard) Go(place string, f func()) { go g.Do(place, f) }

// Loop returns a function that runs f and restarts it 1 s after each panic, until f
// returns or ctx ends. It returns the error of f, or nil if ctx ends after a panic.
func (g *Guard) Loop(place string, f func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) (err error) {
		for !g.Do(place, func() { err = f(ctx) }) {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(restartDelay):
			}
		}
		return err
	}
}

// Middleware responds with status 500 if the handler panics. The place of the
// panic is the path of the route.
func (g *Guard) Middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		if !g.Do(c.Path(), func() { err = next(c) }) {
			return echo.ErrInternalServerError
		}
		return err
	}
}
