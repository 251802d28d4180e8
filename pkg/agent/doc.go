// Package agent runs one node on the users' platform. It connects the
// processing of calls, the followers of the store, the messages between nodes
// and the graceful stop. The formats and protocols of the platform are behind
// the interface Platform.
package agent
