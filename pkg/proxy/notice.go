package proxy

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lentilflow/lentilflow/pkg/crashguard"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

const (
	// noticePath is the peer message that tells of a crash.
	noticePath = rules.ReservedPath + "/v1/crash"
	// noticeSize bounds such a message, in bytes.
	noticeSize = 4 << 10
	// noticeParallel bounds the messages that are sent at a time.
	noticeParallel = 8
	// noticeTimeout bounds one message.
	noticeTimeout = 2 * time.Second
	// noticeWait is how long a lost call waits for its notice to arrive, so
	// that its repetition through another node already meets it.
	noticeWait = 100 * time.Millisecond
	// crashWindow joins the calls that were lost with one crash.
	crashWindow = 2 * time.Second
)

// crashNotice is the body of the message.
type crashNotice struct {
	Fingerprint crashguard.Fingerprint `json:"fingerprint"`
	Service     string                 `json:"service"`
	Crash       crashguard.Crash       `json:"crash"`
}

// crashEvents gives every crash of the local upstream one identifier, which
// all calls that were lost with it share.
type crashEvents struct {
	mu   sync.Mutex
	last crashguard.Crash
}

// current returns the crash that happens now.
func (c *crashEvents) current(self model.NodeID, now time.Time) crashguard.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.ID == "" || now.Sub(c.last.At) >= crashWindow {
		c.last = crashguard.Crash{ID: rand.Text(), Upstream: self, At: now}
	}
	return c.last
}

// crashed records that the upstream was lost while it ran j, and returns the
// identifier of the crash. The run had taken the stated time; the slot of j is
// still taken.
func (p *Proxy) crashed(j *job, took time.Duration) string {
	n := crashNotice{Fingerprint: j.fingerprint(), Service: p.cfg.Service, Crash: p.crashes.current(p.cfg.Self, time.Now())}
	n.Crash.Ran = took
	n.Crash.Alone = p.gate.State().Running == 1
	p.metrics.events[eventCrash].Inc()
	p.log.Warn("upstream crashed while it ran a request", zapRule(j.rule), zapFingerprint(n.Fingerprint))
	p.notices.Learn(n.Fingerprint, n.Service, n.Crash)
	told := make(chan struct{})
	p.later(noticeTime, func(ctx context.Context) {
		p.tellPeers(ctx, n)
		close(told)
		if err := p.notices.Report(ctx, n.Fingerprint, n.Service, n.Crash); err != nil {
			p.notShared(n.Fingerprint, err)
		}
	})
	select {
	case <-told:
	case <-time.After(noticeWait):
	}
	return n.Crash.ID
}

// tellPeers sends the notice to the nodes beside the other upstreams of the
// service, also those that are suspect and may soon run calls again. They
// refuse the request themselves, whichever node took it from its caller, and
// need not wait until they read the table service again.
func (p *Proxy) tellPeers(ctx context.Context, n crashNotice) {
	text, err := json.Marshal(n)
	if err != nil {
		p.notShared(n.Fingerprint, err)
		return
	}
	var g errgroup.Group
	g.SetLimit(noticeParallel)
	for _, e := range p.cfg.Roster.Members(p.cfg.Service) {
		if e.Node == p.cfg.Self {
			continue
		}
		g.Go(func() error {
			if err := p.tell(ctx, e.AddressFrom(p.cfg.Location.Region), text); err != nil {
				p.notShared(n.Fingerprint, err)
			}
			return nil
		})
	}
	_ = g.Wait() // failures were counted one by one
}

func (p *Proxy) tell(ctx context.Context, address string, text []byte) error {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+noticePath, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("crash notice to %s: %w", address, err)
	}
	resp, err := p.toPeers.RoundTrip(r)
	if err != nil {
		return fmt.Errorf("crash notice to %s: %w", address, err)
	}
	discard(resp)
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("crash notice to %s: status %d", address, resp.StatusCode)
	}
	return nil
}

func (p *Proxy) notShared(f crashguard.Fingerprint, err error) {
	p.metrics.events[eventNotShared].Inc()
	p.log.Warn("crash notice was not shared", zapFingerprint(f), zapError(err))
}

// serveNotice takes the notice of another node.
func (p *Proxy) serveNotice(w http.ResponseWriter, r *http.Request) {
	n, err := readNotice(r)
	if err != nil {
		ref := refuse(model.BadRequest, model.NotRun, err.Error())
		p.metrics.peer[ref.reason].Inc()
		_ = ref.details(versionOf(p.snapshot()), "").Write(w)
		return
	}
	n.Crash.At = time.Now() // clocks differ; the identifier joins reports of one crash
	p.notices.Learn(n.Fingerprint, n.Service, n.Crash)
	w.WriteHeader(http.StatusNoContent)
}

func readNotice(r *http.Request) (crashNotice, error) {
	var n crashNotice
	if r.Method != http.MethodPost {
		return n, fmt.Errorf("method %s is not POST", r.Method)
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, noticeSize)).Decode(&n); err != nil {
		return n, errors.New("the body is not a crash notice")
	}
	if n.Crash.ID == "" || n.Crash.Upstream == "" || n.Service == "" {
		return n, errors.New("the crash notice lacks id, upstream or service")
	}
	return n, nil
}
