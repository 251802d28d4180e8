package problem_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/problem"
)

// Guards against a reason without title or status, and against fields that
// are lost between writer and reader.
func TestEveryReasonSurvivesTheWire(t *testing.T) {
	for _, r := range model.Reasons() {
		is := is.New(t)
		d := problem.New(r, model.NotRun)
		is.True(d.Title != "") // every reason has a title
		d.Rule, d.Version, d.RetryAfter = "status", 7, 1500*time.Millisecond
		w := httptest.NewRecorder()
		is.NoErr(d.Write(w))
		is.Equal(w.Code, r.Status())
		is.Equal(w.Header().Get("Content-Type"), problem.ContentType)
		is.Equal(w.Header().Get("Retry-After"), "2")
		got, err := problem.Read(w.Body)
		is.NoErr(err)
		d.RetryAfter = 0 // travels as a header only
		is.Equal(got, d)
	}
}
