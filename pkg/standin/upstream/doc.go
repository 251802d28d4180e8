// Package upstream is a stand-in for an application server of the users, written
// to their published protocol: it runs requests in slots, reports to the node on
// its VM, drains and leaves. It records its runs in a ledger, so that tests can
// check the system from the side of the server.
package upstream
