package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"
)

const (
	defaultTimeout      = 2 * time.Second
	defaultReadAttempts = 3
	readRetryBase       = 50 * time.Millisecond
	readRetryCap        = 500 * time.Millisecond
	// maxResponseBytes bounds the memory that one answer can take. A page of
	// 50 claim rows with 64 KiB bodies is about 6 MiB in base64.
	maxResponseBytes   = 16 << 20
	maxIdleConnections = 16
)

// Config configures the client of one platform service.
type Config struct {
	// URL is the base of the service, for example "http://10.0.0.5:8400".
	URL string
	// Timeout bounds one attempt, from dialling to the last byte of the
	// answer. The default is 2 s.
	Timeout time.Duration
	// ReadAttempts is the number of attempts of a read, the first included.
	// The default is 3. Writes are sent once.
	ReadAttempts int
}

// client exchanges single requests with one service.
type client struct {
	base     string
	timeout  time.Duration
	attempts uint
	http     *http.Client
}

// request is one request of the protocol.
type request struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
}

// response is a complete answer.
type response struct {
	status int
	header http.Header
	body   []byte
}

func newClient(cfg Config) *client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.ReadAttempts <= 0 {
		cfg.ReadAttempts = defaultReadAttempts
	}
	dialer := &net.Dialer{Timeout: cfg.Timeout}
	return &client{
		base:     strings.TrimSuffix(cfg.URL, "/"),
		timeout:  cfg.Timeout,
		attempts: uint(cfg.ReadAttempts),
		http: &http.Client{
			// A redirected PUT would be sent twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					c, err := dialer.DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return &trackedConn{Conn: c}, nil
				},
				MaxIdleConnsPerHost: maxIdleConnections,
				IdleConnTimeout:     time.Minute,
			},
		},
	}
}

// close releases the idle connections.
func (c *client) close() { c.http.CloseIdleConnections() }

// read sends r until an attempt is answered with anything but an overload or
// server error. Delays between attempts are jittered.
func (c *client) read(ctx context.Context, r request) (response, error) {
	attempt := func() (response, error) {
		resp, _, err := c.send(ctx, r)
		if err != nil {
			return response{}, wrap(ErrUnavailable, err)
		}
		return resp, c.readError(r, resp)
	}
	delays := &backoff.ExponentialBackOff{
		InitialInterval:     readRetryBase,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         readRetryCap,
	}
	resp, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delays), backoff.WithMaxTries(c.attempts))
	if err != nil && !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrUnavailable) {
		err = wrap(ErrUnavailable, err) // the context ended between two attempts
	}
	return resp, err
}

func (c *client) readError(r request, resp response) error {
	switch {
	case resp.status == http.StatusOK:
		return nil
	case resp.status == http.StatusNotFound:
		return backoff.Permanent(merry.Prependf(ErrNotFound, "%s %s", r.method, r.path))
	case resp.status == http.StatusTooManyRequests || resp.status >= http.StatusInternalServerError:
		return unexpected(ErrUnavailable, r, resp)
	default:
		return backoff.Permanent(unexpected(ErrUnavailable, r, resp))
	}
}

// write sends r once and translates the outcome.
func (c *client) write(ctx context.Context, r request) (response, error) {
	resp, sent, err := c.send(ctx, r)
	if resp.status != 0 {
		if outcome := writeOutcome(resp.status); outcome != nil {
			return resp, unexpected(outcome, r, resp)
		}
	}
	switch {
	case err == nil:
		return resp, nil
	case sent:
		return resp, wrap(ErrOutcomeUnknown, err)
	default:
		return resp, wrap(ErrUnavailable, err)
	}
}

// send makes one exchange. The second result is false if no byte of the
// request has left or can still leave this process. If the answer breaks off
// after its header, the response has a status and the error is set.
func (c *client) send(ctx context.Context, r request) (response, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	track := &sendTracker{}
	ctx = track.attach(ctx)
	target := c.base + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return response{}, false, err
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, track.sent(), err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = merry.Errorf("answer to %s %s exceeds %d bytes", r.method, r.path, maxResponseBytes)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, true, err
}
