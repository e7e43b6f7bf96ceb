// Package caller is an entry's HTTP API for callers: OpenAI-compatible chat completions and
// calls of plain services.
//
// # Usage
//
//	srv := caller.New(deps, inForce, dispatcher, keyring, caller.MaxBody(1<<20))
//	http.Serve(listener, srv)
//	srv.StartDraining() // readyz fails from now on
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

// Server serves the requests of callers. It is safe for concurrent use.
type Server struct {
	deps     core.Deps
	inf      *declaration.InForce
	dis      *dispatch.Dispatcher
	keys     *session.Keyring
	maxBody  int64
	metrics  http.Handler
	cont     *restful.Container
	sessions SessionStore
	draining atomic.Bool
	// stopsAt is when the process stops, once late requests are checked against it.
	stopsAt      atomic.Pointer[time.Time]
	inFlight     atomic.Int64
	maxInFlight  int64
	maxConfigAge time.Duration
	gate         *admission.Gate
}

// Option configures a Server.
type Option func(*Server)

// MaxBody bounds a request's body in bytes.
func MaxBody(n int64) Option { return func(srv *Server) { srv.maxBody = n } }

// MaxInFlight bounds the number of requests in flight in this entry.
func MaxInFlight(n int64) Option { return func(srv *Server) { srv.maxInFlight = n } }

// Gate sets the admission control that requests pass before they are dispatched. Without it
// only MaxInFlight bounds them.
func Gate(gt *admission.Gate) Option { return func(srv *Server) { srv.gate = gt } }

// SessionStore stores the versions of sessions whose callers send an id but no token. It returns no
// errors: a session that cannot be found starts anew.
type SessionStore interface {
	Find(ctx context.Context, key session.Key) session.Versions
	Record(key session.Key, vs session.Versions)
}

// WithSessions sets the store for the versions of sessions.
func WithSessions(se SessionStore) Option { return func(srv *Server) { srv.sessions = se } }

// MaxConfigAge sets how long ago the configuration may have been confirmed as the newest before
// routing treats it as stale.
func MaxConfigAge(d time.Duration) Option { return func(srv *Server) { srv.maxConfigAge = d } }

// Metrics sets the handler of /metrics.
func Metrics(ha http.Handler) Option { return func(srv *Server) { srv.metrics = ha } }

const (
	defaultMaxBody      = 4 << 20
	defaultMaxInFlight  = 4096
	defaultMaxConfigAge = 20 * time.Second
)

// New returns a server that passes requests to dis.
func New(deps core.Deps, inf *declaration.InForce, dis *dispatch.Dispatcher, kr *session.Keyring, opts ...Option) *Server {
	srv := &Server{deps: deps, inf: inf, dis: dis, keys: kr, maxBody: defaultMaxBody, maxInFlight: defaultMaxInFlight, maxConfigAge: defaultMaxConfigAge, metrics: http.NotFoundHandler()}
	srv.sessions = noSessions{}
	for _, opt := range opts {
		opt(srv)
	}
	srv.cont = restful.NewContainer()
	srv.cont.DoNotRecover(false)
	srv.cont.RecoverHandler(srv.handlePanic)
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
func (srv *Server) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	if srv.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	srv.cont.ServeHTTP(w, rq)
}

// StartDraining makes readyz fail, so that the platform's load balancer sends no more requests, and callers use other
// connections for their next ones.
func (srv *Server) StartDraining() { srv.draining.Store(true) }

// RefuseLate refuses, from now on, the requests that may not end before the process stops.
func (srv *Server) RefuseLate(stopsAt time.Time) { srv.stopsAt.Store(&stopsAt) }

// checkStopping refuses a request whose time limit, 0 for none, is after the process's stop.
func (srv *Server) checkStopping(limit time.Duration) error {
	at := srv.stopsAt.Load()
	if at == nil || limit > 0 && limit < time.Until(*at) {
		return nil
	}
	return core.Refuse(core.CodeLeaving, time.Second, "the process is stopping")
}

func (srv *Server) healthz(_ *restful.Request, rs *restful.Response) { rs.WriteHeader(http.StatusOK) }

func (srv *Server) readyz(_ *restful.Request, rs *restful.Response) {
	if srv.draining.Load() || srv.inf.Current() == nil {
		rs.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rs.WriteHeader(http.StatusOK)
}

// noSessions stores nothing.
type noSessions struct{}

func (noSessions) Find(context.Context, session.Key) session.Versions { return nil }
func (noSessions) Record(session.Key, session.Versions)               {}
