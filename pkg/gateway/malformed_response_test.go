package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/shaping"
	"github.com/lentilflow/lentilflow/pkg/upstream"
)

// malformedResponses are responses to the request with an ID whose heads are malformed.
func malformedResponses(id string) map[string]string {
	const body = "0123456789"
	signed := fmt.Sprintf("%s: %s\r\n%s: 1\r\n", testNames.RequestID, id, testNames.Signature)
	notRun := fmt.Sprintf("%s: %s\r\n%s: 1\r\n", testNames.RequestID, id, testNames.NotRun)
	return map[string]string{
		"blank in a name":           "HTTP/1.1 200 X\r\n" + signed + "X Odd: 1\r\nContent-Length: 10\r\n\r\n" + body,
		"blank after a name":        "HTTP/1.1 200 X\r\n" + signed + "X-Odd : 1\r\nContent-Length: 10\r\n\r\n" + body,
		"blank after a length":      "HTTP/1.1 200 X\r\n" + signed + "Content-Length : 10\r\n\r\n" + body + "more",
		"blank after a coding":      "HTTP/1.1 200 X\r\n" + signed + "Transfer-Encoding : chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n",
		"folded length":             "HTTP/1.1 200 X\r\n" + signed + "X-Odd: 1\r\n\tContent-Length: 10\r\n\r\n" + body + "more",
		"line feed before a length": "HTTP/1.1 200 X\r\n" + signed + "\nContent-Length: 10\r\n\r\n" + body,
		"control byte in a name":    "HTTP/1.1 200 X\r\n" + signed + "X-\x01Odd: 1\r\nContent-Length: 10\r\n\r\n" + body,
		"status 000":                "HTTP/1.1 000 X\r\n" + signed + "Content-Length: 10\r\n\r\n" + body,
		"response in status 000":    "HTTP/1.1 000 X\r\n" + signed + "\r\nHTTP/1.1 200 X\r\n" + signed + "Content-Length: 10\r\n\r\n" + body,
		"status 099":                "HTTP/1.1 099 X\r\n" + signed + "\r\nHTTP/1.1 200 X\r\n" + signed + "Content-Length: 10\r\n\r\n" + body,
		"status 999":                "HTTP/1.1 999 X\r\n" + signed + "Content-Length: 10\r\n\r\n" + body,
		"failure":                   "HTTP/1.1 500 X\r\n" + signed + "X Odd: 1\r\nContent-Length: 0\r\n\r\n",
		"not run":                   "HTTP/1.1 503 X\r\n" + notRun + "X Odd: 1\r\nContent-Length: 0\r\n\r\n",
		"not run, other boot":       "HTTP/1.1 421 X\r\n" + notRun + "X Odd: 1\r\nContent-Length: 0\r\n\r\n",
		"not run in an odd name":    "HTTP/1.1 503 X\r\n" + strings.Replace(notRun, testNames.NotRun+":", testNames.NotRun+" :", 1) + "Content-Length: 0\r\n\r\n",
	}
}

// Guards against a response with a malformed head that reaches the caller, through one node
// and through two. The upstream has run the request, which may run once only: the caller must
// be told that it may have run, whatever the response says.
func TestMalformedResponseIsNotDelivered(t *testing.T) {
	for name, response := range malformedResponses("b") {
		for nodes := 1; nodes <= 2; nodes++ {
			t.Run(fmt.Sprintf("%s nodes=%d", name, nodes), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address, runs := rawUpstream(t, response, true)
				status, body, err := sendOnce(nodesBefore(t, address, nodes))
				is.NoErr(err)
				is.Equal(status, http.StatusBadGateway)
				is.True(!strings.Contains(body, "0123456789"))
				is.Equal(runs.Load(), int64(1))
			})
		}
	}
}

// Guards against what a malformed response states about its upstream: that it leaves, and
// its rate limit. The response to a health check must not confirm a boot either.
func TestStatementsOfMalformedResponsesAreIgnored(t *testing.T) {
	is := is.New(t)
	head := fmt.Sprintf("HTTP/1.1 200 X\r\n%s: 1\r\n%s: boot\r\n%s: 1\r\n%s: 1\r\n%s: 0.5\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n",
		testNames.RequestID, testNames.Boot, testNames.Signature, testNames.Leaving, testNames.RateLimit)
	address, runs := rawUpstream(t, head, false)
	l := newTestLocal(t, address, shaping.NewLink(0), 1)
	_, refusal := l.Run(t.Context(), downloadAttempt(time.Minute))
	is.True(refusal != nil)
	is.Equal(refusal.RunState, model.RunUnknown)
	is.True(l.Serving())
	is.Equal(l.RateLimit(), -1.0)
	c := testConfiguration(injectedFault{})
	c.Services[0].HealthPath = "/health"
	l = newUnreportedLocal(t, address, shaping.NewLink(0), c, true)
	before := runs.Load()
	is.Equal(l.Report(upstream.Report{ID: "boot", Start: upstream.StartedAt(1), Sequence: 1, Service: testService, Slots: 1}), upstream.Unverified)
	for end := time.Now().Add(5 * time.Second); runs.Load() == before && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	_, ok := l.queryBoot()
	is.True(!ok)
	is.True(!l.Serving())
}

// Guards against a faulty upstream that an operator cannot find.
func TestMalformedResponseIsCountedAndLogged(t *testing.T) {
	is := is.New(t)
	address, _ := rawUpstream(t, malformedResponses("1")["blank in a name"], true)
	l := newTestLocal(t, address, shaping.NewLink(0), 1)
	core, lines := observer.New(zap.WarnLevel)
	l.Log = zap.New(core)
	_, refusal := l.Run(t.Context(), downloadAttempt(time.Minute))
	is.True(refusal != nil)
	is.Equal(testutil.ToFloat64(l.Metrics.malformed), 1.0)
	is.Equal(lines.Len(), 1)
	fields := lines.All()[0].ContextMap()
	is.Equal(fields["upstream"], address)
	is.Equal(fields["boot"], "boot")
	is.Equal(fields["error"], `malformed response: field name "X Odd" is no token`)
}

// Guards against a malformed response of another node: its refusal would say that the request
// has not run, and its answer would be delivered.
func TestMalformedResponseOfNodeIsNotUsed(t *testing.T) {
	for name, field := range map[string]string{
		"refusal": headerRefusal + ": " + newRefusal(model.Overloaded).String(),
		"answer":  headerAnswer + ": upstream 0 1",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, odd := range []string{"", "X Odd: 1\r\n"} {
				r := NewRemote("n", testNames, config.NewHolder())
				address, _ := rawUpstream(t, fmt.Sprintf("HTTP/1.1 200 X\r\n%s\r\n%s: n/1\r\n%sContent-Length: 0\r\n\r\n", field, headerAttempt, odd), false)
				res, refusal := r.Run(t.Context(), address, downloadAttempt(time.Minute))
				if odd == "" { // the same response is used without the malformed name
					is.True((refusal != nil) == (name == "refusal"))
					is.True(refusal == nil || refusal.RunState == model.NotRun)
				} else {
					is.True(refusal != nil)
					is.Equal(refusal.RunState, model.RunUnknown)
				}
				if res != nil {
					res.Finish(true)
				}
			}
		})
	}
}
