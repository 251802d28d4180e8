package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/settings"
)

// Limits of connections to the administration listener, and of every server's
// stop.
const (
	adminHeaderTimeout = 5 * time.Second
	adminIdleTimeout   = 2 * time.Minute
	shutdownTimeout    = 5 * time.Second
)

// listeners are the bound sockets of a node.
type listeners struct {
	calls, peer, admin net.Listener
}

// bind opens all listeners before anything else starts, so that an address in
// use is reported before the node has announced itself.
func bind(s *settings.Listeners) (*listeners, error) {
	var l listeners
	for _, one := range []struct {
		name    string
		address settings.Address
		into    *net.Listener
	}{
		{"calls", s.Calls, &l.calls},
		{"peer", s.Peer, &l.peer},
		{"admin", s.Admin, &l.admin},
	} {
		listener, err := net.Listen("tcp", string(one.address))
		if err != nil {
			l.close()
			return nil, merry.Prependf(err, "listeners.%s", one.name)
		}
		*one.into = listener
	}
	return &l, nil
}

func (l *listeners) close() {
	for _, one := range []net.Listener{l.calls, l.peer, l.admin} {
		if one != nil {
			one.Close()
		}
	}
}

// adminServer returns the server of the administration listener.
func (n *Node) adminServer() *http.Server {
	errors, _ := zap.NewStdLogAt(n.log, zap.DebugLevel) // fails for an invalid level only
	return &http.Server{
		Handler:           n.adminHandler(),
		ReadHeaderTimeout: adminHeaderTimeout,
		ReadTimeout:       time.Duration(n.settings.Limits.AdminTimeout),
		WriteTimeout:      2 * time.Duration(n.settings.Limits.AdminTimeout), // reading, then answering
		IdleTimeout:       adminIdleTimeout,
		MaxHeaderBytes:    int(n.settings.Limits.Headers),
		ErrorLog:          errors,
	}
}

// serve runs the server until it is shut down.
func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return merry.Prependf(err, "serve %s", l.Addr())
	}
	return nil
}

// shutdown lets requests in flight finish within shutdownTimeout and then
// closes the connections that are left.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}
