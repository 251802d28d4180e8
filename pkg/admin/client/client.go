package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"

	"github.com/lentilflow/lentilflow/pkg/admin"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
)

// maxAnswer bounds one answer in bytes; the status of 2,800 nodes takes less
// than 2 MiB.
const maxAnswer = 8 << 20

// Client calls one node. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the administration listener at address, given
// as host:port.
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{}}
}

// Status returns the state of the deployment.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	return get[admin.Status](ctx, c, "status", nil)
}

// Rules returns the rules file that operators edit.
func (c *Client) Rules(ctx context.Context) (admin.RulesFile, error) {
	return get[admin.RulesFile](ctx, c, "rules", nil)
}

// Rejected returns the last refused rules file.
func (c *Client) Rejected(ctx context.Context) (admin.Rejected, error) {
	return get[admin.Rejected](ctx, c, "rejected", nil)
}

// Versions returns a page of accepted versions after the given one.
func (c *Client) Versions(ctx context.Context, after model.Version, limit int) (admin.Page[model.VersionInfo], error) {
	query := url.Values{"after": {number(after)}, "limit": {strconv.Itoa(limit)}}
	return get[admin.Page[model.VersionInfo]](ctx, c, "versions", query)
}

// Version returns one accepted version with its text.
func (c *Client) Version(ctx context.Context, n model.Version) (admin.VersionWithText, error) {
	return get[admin.VersionWithText](ctx, c, "versions/"+number(n), nil)
}

// Upstreams returns a page of the roster. An empty service stands for all.
func (c *Client) Upstreams(ctx context.Context, service, after string, limit int) (admin.Page[admin.Upstream], error) {
	query := url.Values{"service": {service}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	return get[admin.Page[admin.Upstream]](ctx, c, "upstreams", query)
}

// Explain returns the rule that decides a call with the given method and URL.
func (c *Client) Explain(ctx context.Context, method, target string) (admin.Explanation, error) {
	return get[admin.Explanation](ctx, c, "explain", url.Values{"method": {method}, "url": {target}})
}

// PutRules replaces the rules file if its entity tag is ifMatch, or creates it
// if ifMatch is platform.IfAbsent.
func (c *Client) PutRules(ctx context.Context, text []byte, ifMatch string) (admin.PutResult, error) {
	var result admin.PutResult
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, c.url("rules", nil), bytes.NewReader(text))
	if err != nil {
		return result, merry.Prependf(err, "address %q", c.address)
	}
	if ifMatch == platform.IfAbsent {
		request.Header.Set("If-None-Match", "*")
	} else {
		request.Header.Set("If-Match", `"`+ifMatch+`"`)
	}
	request.Header.Set("Content-Type", "text/plain; charset=utf-8")
	err = c.do(request, &result)
	return result, err
}

func number(n model.Version) string {
	return strconv.FormatUint(uint64(n), 10)
}

func (c *Client) url(path string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: c.address, Path: "/v1/" + path, RawQuery: query.Encode()}
	return u.String()
}

func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var result T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(path, query), nil)
	if err != nil {
		return result, merry.Prependf(err, "address %q", c.address)
	}
	err = c.do(request, &result)
	return result, err
}

func (c *Client) do(request *http.Request, result any) error {
	response, err := c.http.Do(request)
	if err != nil {
		return c.unreachable(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return merry.Prependf(err, "answer of node at %s", c.address)
	}
	if response.Header.Get(admin.APIHeader) == "" {
		return merry.Errorf("%s is not the administration listener of a node (it answered %s)", c.address, response.Status)
	}
	if response.StatusCode != http.StatusOK {
		return c.refusal(response, body)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return merry.Prependf(err, "answer of node at %s is not valid", c.address)
	}
	return nil
}

// unreachable leaves out the URL that net/http repeats in its errors.
func (c *Client) unreachable(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		err = u.Err
	}
	return merry.Prependf(err, "no answer from the node at %s", c.address)
}

func (c *Client) refusal(response *http.Response, body []byte) error {
	p := &admin.Problem{}
	if response.Header.Get("Content-Type") != admin.ProblemType || json.Unmarshal(body, p) != nil {
		return merry.Errorf("unexpected answer of the node at %s: %s", c.address, response.Status)
	}
	return p
}
