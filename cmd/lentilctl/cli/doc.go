// Package cli holds what the commands of lentilctl share: the global flags and
// the output forms.
package cli
