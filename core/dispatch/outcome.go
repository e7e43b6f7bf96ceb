package dispatch

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/ledger"
)

// Outcome is the answer of a request, piece by piece. It belongs to one
// goroutine.
type Outcome struct {
	// Target is the version that answers; Cascade is set when the request
	// named one. Repinned tells that the session had to leave its version.
	Target   core.ModelVersion
	Cascade  core.CascadeID
	Repinned bool

	dis   *Dispatcher
	rq    *Request
	ans   core.Answer
	lines []*line
	held  *bytes.Buffer
	ended bool
	bill  ledger.Bill
}

// line is a bill's line that is still open.
type line struct {
	ledger.Line
	upstream core.UpstreamID
	price    func(core.Usage) core.Millicents
}

func (out *Outcome) take(ans core.Answer, li *line) {
	out.ans, out.held, out.ended = ans, nil, false
	out.lines = append(out.lines, li)
}

// Status and ContentType describe the answer.
func (out *Outcome) Status() int { return out.ans.Status() }

// ContentType is the media type that the upstream gave.
func (out *Outcome) ContentType() string { return out.ans.ContentType() }

// Next returns the next piece of the answer, io.EOF after the whole of it, or
// a [core.Failure]. The bytes are valid until the next call.
func (out *Outcome) Next() ([]byte, error) {
	if out.held != nil {
		if out.held.Len() > 0 {
			return out.held.Next(out.held.Len()), nil
		}
		return nil, io.EOF
	}
	data, err := out.ans.Next()
	if isEnd(err) {
		out.close()
		return nil, io.EOF
	}
	if err != nil {
		return nil, out.fail(err)
	}
	return data, nil
}

// close notes the usage of the stage that ended whole.
func (out *Outcome) close() {
	if out.ended {
		return
	}
	out.ended = true
	li := out.lines[len(out.lines)-1]
	li.Usage = out.ans.Usage()
	li.Cost = li.price(li.Usage)
}

// hold reads the whole answer of the present stage into memory.
func (out *Outcome) hold(limit int) error {
	buf := new(bytes.Buffer)
	for {
		data, err := out.Next()
		if isEnd(err) {
			out.held = buf
			return nil
		}
		if err != nil {
			return err
		}
		if buf.Len()+len(data) > limit {
			out.ans.Close()
			return &errHeldTooLarge
		}
		buf.Write(data)
	}
}

// Settle files the request's one bill and gives the agent a copy. It is called
// when the whole answer was read and before the caller gets its end: an entry
// that dies before it leaves the request unbilled, never billed for nothing.
//
// The bill waits at the ledger before the agent has the copy: an heir that
// files the copy in an entry which the ledger has read already would bill the
// request twice. The bill of an operation's stored answer names the attempt that
// ran it, and the ledger charges for one of the two: the first may never have
// been billed, because its caller went away or its entry died.
func (out *Outcome) Settle() ledger.Bill {
	if out.bill.Request != "" {
		return out.bill
	}
	bi := ledger.Bill{Request: out.rq.ID, Workspace: out.rq.Workspace, When: time.Now(), Content: out.rq.digest(), ReplayOf: out.ans.ReplayOf()}
	for _, li := range out.lines {
		bi.Lines = append(bi.Lines, li.Line)
		bi.Total += li.Cost
	}
	out.bill = bi
	var floor ledger.Floor
	if fl, ok := out.dis.biller.(floorer); ok {
		floor = fl.Floor()
	}
	out.dis.biller.Add(bi)
	raw, err := json.Marshal(ledger.Copy{Floor: floor, Bill: bi})
	if err == nil {
		last := out.lines[len(out.lines)-1]
		out.dis.ups.Settle(last.upstream, bi.Request, last.Attempt, raw)
	}
	return bi
}

// digest tells a request that is sent again from another one under its id.
func (rq *Request) digest() string {
	return ledger.Digest(rq.Body, string(rq.Service), string(rq.Operation), rq.IdempotencyKey)
}

// floorer is a biller that knows where the next bill can stand.
type floorer interface{ Floor() ledger.Floor }

// Close gives the answer up.
func (out *Outcome) Close() {
	if out.ans != nil {
		out.ans.Close()
	}
}

// fail turns a stage's failure into the request's: once a stage has run, the
// request as a whole was not "not run".
func (out *Outcome) fail(err error) error {
	fl := asFailure(err)
	if fl.Ran == core.NotRun && len(out.lines) > 0 {
		return &core.Failure{Code: fl.Code, Ran: core.RanFailed, Message: fl.Message, RetryAfter: fl.RetryAfter}
	}
	return fl
}
