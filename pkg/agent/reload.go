package agent

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/settings"
)

// watchSettings reloads the settings file after SIGHUP, and whenever a periodic
// check finds that it has changed. Without a settings file it does nothing
// until ctx ends.
func (a *Agent) watchSettings(ctx context.Context) error {
	if a.path == "" {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(a.path)
	if err != nil {
		a.log.Warn("settings file cannot be read", zap.String("file", a.path), zap.Error(err))
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-a.signals.reload:
			signalled = true
		case <-ticker.C:
		}
		text, err := os.ReadFile(a.path)
		if err != nil {
			a.log.Warn("settings file cannot be read", zap.String("file", a.path), zap.Error(err))
			continue
		}
		if changed := !bytes.Equal(text, last); changed || signalled {
			last = text
			a.reload(text, signalled, changed)
		}
	}
}

// reload applies the settings that may change while the process runs. An
// invalid file changes nothing.
func (a *Agent) reload(text []byte, signalled, changed bool) {
	next, err := settings.Parse(a.path, text)
	if err != nil {
		a.log.Error("settings are refused; those in use stay", zap.Bool("signal", signalled), zap.Error(err))
		return
	}
	level, err := zap.ParseAtomicLevel(next.Log.Level)
	if err != nil {
		a.log.Error("settings are refused; those in use stay", zap.Error(err))
		return
	}
	a.level.SetLevel(level.Level())
	a.budgets.SetLimits(float64(next.Retries.Ratio), float64(next.Retries.Extra))
	a.drain.Store(&next.Drain)
	restart := next.Listeners != a.settings.Listeners || next.Upstream != a.settings.Upstream || next.Store != a.settings.Store ||
		next.Network != a.settings.Network || next.Quota != a.settings.Quota || next.Load != a.settings.Load || next.Rollouts != a.settings.Rollouts ||
		next.Name != a.settings.Name || next.Location() != a.settings.Location()
	a.log.Info("settings reloaded", zap.Bool("signal", signalled), zap.Bool("changed", changed), zap.Bool("needs_restart", restart))
}
