// Package proxy is the HTTP path of a call: the caller listener, the peer
// listener, the exchange with the upstream, chain tokens and the access log.
//
// A call passes through at most two nodes. The node that takes it from the
// caller matches it to a rule, chooses an upstream and is the only one that
// retries. The node beside the upstream admits it and runs it. Both stream the
// answer and never report a call as not run after its first byte was written
// to the upstream.
//
// # Run states
//
// A call is not_run if no connection was obtained or nothing was handed to it
// (countingConn), if the upstream said so by Upstream-Not-Run, or if the node
// beside the upstream refused it. Everything else without an answer is
// unknown. After several attempts the state is unknown if it was so for any.
// net/http repeats requests without a body on another connection; exchange
// therefore always sends a body reader.
//
// # Headers between nodes
//
// Towards the node beside the upstream:
//
//	Lentilflow-Rule         name of the rule that decided the call
//	Lentilflow-Version      version of the rules file by which it did
//	Lentilflow-Rank         0 to 7, from the rule or the chain
//	Lentilflow-Deadline-Ms  remaining time
//	Lentilflow-Attempt      1 for the first attempt
//	Lentilflow-Depth        calls of the chain above this one
//	Lentilflow-Origin       node that took the call
//	Lentilflow-Worth        weight among the rules of the rank
//	Lentilflow-Target-Us    latency target, 0 for none
//
// Back to the node that took the call:
//
//	Lentilflow-Version      version in force at the answering node
//	Lentilflow-Busy-Us      time spent waiting for a slot and for the upstream
//	Lentilflow-Refusal      reason and run state, on refusals only
//	Lentilflow-Crash        identifier of the crash that ended the call
//
// An answer without Lentilflow-Busy-Us and Lentilflow-Refusal is not that of a
// node and counts as lost. These headers are removed from requests of callers
// and from answers of upstreams.
//
// # Crash notices
//
// The node beside a crashed upstream sends POST /.lentilflow/v1/crash with
// fingerprint, service and crash to the nodes beside the other upstreams of
// the service. Package crashguard also shares crashes through the table
// service, for nodes that the message does not reach.
package proxy
