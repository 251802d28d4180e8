// Package agent runs one node on the users' platform: it wires the path of
// calls, the followers of the store, the messages between nodes and the
// graceful stop. What the platform speaks is behind the interface Platform.
package agent
