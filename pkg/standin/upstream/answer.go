package upstream

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

const bodyChunk = 16 << 10

// Answer is the JSON body of an answered call, unless BytesHeader asks for
// another one.
type Answer struct {
	Upstream  string   `json:"upstream"`
	Run       int      `json:"run"`
	Key       string   `json:"key"`
	BodyBytes int      `json:"body_bytes"` // of the request
	Further   *Further `json:"further,omitempty"`
}

// Further is the outcome of a further call.
type Further struct {
	Status int    `json:"status"` // 0 if the call failed
	Body   string `json:"body"`
}

// Pattern returns the body of n bytes that a call with this key gets.
func Pattern(key string, n int) []byte {
	line := key + "\n"
	return []byte(strings.Repeat(line, n/len(line)+1)[:n])
}

func writeAnswer(w http.ResponseWriter, r *http.Request, a Answer) {
	if n, err := strconv.Atoi(r.Header.Get(BytesHeader)); err == nil && n >= 0 {
		body := Pattern(a.Key, n)
		w.Header().Set("Content-Length", strconv.Itoa(n))
		for len(body) > 0 {
			part := body[:min(len(body), bodyChunk)]
			if _, err := w.Write(part); err != nil {
				return
			}
			body = body[len(part):]
		}
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

// further calls the first URL of FurtherHeader through the node beside this
// upstream and passes the other URLs on. The host of the URL goes into the
// Host header; the token of the call gives rank, deadline and depth.
func (u *Upstream) further(r *http.Request) *Further {
	first, rest, _ := strings.Cut(r.Header.Get(FurtherHeader), " ")
	if first == "" || u.cfg.NodeURL == "" {
		return nil
	}
	target, err := url.Parse(first)
	if err != nil {
		return &Further{Body: err.Error()}
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, u.cfg.NodeURL+target.RequestURI(), nil)
	if err != nil {
		return &Further{Body: err.Error()}
	}
	req.Host = target.Host
	req.Header.Set(CallHeader, r.Header.Get(CallHeader))
	req.Header.Set(KeyHeader, requestKey(r))
	if rest != "" {
		req.Header.Set(FurtherHeader, rest)
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return &Further{Body: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return &Further{Body: err.Error()}
	}
	return &Further{Status: resp.StatusCode, Body: string(body)}
}
