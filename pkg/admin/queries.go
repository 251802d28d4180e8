package admin

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/publisher"
)

// queries holds the handlers that only read.
type queries struct {
	cfg Config
}

func (s *queries) versions(c echo.Context) error {
	if err := checkParams(c, "after", "limit"); err != nil {
		return err
	}
	after, err := versionParam("after", c.QueryParam("after"), true)
	if err != nil {
		return err
	}
	limit, err := limitParam(c)
	if err != nil {
		return err
	}
	// One more than asked for tells whether there is another page.
	infos, err := s.cfg.History.Versions(c.Request().Context(), after, limit+1)
	if err != nil {
		return err
	}
	for i := range infos {
		infos[i].ETag = bareTag(infos[i].ETag)
	}
	next := func(v model.VersionInfo) string { return strconv.FormatUint(uint64(v.Number), 10) }
	return c.JSON(http.StatusOK, pageOf(infos, limit, next))
}

func (s *queries) version(c echo.Context) error {
	if err := checkParams(c); err != nil {
		return err
	}
	n, err := versionParam("version", c.Param("n"), false)
	if err != nil {
		return err
	}
	v, err := s.cfg.History.Version(c.Request().Context(), n)
	if errors.Is(err, publisher.ErrNotFound) {
		return newProblem(http.StatusNotFound, "version "+c.Param("n")+" does not exist")
	}
	if err != nil {
		return err
	}
	v.Info.ETag = bareTag(v.Info.ETag)
	return c.JSON(http.StatusOK, VersionWithText{VersionInfo: v.Info, Text: string(v.Text)})
}

func (s *queries) rules(c echo.Context) error {
	if err := checkParams(c); err != nil {
		return err
	}
	text, tag, err := s.cfg.History.Rules(c.Request().Context())
	if errors.Is(err, publisher.ErrNotFound) {
		return newProblem(http.StatusNotFound, "there is no rules file yet")
	}
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", tag)
	return c.JSON(http.StatusOK, RulesFile{ETag: bareTag(tag), Text: string(text)})
}

func (s *queries) rejected(c echo.Context) error {
	if err := checkParams(c); err != nil {
		return err
	}
	r, err := s.lastRejection(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, Rejected{Rejection: r})
}

// lastRejection returns nil if the rules file is not refused.
func (s *queries) lastRejection(ctx context.Context) (*model.Rejection, error) {
	r, err := s.cfg.History.Rejected(ctx)
	if errors.Is(err, publisher.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	r.ETag = bareTag(r.ETag)
	return &r, nil
}

func (s *queries) upstreams(c echo.Context) error {
	if err := checkParams(c, "service", "after", "limit"); err != nil {
		return err
	}
	limit, err := limitParam(c)
	if err != nil {
		return err
	}
	service, after := c.QueryParam("service"), c.QueryParam("after")
	var found []Upstream
	for _, e := range s.cfg.Router.Entries() {
		if (service == "" || e.Service == service) && string(e.Node) > after {
			found = append(found, upstreamOf(e))
		}
	}
	slices.SortFunc(found, func(a, b Upstream) int { return cmp.Compare(a.Node, b.Node) })
	return c.JSON(http.StatusOK, pageOf(found, limit, func(u Upstream) string { return string(u.Node) }))
}

func upstreamOf(e model.Entry) Upstream {
	return Upstream{
		Node:       e.Node,
		Service:    e.Service,
		State:      e.ServiceState().String(),
		Location:   e.Location,
		Address:    e.Address,
		Calls:      e.CallAddress,
		Admin:      e.AdminAddress,
		Slots:      e.Slots,
		Generation: e.Generation,
		Publisher:  e.Publisher,
	}
}

// health tells that the process answers.
func (s *queries) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// ready tells whether the node may take calls, and otherwise what is missing.
func (s *queries) ready(c echo.Context) error {
	if missing := s.cfg.Missing(); len(missing) > 0 {
		return newProblem(http.StatusServiceUnavailable, strings.Join(missing, "; "))
	}
	return c.String(http.StatusOK, "ready\n")
}

// pageOf cuts found to limit items and sets the cursor if some are left out.
func pageOf[T any](found []T, limit int, cursor func(T) string) Page[T] {
	p := Page[T]{Items: found}
	if p.Items == nil {
		p.Items = []T{}
	}
	if len(found) > limit {
		p.Items = found[:limit]
		p.Next = cursor(found[limit-1])
	}
	return p
}
