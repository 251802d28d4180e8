package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lentilflow/lentilflow/pkg/publisher"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// ProblemType is the media type of RFC 9457 problem details.
const ProblemType = "application/problem+json"

// Problem holds the problem details (RFC 9457) of a refused request. It is
// the error type of this package.
type Problem struct {
	Type   string        `json:"type"`
	Title  string        `json:"title"`
	Status int           `json:"status"`
	Detail string        `json:"detail,omitempty"`
	ETag   string        `json:"etag,omitempty"`   // current tag of the rules file, on a conflict
	Faults []rules.Fault `json:"faults,omitempty"` // of a refused rules file
}

// Error returns the detail, or the title if there is none.
func (p *Problem) Error() string {
	if p.Detail != "" {
		return p.Detail
	}
	return p.Title
}

func newProblem(status int, detail string) *Problem {
	return &Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail}
}

// problemFrom translates errors of the version history and of echo.
func problemFrom(err error) *Problem {
	var p *Problem
	var h *echo.HTTPError
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &h):
		detail, _ := h.Message.(string)
		if detail == http.StatusText(h.Code) {
			detail = ""
		}
		return newProblem(h.Code, detail)
	case errors.Is(err, publisher.ErrNotFound):
		return newProblem(http.StatusNotFound, "not found in the version history")
	case errors.Is(err, publisher.ErrRefused):
		return newProblem(http.StatusUnprocessableEntity, "the rules file fails the check; nothing was changed")
	case errors.Is(err, publisher.ErrConflict):
		return newProblem(http.StatusPreconditionFailed, "the rules file has been changed by someone else; nothing was changed")
	case errors.Is(err, publisher.ErrTooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, "the rules file is larger than 1 MiB")
	case errors.Is(err, publisher.ErrOutcomeUnknown):
		return newProblem(http.StatusServiceUnavailable, "the platform store did not answer; read the rules file again before the next put")
	case errors.Is(err, publisher.ErrUnavailable):
		return newProblem(http.StatusServiceUnavailable, "the platform store is unavailable; nothing was changed")
	case errors.Is(err, context.DeadlineExceeded):
		return newProblem(http.StatusServiceUnavailable, "the request took longer than the time limit of the administration API")
	default:
		return newProblem(http.StatusInternalServerError, err.Error())
	}
}

// writeError is the error handler of the echo server.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	p := problemFrom(err)
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte(`{"type":"about:blank","title":"Internal Server Error","status":500}`)
	}
	if p.ETag != "" {
		c.Response().Header().Set("ETag", quoteTag(p.ETag))
	}
	// An error here means that the client has left.
	_ = c.Blob(p.Status, ProblemType, body)
}
