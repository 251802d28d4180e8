package admin

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

func (s *queries) explain(c echo.Context) error {
	if err := checkParams(c, "method", "url"); err != nil {
		return err
	}
	method := strings.ToUpper(c.QueryParam("method"))
	if method == "" || strings.ContainsFunc(method, func(r rune) bool { return r < 'A' || r > 'Z' }) {
		return newProblem(http.StatusBadRequest, fmt.Sprintf("method %q is not accepted (accepted: an HTTP method such as GET)", method))
	}
	target, err := url.Parse(c.QueryParam("url"))
	if err != nil || target.Host == "" || (target.Scheme != "http" && target.Scheme != "https") {
		return newProblem(http.StatusBadRequest, fmt.Sprintf("url %q is not accepted (accepted: http or https URL with host)", c.QueryParam("url")))
	}
	path := target.Path
	if path == "" {
		path = "/"
	}
	version, file := s.cfg.Router.InForce()
	if file == nil {
		return newProblem(http.StatusServiceUnavailable, "no version is in force in node "+string(s.cfg.Node))
	}
	decision := rules.Explain(file, method, target.Host, path)
	if decision.Winner == nil {
		return newProblem(http.StatusNotFound, fmt.Sprintf("version %d: %s", version, decision.Message))
	}
	rule := *decision.Winner
	x := Explanation{Node: s.cfg.Node, Version: version, Rule: rule, Passed: decision.Others}
	x.Nearest, x.Others = candidates(s.cfg.Location, rule.Prefer, s.cfg.Router.Usable(rule.Service))
	return c.JSON(http.StatusOK, x)
}

// candidates orders entries by distance from the node and splits off those
// that the preference puts first.
func candidates(from model.Location, prefer model.Preference, entries []model.Entry) (nearest, others []Candidate) {
	sorted := slices.Clone(entries)
	slices.SortFunc(sorted, func(a, b model.Entry) int {
		return cmp.Or(
			cmp.Compare(from.DistanceTo(a.Location), from.DistanceTo(b.Location)),
			cmp.Compare(a.Node, b.Node))
	})
	nearest = []Candidate{}
	for _, e := range sorted {
		candidate := Candidate{Node: e.Node, Location: e.Location, State: e.ServiceState().String()}
		if tier(from, prefer, e) == tier(from, prefer, sorted[0]) {
			nearest = append(nearest, candidate)
		} else {
			others = append(others, candidate)
		}
	}
	return nearest, others
}

// tier is the distance of e with the distances that prefer treats alike made
// equal.
func tier(from model.Location, prefer model.Preference, e model.Entry) model.Distance {
	d := from.DistanceTo(e.Location)
	switch prefer {
	case model.PreferAny:
		return model.SameZone
	case model.PreferRegion:
		if d == model.SameRegion {
			return model.SameZone
		}
	}
	return d
}
