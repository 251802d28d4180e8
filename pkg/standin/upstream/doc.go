// Package upstream is a stand-in for an upstream: a service program with a
// fixed number of slots that sheds load, drains, starts cold, honours
// deadlines and cancellation, can crash on a request, and keeps a ledger of
// its runs that tests compare with the answers of callers. The process
// variant is in the folder process.
package upstream
