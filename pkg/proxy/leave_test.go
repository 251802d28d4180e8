package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Guards against callers that are refused, or kept on their connection, by a
// node that leaves: it sends their calls to other upstreams until its caller
// listener is closed, and refuses peers only.
func TestLeavingNodeServesCallers(t *testing.T) {
	is := is.New(t)
	up := upstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	m := newMesh(t)
	stopping, stopped := make(chan struct{}), make(chan struct{})
	a := m.add("a", up, func(c *Config) {
		c.Limits.DrainGrace = time.Millisecond
		c.StopCallers = func(context.Context) {
			close(stopping)
			<-stopped
		}
	})
	m.mu.Lock()
	m.entries = nil // a draining entry is not usable
	m.mu.Unlock()
	m.add("b", up)
	drained := make(chan error, 1)
	go func() { drained <- a.Drain(context.Background()) }()
	<-stopping
	resp := send(t, "GET", a.url+"/once", "")
	is.Equal(resp.StatusCode, 200)
	is.Equal(resp.Header.Get(HeaderUpstream), "b")
	is.True(resp.Close) // the caller must open its next connection elsewhere
	req, err := http.NewRequest("GET", "http://"+a.peer+"/once", nil)
	is.NoErr(err)
	for name, value := range map[string]string{
		HeaderRule: "once", HeaderRank: "4", HeaderDeadline: "1000", HeaderDepth: "0", HeaderWorth: "1", HeaderTarget: "0", HeaderVersion: "7",
	} {
		req.Header.Set(name, value)
	}
	resp, err = http.DefaultClient.Do(req)
	is.NoErr(err)
	is.Equal(refusalOf(t, resp).Reason, model.NodeDraining)
	close(stopped)
	is.NoErr(<-drained)
}

// Guards against an empty POST that reaches the upstream without a length,
// which some servers answer with 411.
func TestEmptyPostStatesItsLength(t *testing.T) {
	is := is.New(t)
	heads := make(chan string, 1)
	up, _ := rawUpstream(t, func(_ int, conn net.Conn) {
		head := make([]byte, 4096)
		n, _ := conn.Read(head)
		heads <- string(head[:n])
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		_ = conn.Close()
	})
	n := newMesh(t).add("a", up)
	send(t, "PUT", n.url+"/x", "")
	is.True(strings.Contains(<-heads, "Content-Length: 0\r\n"))
	send(t, "GET", n.url+"/read", "")
	is.True(!strings.Contains(<-heads, "Content-Length"))
}
