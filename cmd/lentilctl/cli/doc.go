// Package cli provides what the commands of lentilctl share: the global flags
// and the output formats.
package cli
