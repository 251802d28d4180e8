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

// conduct is what a scripted upstream does with one request.
type conduct string

const (
	answers      conduct = "answers"
	answersLast  conduct = "answers and closes the connection"
	answersTwice conduct = "answers twice"
	answersOther conduct = "answers to another request first"
	answersLate  conduct = "runs late and answers"
	losesAnswer  conduct = "runs and closes the connection"
	truncates    conduct = "breaks its answer off"
	fails        conduct = "answers 500"
	hangs        conduct = "runs and never answers"
	drops        conduct = "reads and closes without running"
	resets       conduct = "closes without reading"
	sheds        conduct = "says that it did not run the request"
	misdirected  conduct = "is another boot"
	// namesNone breaks the users' protocol: the answer names no request, and a
	// second copy of it follows late.
	namesNone conduct = "answers twice without the id of the request"
	// liesAboutRun breaks the users' protocol; only the proof that the check
	// notices it uses it.
	liesAboutRun conduct = "runs and says that it did not"
)

// honest are the conducts that the users' pages permit.
var honest = []conduct{
	answers, answers, answersLast, answersTwice, answersOther, answersLate, losesAnswer, truncates, fails, hangs, drops, resets,
	sheds, misdirected,
}

// ledger counts the runs of each request at all upstreams.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// scripted is an upstream that follows a script, one conduct a request, and
// answers when the script has ended.
type scripted struct {
	listener net.Listener
	ledger   *ledger
	names    HeaderNames
	open     atomic.Int64 // connections

	mu     sync.Mutex
	script []conduct
	conns  map[net.Conn]bool
}

func newScripted(l *ledger, names HeaderNames) *scripted {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	u := &scripted{listener: listener, ledger: l, names: names, conns: make(map[net.Conn]bool)}
	go u.accept()
	return u
}

func (u *scripted) follow(c ...conduct) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.script = append(u.script, c...)
}

func (u *scripted) next() conduct {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.script) == 0 {
		return answers
	}
	c := u.script[0]
	u.script = u.script[1:]
	return c
}

func (u *scripted) accept() {
	for {
		nc, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[nc] = true
		u.mu.Unlock()
		u.open.Add(1)
		go func() {
			defer u.open.Add(-1)
			defer func() { _ = nc.Close() }()
			u.serve(nc)
		}()
	}
}

// close ends the upstream and waits until nothing runs any more.
func (u *scripted) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	for nc := range u.conns {
		_ = nc.Close()
	}
	u.mu.Unlock()
	for u.open.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

const lateRun = 15 * time.Millisecond

func (u *scripted) serve(nc net.Conn) {
	br := bufio.NewReader(nc)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		c := u.next()
		if c == resets {
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

// respond follows one conduct and reports whether the connection stays.
func (u *scripted) respond(nc net.Conn, id string, c conduct) bool {
	write := func(status int, id, fields, body string, length int) {
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, u.names.RequestID, id, fields, length, body)
	}
	signed := u.names.Signature + ": 1\r\n"
	notRun := u.names.NotRun + ": 1\r\n"
	body := "ran " + id
	switch c {
	case drops:
		return false
	case sheds:
		write(http.StatusServiceUnavailable, id, notRun, "", 0)
		return true
	case misdirected:
		write(http.StatusMisdirectedRequest, id, notRun, "", 0)
		return true
	case liesAboutRun:
		u.ledger.add(id)
		write(http.StatusServiceUnavailable, id, notRun, "", 0)
		return true
	case answersLate:
		time.Sleep(lateRun)
	}
	u.ledger.add(id)
	switch c {
	case losesAnswer:
		return false
	case hangs:
		_, _ = io.Copy(io.Discard, nc) // until the node gives up
		return false
	case fails:
		write(http.StatusInternalServerError, id, signed, "", 0)
		return true
	case truncates:
		write(http.StatusOK, id, signed, body, len(body)+10)
		return false
	case namesNone:
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", signed, len(body), body)
		go func() {
			time.Sleep(lateRun)
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 X\r\n%sContent-Length: %d\r\n\r\n%s", signed, len(body), body)
		}()
		return true
	case answersTwice:
		write(http.StatusOK, id, signed, body, len(body))
	case answersOther:
		write(http.StatusOK, "other", signed, "ran other", len("ran other"))
	case answersLast:
		write(http.StatusOK, id, signed+"Connection: close\r\n", body, len(body))
		return false
	}
	write(http.StatusOK, id, signed, body, len(body))
	return true
}
