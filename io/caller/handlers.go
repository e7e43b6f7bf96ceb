package caller

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"skylarkstand/core"
	"skylarkstand/core/admission"
	"skylarkstand/core/declaration"
	"skylarkstand/core/dispatch"
	"skylarkstand/core/session"
	"skylarkstand/io/response"
)

func (srv *Server) chat(rq *restful.Request, rs *restful.Response) {
	id := requestID(rq.Request)
	rs.Header().Set(HeaderRequest, string(id))
	if err := srv.serveChat(rs.ResponseWriter, rq.Request, id); err != nil {
		srv.refuse(rs.ResponseWriter, id, err)
	}
}

func (srv *Server) serveChat(w http.ResponseWriter, rq *http.Request, id core.RequestID) error {
	ws, dr, err := srv.parseCommon(w, rq, id)
	if err != nil {
		return err
	}
	if err := parseChat(dr); err != nil {
		return err
	}
	pin, se, err := srv.readSession(rq, ws.ID, id)
	if err != nil {
		return err
	}
	dr.Session = se
	po, err := srv.chatPool(dr)
	if err != nil {
		return err
	}
	return srv.run(w, rq, id, po, ws, dr, func(ctx context.Context) (*dispatch.Outcome, error) {
		out, err := srv.dis.Chat(ctx, dr)
		if err == nil {
			srv.setVersion(w.Header(), pin, rq.Header.Get(HeaderSession) != "", out)
		}
		return out, err
	})
}

// run admits a request to its pool, executes it and relays the outcome.
func (srv *Server) run(w http.ResponseWriter, rq *http.Request, id core.RequestID, po admission.Pool, ws *declaration.Workspace,
	dr *dispatch.Request, execute func(context.Context) (*dispatch.Outcome, error),
) error {
	if err := srv.checkStopping(dr.Deadline); err != nil {
		return err
	}
	ctx, cancel := withDeadline(rq.Context(), dr.Deadline)
	defer cancel()
	ad, err := srv.admit(ctx, po, ws, dr)
	if err != nil {
		return stopped(ctx, err)
	}
	defer ad.release()
	out, err := execute(ctx)
	if err != nil {
		return stopped(ctx, err)
	}
	defer out.Close()
	if err = srv.relay(ctx, w, id, out, dr.Stream, ad); errors.Is(err, errCut) {
		response.Abort(w, rq)
	}
	return err
}

// ErrStopping is the cause when requests in flight are canceled at the end of a planned stop.
var ErrStopping = errors.New("the process is stopping")

// stopped returns the failure of a request: at the end of a planned stop it is not its caller that has left.
func stopped(ctx context.Context, err error) error {
	if !errors.Is(context.Cause(ctx), ErrStopping) {
		return err
	}
	if asFailure(err).Ran == core.NotRun {
		return core.Refuse(core.CodeLeaving, time.Second, "the process stopped before the request was run")
	}
	return core.OutcomeUnknown("the process stopped before the answer was whole")
}

func withDeadline(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	if limit == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, limit)
}

// setVersion sets the headers that keep the session on its version, and records the version for
// the next request of a session that the caller named.
func (srv *Server) setVersion(hd http.Header, pin session.Pin, named bool, out *dispatch.Outcome) {
	recorded := pin.Versions[out.Target.Model] == out.Target.Version
	pin.Versions = maps.Clone(pin.Versions)
	if pin.Versions == nil {
		pin.Versions = session.Versions{}
	}
	pin.Versions[out.Target.Model] = out.Target.Version
	if named && !recorded {
		srv.sessions.Record(session.Key{Workspace: pin.Workspace, Session: pin.Session}, pin.Versions)
	}
	hd.Set(HeaderVersion, out.Target.String())
	hd.Set(HeaderPin, srv.keys.Sign(pin))
	if out.Repinned {
		hd.Set(HeaderRepinned, "true")
	}
}

func (srv *Server) call(rq *restful.Request, rs *restful.Response) {
	id := requestID(rq.Request)
	rs.Header().Set(HeaderRequest, string(id))
	sv, op := core.ServiceID(rq.PathParameter("service")), core.OperationID(rq.PathParameter("operation"))
	if err := srv.serveCall(rs.ResponseWriter, rq.Request, id, sv, op); err != nil {
		srv.refuse(rs.ResponseWriter, id, err)
	}
}

func (srv *Server) serveCall(w http.ResponseWriter, rq *http.Request, id core.RequestID, sv core.ServiceID, op core.OperationID) error {
	ws, dr, err := srv.parseCommon(w, rq, id)
	if err != nil {
		return err
	}
	dr.Service, dr.Operation, dr.IdempotencyKey = sv, op, rq.Header.Get(headerIdempotency)
	if len(dr.IdempotencyKey) > maxKeyLength {
		return core.Refuse(core.CodeBadRequest, 0, "the header %s is longer than %d bytes", headerIdempotency, maxKeyLength)
	}
	po, err := srv.servicePool(ws.ID, dr)
	if err != nil {
		return err
	}
	return srv.run(w, rq, id, po, ws, dr, func(ctx context.Context) (*dispatch.Outcome, error) { return srv.dis.Call(ctx, dr) })
}
