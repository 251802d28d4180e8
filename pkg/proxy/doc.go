// Package proxy is the HTTP path of a call: the caller listener, the peer
// listener, the exchange with the upstream, chain tokens and the access log.
//
// A call passes through at most two nodes. The node that takes it from the
// caller matches it to a rule, chooses an upstream and is the only one that
// retries. The node beside the upstream admits it and runs it. Both stream the
// answer and never report a call as not run after its first byte was written
// to the upstream.
package proxy
