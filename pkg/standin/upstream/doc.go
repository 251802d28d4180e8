// Package upstream is a stand-in for an application server of the users,
// written to their published protocol: it runs requests in slots, reports to
// the node on its VM, drains and leaves. It keeps a ledger of its runs, so that
// tests can judge what the system did from the server's side.
package upstream
