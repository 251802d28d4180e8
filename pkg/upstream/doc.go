// Package upstream tracks the upstream on the VM of this node from the reports
// that the upstream sends. Its decisions depend on those reports only: nothing
// reads the clock or does I/O.
package upstream
