// Package upstream knows the upstream on the VM of this node by its own
// reports. The decisions are pure: the time is an argument.
package upstream
