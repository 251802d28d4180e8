package devcluster

import (
	"context"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/platform"
	"github.com/lentilflow/lentilflow/pkg/publisher"
)

// putFirstRules writes the example rules file, from which the publisher
// accepts version 1.
func (c *Cluster) putFirstRules(ctx context.Context) error {
	objects := platform.NewObjects(platform.Config{URL: c.platform.URL()})
	defer objects.Close()
	_, err := objects.Put(ctx, publisher.RulesObject, c.cfg.Deployment.Rules, platform.IfAbsent)
	return merry.Prepend(err, "put the first rules file")
}
