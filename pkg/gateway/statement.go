package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// statement returns what a response says about the upstream that sent it. ok is
// false if the rate limit is not a valid number.
func (n *HeaderNames) statement(h http.Header) (s upstream.Statement, ok bool) {
	if leaving := strings.TrimSpace(h.Get(n.Leaving)); leaving != "" && leaving != "0" {
		s.Leaving = true
	}
	text := strings.TrimSpace(h.Get(n.RateLimit))
	if text == "" {
		return s, true
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || !upstream.ValidRateLimit(rate) {
		return s, false
	}
	s.Limited, s.RateLimit = true, rate
	return s, true
}

// statedLimit is the rate limit that the serving boot states. It is safe for
// concurrent use.
type statedLimit struct {
	limited atomic.Bool // copy of the limit's state, so that most responses need no lock

	mu    sync.Mutex
	boot  upstream.Boot // only ID and StartedAt are set
	limit upstream.RateLimit
	// sent and since are the number of requests that were sent to the upstream
	// when the limit last changed, and the time of that change.
	sent  int64
	since time.Time
}

// observeResponse applies what a response says about the upstream. sentAt is when
// its request was sent to boot.
func (l *Local) observeResponse(requestID string, boot *upstream.Boot, h http.Header, sentAt time.Time) {
	s, ok := l.Names.statement(h)
	if !ok {
		l.Metrics.countStatement(statementInvalid)
		if _, ok := l.statementLog.allow(); ok {
			l.Log.Warn("rate limit that the upstream states is not a number and is ignored",
				zap.String("request", requestID), zap.String("boot", boot.ID), zap.String("limit", h.Get(l.Names.RateLimit)))
		}
	}
	if s.Leaving {
		l.observeLeaving(requestID, boot)
	}
	if ok && (s.Limited || l.stated.limited.Load()) {
		l.observeLimit(requestID, boot, s, sentAt)
	}
}

func (l *Local) observeLeaving(requestID string, boot *upstream.Boot) {
	l.Metrics.countStatement(statementLeaving)
	if dropped, ok := l.statementLog.allow(); ok {
		l.Log.Info("upstream states that it leaves", zap.String("request", requestID), zap.String("boot", boot.ID),
			zap.Int64("born_ms", boot.StartedAt), zap.Int64("lines_left_out", dropped))
	}
}

func (l *Local) observeLimit(requestID string, boot *upstream.Boot, s upstream.Statement, sentAt time.Time) {
	if s.Limited {
		l.Metrics.countStatement(statementLimit)
	}
	c := &l.stated
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.boot.ID != boot.ID || c.boot.StartedAt != boot.StartedAt {
		c.boot, c.limit = upstream.Boot{ID: boot.ID, StartedAt: boot.StartedAt}, upstream.RateLimit{}
	}
	now := time.Now()
	if !c.limit.Observe(s, sentAt.Sub(l.startTime), now.Sub(l.startTime)) {
		return
	}
	rate, limited := c.limit.Current()
	c.limited.Store(limited)
	sent := l.requestsSent.Load()
	f := []zap.Field{zap.String("request", requestID), zap.String("boot", boot.ID), zap.Int64("born_ms", boot.StartedAt),
		zap.Bool("limited", limited), zap.Float64("requests_per_second", rate)}
	if !c.since.IsZero() {
		f = append(f, zap.Int64("sent_since_last_change", sent-c.sent), zap.Duration("after", now.Sub(c.since)))
	}
	c.sent, c.since = sent, now
	if dropped, ok := l.statementLog.allow(); ok {
		l.Log.Info("rate limit of the upstream has changed", append(f, zap.Int64("lines_left_out", dropped))...)
	}
}

// RateLimit returns the requests per second that the upstream states as its
// limit, -1 if it states none.
func (l *Local) RateLimit() float64 {
	l.stated.mu.Lock()
	defer l.stated.mu.Unlock()
	if rate, limited := l.stated.limit.Current(); limited {
		return rate
	}
	return -1
}
