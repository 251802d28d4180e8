// Package play plays loads in virtual time. The decisions of many nodes
// (admission, balance, retry, shaping) are the real ones; callers that come back,
// upstreams that are cold, slow or grey, links and distances are events on one
// clock. A Pattern says which load is played, a Policy how nodes decide, and a
// seed fixes the rest, so that two policies can be compared on the same arrivals.
//
// It is a module for decisions: there is no membership, no store and no wire, and
// every node knows every upstream. What the nodes do between the decisions follows
// pkg/gateway.
package play
