package rules

import (
	"fmt"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// MaxSize is the largest accepted rules file in bytes. It equals text.MaxSize, so
// that every accepted file can be stored.
const MaxSize = 1 << 20

// File is a parsed rules file that passed every check. It is immutable.
type File struct {
	Services []model.Service // in file order
	Rules    []model.Rule    // in file order
	Teams    []model.Team    // in file order
}

// Fault is one error in a rules file. A file with any fault is rejected.
type Fault struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Field    string `json:"field,omitempty"`
	Message  string `json:"message"`
	Accepted string `json:"accepted,omitempty"` // the accepted values, if they can be listed
}

// String formats f as "file:line: field: message (accepted: values)".
func (f Fault) String() string {
	s := fmt.Sprintf("%s:%d: ", f.File, f.Line)
	if f.Field != "" {
		s += f.Field + ": "
	}
	s += f.Message
	if f.Accepted != "" {
		s += " (accepted: " + f.Accepted + ")"
	}
	return s
}
