package distribution

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/distribution/wire"
	"github.com/lentilflow/lentilflow/pkg/model"
)

// ErrPeer means that a request to another node failed.
var ErrPeer = merry.Sentinel("request to another node failed")

// errFull means that a node has no room for another stream.
type errFull struct{ candidates []model.Entry }

func (*errFull) Error() string { return "node has no room for another stream" }

// Buffer sizes are small, because a relay keeps up to 64 connections and its
// messages are short.
const connBuffer = 2 << 10

func newTransport(dial time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial, KeepAlive: 15 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		ReadBufferSize:      connBuffer,
		WriteBufferSize:     connBuffer,
	}
}

// target is a node to talk to; node and region are empty for a seed.
type target struct {
	node    model.NodeID
	region  model.Region
	address string
}

func (r *Relay) targetOf(e *model.Entry) target {
	return target{node: e.Node, region: e.Location.Region, address: e.AddressFrom(r.self.Location.Region)}
}

// post sends a message and decodes the answer into out.
func (r *Relay) post(ctx context.Context, t target, k wire.Kind, in, out any) error {
	body, compressed, err := wire.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.address+k.Path(), bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(ErrPeer, merry.WithCause(err))
	}
	if compressed {
		req.Header.Set("Content-Encoding", wire.Encoding)
	}
	return r.exchange(req, t, k, len(body), out)
}

// get requests a message and decodes the answer into out.
func (r *Relay) get(ctx context.Context, t target, k wire.Kind, query url.Values, out any) error {
	req, err := r.newGet(ctx, t, k, query)
	if err != nil {
		return err
	}
	return r.exchange(req, t, k, 0, out)
}

func (r *Relay) newGet(ctx context.Context, t target, k wire.Kind, query url.Values) (*http.Request, error) {
	if query == nil {
		query = url.Values{}
	}
	query.Set("node", string(r.self.Node))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+k.Path()+"?"+query.Encode(), nil)
	if err != nil {
		return nil, merry.Wrap(ErrPeer, merry.WithCause(err))
	}
	return req, nil
}

func (r *Relay) exchange(req *http.Request, t target, k wire.Kind, size int, out any) error {
	ctx, cancel := context.WithTimeout(req.Context(), r.cfg.Timing.Request)
	defer cancel()
	resp, err := r.send(req.WithContext(ctx), t, k, size)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxBody))
	r.count(k, received, t.region, len(body)+answerSize(resp))
	if err != nil {
		return merry.Wrap(ErrPeer, merry.WithCause(err))
	}
	if resp.StatusCode/100 != 2 {
		return merry.Prependf(ErrPeer, "%s %s: status %d", k, t.address, resp.StatusCode)
	}
	r.touch(time.Now())
	if resp.StatusCode == http.StatusNoContent {
		return nil
	}
	if err := wire.Unmarshal(body, resp.Header.Get("Content-Encoding") == wire.Encoding, out); err != nil {
		return merry.Wrap(ErrPeer, merry.WithCause(err))
	}
	return nil
}

// send runs the request without reading the answer's body.
func (r *Relay) send(req *http.Request, t target, k wire.Kind, size int) (*http.Response, error) {
	req.Header["User-Agent"] = nil // saves 30 bytes a message
	r.count(k, sent, t.region, size+requestSize(req))
	resp, err := r.cfg.Transport.RoundTrip(req)
	if err != nil {
		return nil, merry.Wrap(ErrPeer, merry.WithCause(err))
	}
	return resp, nil
}

// requestSize estimates the bytes of the request line and headers.
func requestSize(req *http.Request) int {
	const fixed = len("POST  HTTP/1.1\r\nHost: \r\nContent-Length: 000\r\n\r\n")
	return fixed + len(req.URL.RequestURI()) + len(req.URL.Host) + headerSize(req.Header)
}

// answerSize estimates the bytes of the status line and headers.
func answerSize(resp *http.Response) int {
	const fixed = len("HTTP/1.1 200 OK\r\n\r\n")
	return fixed + headerSize(resp.Header)
}

func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// openStream requests the stream of a node. The caller closes the body.
func (r *Relay) openStream(ctx context.Context, t target) (*http.Response, error) {
	held := r.held()
	req, err := r.newGet(ctx, t, wire.Stream, streamQuery(r.generation(), held))
	if err != nil {
		return nil, err
	}
	resp, err := r.send(req, t, wire.Stream, 0)
	if err != nil {
		return nil, err
	}
	r.count(wire.Stream, received, t.region, answerSize(resp))
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxBody))
	r.count(wire.Stream, received, t.region, len(body))
	var refusal wire.Refusal
	if err == nil && resp.StatusCode == http.StatusServiceUnavailable &&
		wire.Unmarshal(body, resp.Header.Get("Content-Encoding") == wire.Encoding, &refusal) == nil {
		return nil, &errFull{candidates: refusal.Candidates}
	}
	return nil, merry.Prependf(ErrPeer, "stream %s: status %d", t.address, resp.StatusCode)
}

func isFull(err error) (*errFull, bool) {
	var full *errFull
	return full, errors.As(err, &full)
}
