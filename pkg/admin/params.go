package admin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// Page sizes of lists.
const (
	defaultLimit = 100
	maxLimit     = 500
)

// maxParameter bounds one query parameter, in bytes.
const maxParameter = 4096

// checkParams refuses query parameters that the request does not have, so that
// a misspelt one is not ignored.
func checkParams(c echo.Context, known ...string) error {
	for name, values := range c.QueryParams() {
		if !slices.Contains(known, name) {
			accepted := "none"
			if len(known) > 0 {
				accepted = strings.Join(known, ", ")
			}
			return newProblem(http.StatusBadRequest, fmt.Sprintf("unknown query parameter %q (accepted: %s)", name, accepted))
		}
		if len(values) > 1 || len(values[0]) > maxParameter {
			return newProblem(http.StatusBadRequest, fmt.Sprintf("query parameter %q must be stated once, with at most %d bytes", name, maxParameter))
		}
	}
	return nil
}

func limitParam(c echo.Context) (int, error) {
	text := c.QueryParam("limit")
	if text == "" {
		return defaultLimit, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxLimit {
		return 0, newProblem(http.StatusBadRequest, fmt.Sprintf("limit %q is not accepted (accepted: 1 to %d)", text, maxLimit))
	}
	return n, nil
}

// versionParam parses a version number; an empty text is version 0 when
// optional.
func versionParam(name, text string, optional bool) (model.Version, error) {
	if text == "" && optional {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil || (n == 0 && !optional) {
		return 0, newProblem(http.StatusBadRequest, fmt.Sprintf("%s %q is not a version number", name, text))
	}
	return model.Version(n), nil
}

// bareTag returns an entity tag without the quotes of its header form. Bodies
// and messages show tags in this form.
func bareTag(tag string) string {
	return strings.Trim(tag, `"`)
}

func quoteTag(bare string) string {
	return `"` + bare + `"`
}

// checkTag accepts one strong entity tag in its header form.
func checkTag(header string) error {
	bare := bareTag(header)
	if bare == "" || header != quoteTag(bare) || strings.ContainsAny(bare, `", `) {
		return newProblem(http.StatusBadRequest, fmt.Sprintf("If-Match %s is not accepted (accepted: one strong entity tag in double quotes)", header))
	}
	return nil
}
