package node

import (
	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lentilflow/lentilflow/pkg/settings"
)

// NewLog returns the logger that the settings ask for. It writes to standard
// error.
func NewLog(s *settings.Settings) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(s.Log.Level)
	if err != nil {
		return nil, merry.Prepend(err, "log.level")
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = level
	cfg.Encoding = s.Log.Format
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.DisableCaller = true
	// Every refused call must be countable from the log, so nothing is sampled.
	cfg.Sampling = nil
	log, err := cfg.Build()
	if err != nil {
		return nil, merry.Prepend(err, "log")
	}
	return log.With(zap.String("node", s.Node)), nil
}
