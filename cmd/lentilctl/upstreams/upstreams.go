// Package upstreams is the command "lentilctl upstreams".
package upstreams

import (
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/cmd/lentilctl/cli"
	"github.com/lentilflow/lentilflow/pkg/admin"
)

// pageSize is the number of upstreams read with one request.
const pageSize = 500

// Command lists the roster.
type Command struct {
	Service string `help:"List the upstreams of this service only." placeholder:"NAME"`
}

// Run prints every entry of the roster of the chosen node.
func (c *Command) Run(env *cli.Env) error {
	all := []admin.Upstream{}
	for after := ""; ; {
		page, err := c.page(env, after)
		if err != nil {
			return err
		}
		all = append(all, page.Items...)
		if page.Next == "" {
			break
		}
		after = page.Next
	}
	if c.Service != "" && len(all) == 0 {
		return merry.Errorf("no upstream of service %q is in the roster", c.Service)
	}
	return env.Print(all, func(w io.Writer) {
		fmt.Fprintln(w, "NODE\tSERVICE\tREGION\tZONE\tSTATE\tSLOTS\tCALLS\tPEER\tADMIN")
		for _, u := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", u.Node, u.Service, u.Location.Region,
				u.Location.AvailabilityZone, u.State, u.Slots, u.Calls, u.Address, u.Admin)
		}
	})
}

func (c *Command) page(env *cli.Env, after string) (admin.Page[admin.Upstream], error) {
	ctx, cancel := env.Request()
	defer cancel()
	return env.Client().Upstreams(ctx, c.Service, after, pageSize)
}
