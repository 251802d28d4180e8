// Package h1 implements the server side and the client side of HTTP/1.1
// connections. Requests are parsed by net/http. Responses and the connections
// are handled here, because a proxy needs guarantees that the server and the
// client of net/http do not give:
//
//   - a response is read by the grammar of HTTP; what violates it is no response;
//   - a client disconnect is detected at once, also after pipelined requests;
//   - a request is never sent again unless the proxy decides to do so;
//   - a response is matched to its request, and bytes after a complete response
//     are never parsed as the next one.
package h1
