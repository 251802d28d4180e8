package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// History reads the rules file and the versions accepted from it. Its errors
// are those of package publisher.
type History interface {
	// Rules returns the file that operators edit and its entity tag.
	Rules(ctx context.Context) (text []byte, etag string, err error)
	// Versions returns up to limit versions after the given one, in order.
	Versions(ctx context.Context, after model.Version, limit int) ([]model.VersionInfo, error)
	Version(ctx context.Context, n model.Version) (model.VersionedText, error)
	// Rejected returns why the rules file is refused, or ErrNotFound.
	Rejected(ctx context.Context) (model.Rejection, error)
}

// RulesWriter replaces the rules file, see publisher.Commands.
type RulesWriter interface {
	PutRules(ctx context.Context, text []byte, ifMatch string) (string, []rules.Fault, error)
}

// StoreMonitor tells since when the platform store cannot be reached.
type StoreMonitor interface {
	// Since returns the zero time if the last request was answered.
	Since() time.Time
}

// Router reads the routing state of the node.
type Router interface {
	// InForce returns the version that decides new calls; the file is nil
	// before the first one.
	InForce() (model.Version, *rules.File)
	// Entries returns the whole roster, Usable the entries of a service that
	// take calls.
	Entries() []model.Entry
	Usable(service string) []model.Entry
}

// NodeStates asks one node for its state.
type NodeStates interface {
	State(ctx context.Context, e model.Entry) (NodeState, error)
}

// NodeState is what a node says about itself.
type NodeState struct {
	Version   model.Version
	Heard     bool          // whether a heartbeat of the publisher ever arrived
	AsOfAge   time.Duration // since the publisher knew Version to be the newest
	Parent    model.NodeID  // empty while no stream is open
	Top       bool          // the node has no parent by its position
	Publisher bool
	Fault     string // why the node is not on the newest version, if it knows
}

// Config holds what the API needs from its node.
type Config struct {
	Node     model.NodeID
	Location model.Location
	Rules    RulesWriter
	History  History
	Store    StoreMonitor
	Router   Router
	States   NodeStates
	// Nudge tells a local publisher that the rules file has changed.
	Nudge func()
	// Missing says what keeps the node from being ready, empty if nothing.
	Missing func() []string
	Metrics http.Handler
	Timeout time.Duration // for one request
	Log     *zap.Logger
}

// APIHeader is on every answer of the administration API, so that a client can
// tell it from the other listeners of a node and from other servers.
const (
	APIHeader  = "Lentilflow-Api"
	APIVersion = "v1"
)

// New returns the handler of the administration listener.
func New(cfg Config) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = writeError
	e.Pre(markAnswers)
	e.Use(middleware.RecoverWithConfig(middleware.RecoverConfig{
		DisableErrorHandler: false,
		LogErrorFunc: func(_ echo.Context, err error, stack []byte) error {
			cfg.Log.Error("administration request failed", zap.Error(err), zap.ByteString("stack", stack))
			return err
		},
	}))
	e.Use(middleware.ContextTimeout(cfg.Timeout))

	q := &queries{cfg: cfg}
	v1 := e.Group("/v1")
	v1.GET("/status", q.status)
	v1.GET("/versions", q.versions)
	v1.GET("/versions/:n", q.version)
	v1.GET("/rules", q.rules)
	v1.GET("/upstreams", q.upstreams)
	v1.GET("/explain", q.explain)
	v1.GET("/rejected", q.rejected)

	c := &commands{cfg: cfg}
	v1.PUT("/rules", c.putRules)

	e.GET("/metrics", echo.WrapHandler(cfg.Metrics))
	e.GET("/healthz", q.health)
	e.GET("/readyz", q.ready)
	return e
}

// markAnswers sets APIHeader before the route is known, so that refusals carry
// it too.
func markAnswers(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set(APIHeader, APIVersion)
		return next(c)
	}
}
