package contain

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
)

// Guards against a panic in one handler that ends the process.
func TestMiddlewareRespondsAfterPanic(t *testing.T) {
	is := is.New(t)
	g := New(zap.NewNop(), prometheus.NewRegistry())
	e := echo.New()
	e.Use(g.Middleware)
	e.GET("/bad", func(echo.Context) error { panic("fault") })
	e.GET("/good", func(c echo.Context) error { return c.NoContent(http.StatusNoContent) })
	for path, status := range map[string]int{"/bad": http.StatusInternalServerError, "/good": http.StatusNoContent} {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		is.Equal(w.Code, status)
	}
	is.Equal(testutil.ToFloat64(g.panics.WithLabelValues("/bad")), 1.0)
}

// Guards against a loop that ends after a panic in one step, and against one that
// drops the error with which its function returns.
func TestLoopRestartsAfterPanic(t *testing.T) {
	is := is.New(t)
	var g *Guard
	end := errors.New("end")
	runs := 0
	err := g.Loop("loop", func(context.Context) error {
		if runs++; runs == 1 {
			panic("fault")
		}
		return end
	})(t.Context())
	is.Equal(err, end)
	is.Equal(runs, 2)

	ctx, cancel := context.WithCancel(t.Context())
	is.NoErr(g.Loop("loop", func(context.Context) error {
		cancel()
		panic("fault")
	})(ctx))
}
