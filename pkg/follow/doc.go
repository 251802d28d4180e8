// Package follow keeps a copy of something that the platform's store holds:
// it loads the whole once, then waits for changes, and begins anew where the
// store no longer has the changes in between.
package follow
