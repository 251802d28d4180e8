package settings

import "fmt"

// ValidationError is the reason why a settings file is refused.
type ValidationError struct {
	File     string
	Line     int    // counted from 1; for a missing field, the first line of the section that lacks it
	Field    string // dotted path, for example "listeners.peers"; empty for the whole file
	Message  string
	Accepted string // accepted values
}

// Error formats f as "file:line: field: message (accepted: values)".
func (f *ValidationError) Error() string {
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
