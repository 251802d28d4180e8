package delta

import "github.com/lentilflow/lentilflow/pkg/internal/rapidtest"

func init() { rapidtest.FixSeed(20261) }
