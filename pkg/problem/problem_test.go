package problem_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/problem"
)

// Guards against reasons without a title or status, and against fields that are
// lost when details are encoded and decoded.
func TestDetailsRoundTripForEveryReason(t *testing.T) {
	for _, r := range model.Reasons() {
		is := is.New(t)
		d := problem.New(r, model.NotRun)
		is.True(d.Title != "") // every reason has a title
		is.Equal(d.Status, r.Status())
		d.Rule, d.Version = "status", 7
		text, err := json.Marshal(d)
		is.NoErr(err)
		var got problem.Details
		is.NoErr(json.Unmarshal(text, &got))
		is.Equal(got, d)
	}
}
