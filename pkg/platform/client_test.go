package platform_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/platform"
	standin "github.com/lentilflow/lentilflow/pkg/standin/platform"
)

func start(t *testing.T) (*standin.Server, *platform.TableClient, *platform.ObjectsClient) {
	t.Helper()
	server, err := standin.NewServer("127.0.0.1:0", standin.NewService(standin.Config{Seed: 1}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	cfg := platform.Config{URL: server.URL(), Timeout: 200 * time.Millisecond, ReadAttempts: 2}
	return server, platform.NewTable(cfg), platform.NewObjects(cfg)
}

func insert(key string) platform.Transaction {
	return platform.Transaction{
		Checks: []platform.Check{{Key: key}},
		Puts:   []platform.Put{{Key: key, Value: []byte(key)}},
	}
}

// Guards against a client and stand-in that disagree about paging, checks and
// revisions, in particular against a revision that repeats after a delete.
func TestTable(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	_, table, _ := start(t)
	_, err := table.Get(ctx, "a/1")
	is.True(errors.Is(err, platform.ErrNotFound))
	first, err := table.Commit(ctx, insert("a/1"))
	is.NoErr(err)
	_, err = table.Commit(ctx, insert("a/1"))
	is.True(errors.Is(err, platform.ErrConflict))
	_, err = table.Commit(ctx, platform.Transaction{Deletes: []string{"a/1"}})
	is.NoErr(err)
	for _, key := range []string{"a/1", "a/2", "a/3", "b/1"} {
		_, err = table.Commit(ctx, insert(key))
		is.NoErr(err)
	}
	again, err := table.Get(ctx, "a/1")
	is.NoErr(err)
	is.True(again.Revision > first[0].Revision)
	page, err := table.Scan(ctx, "a/", "a/1", 1)
	is.NoErr(err)
	is.Equal(len(page), 1)
	is.Equal(page[0].Key, "a/2")
}

// Guards against a conditional write that overwrites another operator's edit.
func TestObjects(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	_, _, objects := start(t)
	first, err := objects.Put(ctx, "rules/a b", []byte("one"), platform.IfAbsent)
	is.NoErr(err)
	_, err = objects.Put(ctx, "rules/a b", []byte("two"), platform.IfAbsent)
	is.True(errors.Is(err, platform.ErrConflict))
	second, err := objects.Put(ctx, "rules/a b", []byte("two"), first)
	is.NoErr(err)
	_, err = objects.Put(ctx, "rules/a b", []byte("three"), first)
	is.True(errors.Is(err, platform.ErrConflict))
	tag, err := objects.Head(ctx, "rules/a b")
	is.NoErr(err)
	is.Equal(tag, second)
	o, err := objects.Get(ctx, "rules/a b")
	is.NoErr(err)
	is.Equal(string(o.Body), "two")
}

// Guards against a write that took effect, or may still do so, being reported
// as without effect, and against the reverse.
func TestWriteOutcomes(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		fault   func(*standin.Server, *platform.TableClient)
		want    error
		applied bool
	}{
		"answer lost": {func(s *standin.Server, _ *platform.TableClient) { s.SetFaults(standin.Faults{LoseNext: 1}) }, platform.ErrOutcomeUnknown, true},
		"late": {func(s *standin.Server, _ *platform.TableClient) {
			s.SetFaults(standin.Faults{Delay: 300 * time.Millisecond})
		}, platform.ErrOutcomeUnknown, true},
		"refused": {func(s *standin.Server, _ *platform.TableClient) { s.SetFaults(standin.Faults{Down: true}) }, platform.ErrUnavailable, false},
		// The idle connection is dropped: a request written to it before its
		// end is noticed has an unknown outcome.
		"no listener": {func(s *standin.Server, t *platform.TableClient) { s.Stop(); t.Close() }, platform.ErrUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, table, _ := start(t)
			_, err := table.Commit(ctx, insert("warm")) // leaves a connection for reuse
			is.NoErr(err)
			c.fault(server, table)
			_, err = table.Commit(ctx, insert("row"))
			is.True(errors.Is(err, c.want))
			time.Sleep(200 * time.Millisecond)
			_, err = server.Rows.Get(ctx, "row")
			is.Equal(err == nil, c.applied)
		})
	}
}

// Guards against net/http repeating a write by itself: a server that closes a
// reused connection after reading the request must see the request once.
func TestWriteIsSentOnce(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	var seen atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && seen.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	objects := platform.NewObjects(platform.Config{URL: server.URL})
	_, err := objects.Put(ctx, "k", []byte("v"), "")
	is.NoErr(err)
	_, err = objects.Put(ctx, "k", []byte("v"), "")
	is.True(errors.Is(err, platform.ErrOutcomeUnknown))
	is.Equal(seen.Load(), int32(2))
}

// Guards against unlisted statuses, redirects and torn answers being taken for
// a definite outcome.
func TestUnclearAnswers(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	for _, answer := range []string{
		"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 307 X\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 X\r\nContent-Length: 99\r\n\r\n{\"rows\"",
		"HTTP/1.1 20",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 4096)
			_, _ = conn.Read(buffer)
			fmt.Fprint(conn, answer)
			_ = conn.Close()
		}()
		table := platform.NewTable(platform.Config{URL: "http://" + listener.Addr().String(), Timeout: time.Second})
		_, err = table.Commit(ctx, insert("k"))
		is.True(errors.Is(err, platform.ErrOutcomeUnknown)) // no definite outcome
		is.NoErr(listener.Close())
	}
}

// Guards against a limit that is not enforced, and reads that give up at the
// first refusal.
func TestLimitsAndReadRetry(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	service := standin.NewService(standin.Config{WritesPerSecond: 1})
	server, err := standin.NewServer("127.0.0.1:0", service)
	is.NoErr(err)
	defer server.Stop()
	table := platform.NewTable(platform.Config{URL: server.URL()})
	refused := 0
	for i := range 10 {
		if _, err := table.Commit(ctx, insert(fmt.Sprint(i))); errors.Is(err, platform.ErrUnavailable) {
			refused++
		}
	}
	is.True(refused >= 5)
	is.Equal(service.Counters().Refused, int64(refused))
	server.Stop()
	time.AfterFunc(20*time.Millisecond, func() { _ = server.Start() })
	retrying := platform.NewTable(platform.Config{URL: server.URL(), ReadAttempts: 20})
	_, err = retrying.Get(ctx, "0")
	is.NoErr(err)
}
