package admin

import (
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/lentilflow/lentilflow/pkg/publisher"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// commands holds the handlers that change something.
type commands struct {
	cfg Config
}

// putRules replaces the rules file. The publisher accepts it afterwards and
// checks it again, because other tools can write the file as well.
func (s *commands) putRules(c echo.Context) error {
	if err := checkParams(c); err != nil {
		return err
	}
	ifMatch, err := precondition(c.Request().Header)
	if err != nil {
		return err
	}
	text, err := readBody(c)
	if err != nil {
		return err
	}
	tag, faults, err := s.cfg.Rules.PutRules(c.Request().Context(), text, ifMatch)
	if err != nil {
		p := problemFrom(err)
		p.Faults = faults
		if errors.Is(err, publisher.ErrConflict) {
			p.ETag = bareTag(tag)
		}
		return p
	}
	s.cfg.Nudge()
	c.Response().Header().Set("ETag", tag)
	return c.JSON(http.StatusOK, PutResult{ETag: bareTag(tag)})
}

// precondition returns the tag that the rules file must have, with its quotes,
// or an empty one if there must be no file. A put without a precondition is
// refused, because it could undo an edit of someone else.
func precondition(h http.Header) (string, error) {
	match, none := h.Get("If-Match"), h.Get("If-None-Match")
	switch {
	case match != "" && none == "":
		return match, checkTag(match)
	case match == "" && none == "*":
		return "", nil
	default:
		return "", newProblem(http.StatusPreconditionRequired, "state If-Match with the entity tag of the rules file, or If-None-Match: * for the first one")
	}
}

func readBody(c echo.Context) ([]byte, error) {
	r := http.MaxBytesReader(c.Response(), c.Request().Body, rules.MaxSize)
	text, err := io.ReadAll(r)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newProblem(http.StatusRequestEntityTooLarge, "the rules file is larger than 1 MiB")
	}
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, "the request body could not be read")
	}
	return text, nil
}
