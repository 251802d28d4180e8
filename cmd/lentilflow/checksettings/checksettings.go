// Package checksettings implements the command "lentilflow check-settings".
package checksettings

import (
	"fmt"
	"io"

	"github.com/lentilflow/lentilflow/pkg/settings"
)

// Command checks a settings file.
type Command struct {
	File string `arg:"" help:"Settings file (docs/settings.md)."`
}

// Run returns the first fault of the file as an error.
func (c *Command) Run(out io.Writer) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: settings of node %s are acceptable\n", c.File, s.Name)
	return err
}
