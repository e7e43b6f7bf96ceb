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
	"net/http"
	"sync/atomic"

	"github.com/emicklei/go-restful/v3"

	"skylarkstand/core"
	"skylarkstand/core/admission"
	"skylarkstand/core/declaration"
	"skylarkstand/core/dispatch"
	"skylarkstand/core/session"
)

// Server answers callers. It is safe for concurrent use.
type Server struct {
	deps    core.Deps
	inf     *declaration.InForce
	dis     *dispatch.Dispatcher
	keys    *session.Keyring
	maxBody int64
	metrics http.Handler
	status  func() any
	cont    *restful.Container
	leaving atomic.Bool
	flying  atomic.Int64
	limit   int64
	gate    *admission.Gate
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

// Metrics sets the page at /metrics.
func Metrics(ha http.Handler) Option { return func(srv *Server) { srv.metrics = ha } }

// Status sets what GET /status shows to operators.
func Status(fn func() any) Option { return func(srv *Server) { srv.status = fn } }

const (
	defaultMaxBody = 4 << 20
	defaultLimit   = 4096
)

// New returns a server.
func New(deps core.Deps, inf *declaration.InForce, dis *dispatch.Dispatcher, kr *session.Keyring, opts ...Option) *Server {
	srv := &Server{deps: deps, inf: inf, dis: dis, keys: kr, maxBody: defaultMaxBody, limit: defaultLimit, metrics: http.NotFoundHandler()}
	for _, opt := range opts {
		opt(srv)
	}
	srv.cont = restful.NewContainer()
	srv.cont.DoNotRecover(false)
	ws := new(restful.WebService)
	ws.Path("/").Produces("application/json", "text/event-stream", "*/*").Consumes("*/*")
	ws.Route(ws.POST("/v1/chat/completions").To(srv.chat))
	ws.Route(ws.POST("/v1/services/{service}/{operation}").To(srv.call))
	ws.Route(ws.GET("/healthz").To(srv.healthz))
	ws.Route(ws.GET("/readyz").To(srv.readyz))
	ws.Route(ws.GET("/metrics").To(func(rq *restful.Request, rs *restful.Response) {
		srv.metrics.ServeHTTP(rs.ResponseWriter, rq.Request)
	}))
	ws.Route(ws.GET("/status").To(srv.showStatus))
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

func (srv *Server) showStatus(_ *restful.Request, rs *restful.Response) {
	if srv.status == nil {
		rs.WriteHeader(http.StatusNotFound)
		return
	}
	_ = rs.WriteAsJson(srv.status())
}
