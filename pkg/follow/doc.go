// Package follow keeps a local copy of state in the platform's store up to
// date. It loads the whole state once, then waits for changes, and loads the
// whole state again if the store no longer has the changes since.
package follow
