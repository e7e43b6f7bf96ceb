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
)

// HeaderPriority is the priority of a request among those of its workspace: "high", "normal" or
// "low".
const HeaderPriority = "Skylarkstand-Priority"

// parsePriority reads the priority of a request.
func parsePriority(rq *http.Request) (admission.Priority, error) {
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

// admitted is an admitted request. It counts as in flight until release.
type admitted struct {
	srv  *Server
	pass *admission.Pass
}

// admit waits until the request may start, or refuses it immediately. The limit of the process
// is checked first: it bounds the memory that bodies take, whatever capacity the pools have
// left.
func (srv *Server) admit(ctx context.Context, po admission.Pool, ws *declaration.Workspace, dr *dispatch.Request) (*admitted, error) {
	if srv.inFlight.Add(1) > srv.maxInFlight {
		srv.inFlight.Add(-1)
		return nil, core.Refuse(core.CodeOverloaded, time.Second, "too many requests are in this entry")
	}
	ad := &admitted{srv: srv}
	if srv.gate == nil || po == (admission.Pool{}) {
		return ad, nil
	}
	pass, err := srv.gate.Enter(ctx, po, admission.Work{
		Workspace: ws.ID, Share: ws.Share, Limit: ws.Limit, Prompt: core.Tokens(len(dr.Prompt) / bytesPerToken),
		Priority: admission.Priority(dr.Priority), Deadline: dr.Deadline, Jitter: rand.Float64(),
		Body: len(dr.Body), AllowCrossRegion: len(dr.Body) <= placement.MaxCrossRegionBody,
	})
	if err != nil {
		srv.inFlight.Add(-1)
		return nil, err
	}
	ad.pass, dr.CrossRegion = pass, pass.CrossRegion()
	return ad, nil
}

// bytesPerToken is the usual length of a token in a prompt. An estimate is sufficient: the
// engine's own count corrects it once the response is complete.
const bytesPerToken = 4

// recordUsage reports the usage of the response, summed over all stages, to the admission
// control.
func (ad *admitted) recordUsage(bi ledger.Bill) {
	if ad.pass == nil {
		return
	}
	var us core.Usage
	for _, li := range bi.Lines {
		us.Prompt += li.Usage.Prompt
		us.Generated += li.Usage.Generated
	}
	ad.pass.RecordUsage(us)
}

// release ends the request's admission.
func (ad *admitted) release() {
	if ad.pass != nil {
		ad.pass.Leave()
	}
	ad.srv.inFlight.Add(-1)
}

// chatPool returns the pool of a chat request's first stage. Later stages of a cascade are not
// admitted again: refusing them would waste the cost of the first.
func (srv *Server) chatPool(dr *dispatch.Request) (admission.Pool, error) {
	first, err := srv.dis.PlanFirst(dr)
	if err != nil {
		return admission.Pool{}, err
	}
	return admission.ModelPool(first), nil
}

// servicePool returns the pool of a call of a plain service. A service that is not declared
// gets none: pools are never removed, and a caller must not be able to create them.
func (srv *Server) servicePool(ws core.WorkspaceID, dr *dispatch.Request) (admission.Pool, error) {
	sn := srv.inf.Current()
	if sn == nil {
		return admission.Pool{}, core.Refuse(core.CodeNoConfig, time.Second, "no configuration is known yet")
	}
	if sn.Operation(dr.Service, dr.Operation) == nil || !sn.MayCall(ws, dr.Service) {
		return admission.Pool{}, nil // The dispatcher returns the reason.
	}
	return admission.ServicePool(dr.Service), nil
}
