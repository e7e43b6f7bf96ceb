package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/admission"
	"skylarkstand/core/declaration"
	"skylarkstand/core/dispatch"
	"skylarkstand/core/ledger"
	"skylarkstand/core/placement"
	"skylarkstand/core/routing"
)

// HeaderPriority orders a workspace's own requests: "high", "normal" or "low".
const HeaderPriority = "Skylarkstand-Priority"

// priority reads the priority of a request.
func priority(rq *http.Request) (admission.Priority, error) {
	switch rq.Header.Get(HeaderPriority) {
	case "", "normal":
		return admission.Normal, nil
	case "high":
		return admission.High, nil
	case "low":
		return admission.Low, nil
	default:
		return 0, core.Refuse(core.CodeBadRequest, 0, `the header %s must be "high", "normal" or "low"`, HeaderPriority)
	}
}

// admitted is a request's place in the entry.
type admitted struct {
	srv  *Server
	pass *admission.Pass
}

// admit waits until the request may start, or refuses it at once. The limit on
// the process comes first: it bounds the memory that bodies take, whatever
// the pools could still do.
func (srv *Server) admit(ctx context.Context, po admission.Pool, ws *declaration.Workspace, dr *dispatch.Request) (*admitted, error) {
	if srv.flying.Add(1) > srv.limit {
		srv.flying.Add(-1)
		return nil, core.Refuse(core.CodeOverloaded, time.Second, "too many requests are in this entry")
	}
	ad := &admitted{srv: srv}
	if srv.gate == nil || po == (admission.Pool{}) {
		return ad, nil
	}
	pass, err := srv.gate.Enter(ctx, po, admission.Work{
		Workspace: ws.ID, Share: ws.Share, Limit: ws.Limit, Prompt: core.Tokens(len(dr.Prompt) / bytesPerToken),
		Priority: admission.Priority(dr.Priority), Deadline: dr.Deadline, Draw: rand.Float64(),
		Body: len(dr.Body), MayCross: len(dr.Body) <= placement.MaxCrossing,
	})
	if err != nil {
		srv.flying.Add(-1)
		return nil, err
	}
	ad.pass, dr.Crossing = pass, pass.Crossing()
	return ad, nil
}

// bytesPerToken is the usual length of a token in a prompt. An estimate is
// enough: the engine's own count corrects it once the answer is there.
const bytesPerToken = 4

// settled tells the admission what the answer took, over all stages.
func (ad *admitted) settled(bi ledger.Bill) {
	if ad.pass == nil {
		return
	}
	var us core.Usage
	for _, li := range bi.Lines {
		us.Prompt += li.Usage.Prompt
		us.Generated += li.Usage.Generated
	}
	ad.pass.Used(us)
}

// leave gives the place back.
func (ad *admitted) leave() {
	if ad.pass != nil {
		ad.pass.Leave()
	}
	ad.srv.flying.Add(-1)
}

// chatPool is the pool that a chat request starts on. Later stages of a
// cascade are not admitted again: refusing them would throw away what the
// first has cost.
func (srv *Server) chatPool(ws core.WorkspaceID, dr *dispatch.Request) (admission.Pool, error) {
	sn := srv.inf.Current()
	if sn == nil {
		return admission.Pool{}, core.Refuse(core.CodeNoConfig, time.Second, "no configuration is known yet")
	}
	plan, err := routing.Resolve(sn, ws, dr.Model, dr.Session)
	if err != nil {
		return admission.Pool{}, err
	}
	return admission.ModelPool(plan.Stages[0].Target), nil
}

// servicePool is the pool of a plain service. A service that is not declared
// gets none: the pools are kept, and a caller must not be able to make any.
func (srv *Server) servicePool(ws core.WorkspaceID, dr *dispatch.Request) (admission.Pool, error) {
	sn := srv.inf.Current()
	if sn == nil {
		return admission.Pool{}, core.Refuse(core.CodeNoConfig, time.Second, "no configuration is known yet")
	}
	if sn.Operation(dr.Service, dr.Operation) == nil || !sn.MayCall(ws, dr.Service) {
		return admission.Pool{}, nil // The dispatcher says why.
	}
	return admission.ServicePool(dr.Service), nil
}
