package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// action is what a scripted upstream does with one request.
type action string

const (
	answers           action = "answers"
	answersAndCloses  action = "answers and closes the connection"
	answersTwice      action = "answers twice"
	answersOtherFirst action = "answers to another request first"
	runsLate          action = "runs late and answers"
	runsAndCloses     action = "runs and closes the connection"
	truncates         action = "truncates its response"
	answers500        action = "answers 500"
	hangs             action = "runs and never answers"
	closesBeforeRun   action = "reads and closes without running"
	closesBeforeRead  action = "closes without reading"
	sheds             action = "says that it did not run the request"
	misdirected       action = "is another boot"
	// answersMalformed and claimsNotRunMalformed violate the HTTP grammar: a field name of the
	// response has a blank. The second response also says that the request was not run.
	answersMalformed      action = "answers with a malformed field name"
	claimsNotRunMalformed action = "runs and says with a malformed field name that it did not"
	// answersTwiceWithoutID violates the users' protocol: the response has no
	// request ID, and a duplicate of it follows late.
	answersTwiceWithoutID action = "answers twice without the id of the request"
	// claimsNotRun violates the users' protocol. Only the test that the check
	// detects it uses it.
	claimsNotRun action = "runs and says that it did not"
)

// permittedActions are the actions that the users' protocol permits.
var permittedActions = []action{
	answers, answers, answersAndCloses, answersTwice, answersOtherFirst, runsLate, runsAndCloses, truncates, answers500, hangs, closesBeforeRun, closesBeforeRead,
	sheds, misdirected, answersMalformed, claimsNotRunMalformed,
}

// runCounter counts the runs of each request at all upstreams.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runCounter) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *runCounter) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// scriptedUpstream is an upstream that performs one action of its script per
// request. Once the script has ended, it sends a normal response.
type scriptedUpstream struct {
	listener  net.Listener
	runs      *runCounter
	names     HeaderNames
	openConns atomic.Int64

	mu       sync.Mutex
	script   []action
	conns    map[net.Conn]bool
	fields   string        // header lines that every response has
	delay    time.Duration // before each response
	arrivals []time.Time   // of all requests
}

func newScriptedUpstream(l *runCounter, names HeaderNames) *scriptedUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	u := &scriptedUpstream{listener: listener, runs: l, names: names, conns: make(map[net.Conn]bool)}
	go u.accept()
	return u
}

func (u *scriptedUpstream) enqueue(c ...action) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.script = append(u.script, c...)
}

// state sets the header lines of all further responses, each "Name: value".
func (u *scriptedUpstream) state(lines ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fields = ""
	for _, line := range lines {
		u.fields += line + "\r\n"
	}
}

func (u *scriptedUpstream) setDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.delay = d
}

// arrived records the arrival of a request and returns the delay and the header
// lines of its response.
func (u *scriptedUpstream) arrived() (delay time.Duration, fields string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals = append(u.arrivals, time.Now())
	return u.delay, u.fields
}

// arrivalsSince returns the times of the requests that arrived after t.
func (u *scriptedUpstream) arrivalsSince(t time.Time) []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	var since []time.Time
	for _, at := range u.arrivals {
		if at.After(t) {
			since = append(since, at)
		}
	}
	return since
}

func (u *scriptedUpstream) next() action {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.script) == 0 {
		return answers
	}
	c := u.script[0]
	u.script = u.script[1:]
	return c
}

func (u *scriptedUpstream) accept() {
	for {
		nc, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[nc] = true
		u.mu.Unlock()
		u.openConns.Add(1)
		go func() {
			defer u.openConns.Add(-1)
			defer func() { _ = nc.Close() }()
			u.serve(nc)
		}()
	}
}

// close stops the upstream and waits until nothing runs any more.
func (u *scriptedUpstream) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	for nc := range u.conns {
		_ = nc.Close()
	}
	u.mu.Unlock()
	for u.openConns.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

const lateDelay = 15 * time.Millisecond

func (u *scriptedUpstream) serve(nc net.Conn) {
	br := bufio.NewReader(nc)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		c := u.next()
		if c == closesBeforeRead {
			return
		}
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !u.respond(nc, r.Header.Get(u.names.RequestID), c) {
			return
		}
	}
}

// respond performs one action and reports whether the connection stays open.
func (u *scriptedUpstream) respond(nc net.Conn, id string, c action) bool {
	delay, stated := u.arrived()
	time.Sleep(delay)
	write := func(status int, id, fields, body string, length int) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 %d X\r\n%s: %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, u.names.RequestID, id, stated, fields, length, body)
	}
	signed := u.names.Signature + ": 1\r\n"
	notRun := u.names.NotRun + ": 1\r\n"
	body := "ran " + id
	switch c {
	case closesBeforeRun:
		return false
	case sheds:
		write(http.StatusServiceUnavailable, id, notRun, "", 0)
		return true
	case misdirected:
		write(http.StatusMisdirectedRequest, id, notRun, "", 0)
		return true
	case claimsNotRun:
		u.runs.add(id)
		write(http.StatusServiceUnavailable, id, notRun, "", 0)
		return true
	case runsLate:
		time.Sleep(lateDelay)
	}
	u.runs.add(id)
	switch c {
	case runsAndCloses:
		return false
	case hangs:
		_, _ = io.Copy(io.Discard, nc) // until the node closes the connection
		return false
	case answers500:
		write(http.StatusInternalServerError, id, signed, "", 0)
		return true
	case answersMalformed:
		write(http.StatusOK, id, signed+"Transfer-Encoding : chunked\r\n", body, len(body))
		return true
	case claimsNotRunMalformed:
		write(http.StatusServiceUnavailable, id, notRun+"X Odd: 1\r\n", "", 0)
		return true
	case truncates:
		write(http.StatusOK, id, signed, body, len(body)+10)
		return false
	case answersTwiceWithoutID:
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", signed, len(body), body)
		go func() {
			time.Sleep(lateDelay)
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", signed, len(body), body)
		}()
		return true
	case answersTwice:
		write(http.StatusOK, id, signed, body, len(body))
	case answersOtherFirst:
		write(http.StatusOK, "other", signed, "ran other", len("ran other"))
	case answersAndCloses:
		write(http.StatusOK, id, signed+"Connection: close\r\n", body, len(body))
		return false
	}
	write(http.StatusOK, id, signed, body, len(body))
	return true
}
