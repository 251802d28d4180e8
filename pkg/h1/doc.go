// Package h1 holds HTTP/1.1 connections of both sides. Messages are parsed by
// net/http; the connections are managed here, because a proxy needs what its
// server and client hide:
//
//   - a caller that leaves is noticed at once, also behind pipelined requests;
//   - a request is never sent again without the decision of the proxy;
//   - an answer is matched to its request, and bytes after a complete answer
//     are never taken for the next one.
package h1
