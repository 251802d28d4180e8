// Package contain keeps a fault of the program, a panic, within the piece of
// work that met it: one call, message, report or step of a loop. Each is logged
// with its stack and counted.
package contain

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// loopPause is the wait before a loop that panicked begins anew.
const restartDelay = time.Second

// Guard catches panics. A nil Guard catches them without a word, for tests.
type Guard struct {
	log    *zap.Logger
	panics *prometheus.CounterVec
}

// New returns a Guard and registers its counter.
func New(log *zap.Logger, r prometheus.Registerer) *Guard {
	caught := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "lentilflow", Name: "panics_total", Help: "Faults of the program that ended one piece of work, by place.",
	}, []string{"place"})
	r.MustRegister(caught)
	return &Guard{log: log, panics: caught}
}

// Caught notes a panic that was recovered elsewhere.
func (g *Guard) RecordPanic(place string, value any, stack []byte) {
	if g == nil {
		return
	}
	g.panics.WithLabelValues(place).Inc()
	g.log.Error("panic was caught", zap.String("place", place), zap.Any("value", value), zap.ByteString("stack", stack))
}

// Do runs f and reports whether it returned.
func (g *Guard) Do(place string, f func()) (returned bool) {
	defer func() {
		if v := recover(); v != nil {
			g.RecordPanic(place, v, debug.Stack())
		}
	}()
	f()
	return true
}

// Go runs f in a goroutine of its own.
func (g *Guard) Go(place string, f func()) { go g.Do(place, f) }

// Loop returns a loop that begins anew after a panic, until ctx ends.
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

// Handle is middleware: a handler that panics answers 500.
func (g *Guard) Middleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) (err error) {
		if !g.Do(c.Path(), func() { err = next(c) }) {
			return echo.ErrInternalServerError
		}
		return err
	}
}
