// Package caller is an entry's side towards its callers: HTTP in the shape of
// the OpenAI-compatible chat completions API, and calls of plain services.
//
// # Usage
//
//	srv := caller.New(deps, inForce, dispatcher, keyring, caller.MaxBody(1<<20))
//	http.Serve(listener, srv)
//	srv.Leave()   // readyz fails from now on
package caller

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"

	"skylarkstand/core"
	"skylarkstand/core/admission"
	"skylarkstand/core/declaration"
	"skylarkstand/core/dispatch"
	"skylarkstand/core/session"
)

// Server answers callers. It is safe for concurrent use.
type Server struct {
	deps     core.Deps
	inf      *declaration.InForce
	dis      *dispatch.Dispatcher
	keys     *session.Keyring
	maxBody  int64
	metrics  http.Handler
	cont     *restful.Container
	sessions Sessions
	leaving  atomic.Bool
	flying   atomic.Int64
	limit    int64
	fresh    time.Duration
	gate     *admission.Gate
}

// Option changes a Server at construction.
type Option func(*Server)

// MaxBody bounds a request's body in bytes.
func MaxBody(n int64) Option { return func(srv *Server) { srv.maxBody = n } }

// MaxInFlight bounds the requests in this entry.
func MaxInFlight(n int64) Option { return func(srv *Server) { srv.limit = n } }

// Gate sets what admits requests before they are dispatched. Without one only
// MaxInFlight bounds them.
func Gate(gt *admission.Gate) Option { return func(srv *Server) { srv.gate = gt } }

// Sessions keeps the versions of sessions whose callers send an id and no
// token. Errors do not exist for it: what cannot be found begins anew.
type Sessions interface {
	Find(ctx context.Context, key session.Key) session.Versions
	Keep(key session.Key, vs session.Versions)
}

// WithSessions sets where the versions of sessions are held.
func WithSessions(se Sessions) Option { return func(srv *Server) { srv.sessions = se } }

// Freshness sets how old the last word of the newest configuration may be.
func Freshness(d time.Duration) Option { return func(srv *Server) { srv.fresh = d } }

// Metrics sets the page at /metrics.
func Metrics(ha http.Handler) Option { return func(srv *Server) { srv.metrics = ha } }

const (
	defaultMaxBody = 4 << 20
	defaultLimit   = 4096
	defaultFresh   = 20 * time.Second
)

// New returns a server.
func New(deps core.Deps, inf *declaration.InForce, dis *dispatch.Dispatcher, kr *session.Keyring, opts ...Option) *Server {
	srv := &Server{deps: deps, inf: inf, dis: dis, keys: kr, maxBody: defaultMaxBody, limit: defaultLimit, fresh: defaultFresh, metrics: http.NotFoundHandler()}
	srv.sessions = noSessions{}
	for _, opt := range opts {
		opt(srv)
	}
	srv.cont = restful.NewContainer()
	srv.cont.DoNotRecover(false)
	srv.cont.RecoverHandler(srv.recovered)
	ws := new(restful.WebService)
	ws.Path("/").Produces("application/json", "text/event-stream", "*/*").Consumes("*/*")
	ws.Route(ws.POST("/v1/chat/completions").To(srv.chat))
	ws.Route(ws.POST("/v1/services/{service}/{operation}").To(srv.call))
	ws.Route(ws.GET("/healthz").To(srv.healthz))
	ws.Route(ws.GET("/readyz").To(srv.readyz))
	ws.Route(ws.GET("/metrics").To(func(rq *restful.Request, rs *restful.Response) {
		srv.metrics.ServeHTTP(rs.ResponseWriter, rq.Request)
	}))
	srv.cont.Add(ws)
	return srv
}

// ServeHTTP implements [http.Handler].
func (srv *Server) ServeHTTP(w http.ResponseWriter, rq *http.Request) { srv.cont.ServeHTTP(w, rq) }

// Leave makes readyz fail, so that the platform's balancer sends no more.
func (srv *Server) Leave() { srv.leaving.Store(true) }

func (srv *Server) healthz(_ *restful.Request, rs *restful.Response) { rs.WriteHeader(http.StatusOK) }

func (srv *Server) readyz(_ *restful.Request, rs *restful.Response) {
	if srv.leaving.Load() || srv.inf.Current() == nil {
		rs.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rs.WriteHeader(http.StatusOK)
}

// noSessions holds nothing.
type noSessions struct{}

func (noSessions) Find(context.Context, session.Key) session.Versions { return nil }
func (noSessions) Keep(session.Key, session.Versions)                 {}
