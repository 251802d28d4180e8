//go:build review2

// Harness2 plays the cases review/6 to review/10 with real nodes. One process holds
// the stand-ins of a case: the platform's store, the backends and the clients.
// The stand-ins are small ones of this review; they follow the users' pages.
package main
