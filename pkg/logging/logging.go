// Package logging builds the structured log of a process. Lines are JSON on
// one stream; a reader that does not keep up costs lines, never time.
package logging

import (
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// queuedLines bounds the lines that wait to be written. A burst of refusals
// is bounded to a hundred lines a second by those who write them.
const maxQueuedLines = 1024

// Writer passes lines to a stream without ever blocking.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	out     io.Writer
	dropped atomic.Int64
	closed  atomic.Bool
}

// NewWriter returns a Writer to out.
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

// Write implements io.Writer. It copies the line.
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

// Sync implements zapcore.WriteSyncer. Lines are written as they come.
func (w *Writer) Sync() error { return nil }

// Close writes the lines that wait and ends the Writer.
func (w *Writer) Close() {
	if !w.closed.Swap(true) {
		w.lines <- nil
		<-w.done
	}
}

// Dropped returns the number of lines that were lost.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// New returns a log to w at a level that can be changed, and registers the
// number of lost lines.
func New(w *Writer, level zap.AtomicLevel, r prometheus.Registerer) *zap.Logger {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "lentilflow", Name: "log_lines_dropped_total", Help: "Log lines that were lost because the reader did not keep up.",
	}, func() float64 { return float64(w.Dropped()) }))
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), w, level))
}
