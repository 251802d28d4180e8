// Package logging builds the structured log of a process. Lines are written as
// JSON to one stream. If its reader does not keep up, lines are dropped; the
// process never blocks.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxQueuedLines bounds the lines that are queued for writing. The code that
// logs refusals limits itself to a hundred lines per second, so the queue holds
// about ten seconds of them.
const maxQueuedLines = 1024

// closeTimeout bounds the wait of Close for a stream whose reader does not keep up. A
// process that stops has 0.8 s for its end.
const closeTimeout = 300 * time.Millisecond

// Writer writes lines to a stream in the background, so that Write never
// blocks. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	out     io.Writer
	dropped atomic.Int64
	closed  atomic.Bool
}

// NewWriter returns a Writer to out. It starts a goroutine that Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), out: out}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if len(line) == 0 {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1) // there is no other place to report it
		}
	}
}

// Write implements io.Writer. It copies and queues the line. If the queue is
// full the line is dropped and counted; after Close it is discarded. Write
// never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 || w.closed.Load() {
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because lines are
// written without delay.
func (w *Writer) Sync() error { return nil }

// Close writes the queued lines and ends the Writer. It waits closeTimeout at most for
// the stream to receive them. It may be called more than once.
func (w *Writer) Close() {
	if w.closed.Swap(true) {
		return
	}
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case w.lines <- nil:
	case <-timeout.C:
		return
	}
	select {
	case <-w.done:
	case <-timeout.C:
	}
}

// Dropped returns the number of lines that were dropped because the queue was
// full or the stream returned an error.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// New returns a logger that writes to w. Its level can be changed through
// level. It registers the number of dropped lines with r, and panics if r
// already has that metric.
func New(w *Writer, level zap.AtomicLevel, r prometheus.Registerer) *zap.Logger {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "lentilflow", Name: "log_lines_dropped_total", Help: "Log lines that were lost because the reader did not keep up.",
	}, func() float64 { return float64(w.Dropped()) }))
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, level))
}
