package proxy

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
)

// finish counts the call and writes its line of the access log. It also runs
// when the answer is aborted by a panic.
func (c *call) finish() {
	rule, askedBy, rank := "", "", "none"
	if c.route != nil {
		rank = strconv.Itoa(int(c.rank))
		rule, askedBy = c.route.Rule.Name, c.route.Rule.AskedBy
	}
	c.p.metrics.calls.WithLabelValues(rank, rule, c.outcome).Inc()
	if e := c.p.access.Check(zap.InfoLevel, "call"); e != nil {
		e.Write(
			zap.String("method", c.r.Method), zap.String("host", c.r.Host), zap.String("path", c.r.URL.Path),
			zap.String("rule", rule), zap.Uint64("version", uint64(versionOf(c.snap))), zap.String("asked_by", askedBy),
			zap.Uint8("rank", uint8(c.rank)), zap.String("upstream", string(c.upstream)), zap.Int("attempts", c.attempts),
			zap.Int("status", c.status), zap.String("outcome", c.outcome), zap.String("reason", string(c.reason)),
			zap.String("run", string(c.run)), zap.String("trace_id", c.trace),
			zap.Duration("total", time.Since(c.start)), zap.Duration("upstream_and_queue", c.busy),
		)
	}
}

func zapRule(rule string) zap.Field { return zap.String("rule", rule) }

func zapError(err error) zap.Field { return zap.Error(err) }

func zapFingerprint(f crashguard.Fingerprint) zap.Field { return zap.Stringer("fingerprint", f) }
