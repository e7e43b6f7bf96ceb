package dispatch

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/ledger"
)

// Outcome is the answer to a request, read chunk by chunk. It must not be used by several
// goroutines at the same time.
type Outcome struct {
	// Target is the version that answers; Cascade is set if the request named a cascade. Repinned
	// reports that the session could not stay on its version.
	Target   core.ModelVersion
	Cascade  core.CascadeID
	Repinned bool

	dis      *Dispatcher
	rq       *Request
	ans      core.Answer
	lines    []*lineItem
	buffered *bytes.Buffer
	// usageRecorded is set once the usage and cost of the current stage are recorded.
	usageRecorded bool
	bill          ledger.Bill
}

// lineItem is a line of a bill whose usage and cost are not known yet.
type lineItem struct {
	ledger.Line
	upstream core.UpstreamID
	price    func(core.Usage) core.Millicents
}

func (out *Outcome) setAnswer(ans core.Answer, li *lineItem) {
	out.ans, out.buffered, out.usageRecorded = ans, nil, false
	out.lines = append(out.lines, li)
}

// Status is the HTTP status of the answer.
func (out *Outcome) Status() int { return out.ans.Status() }

// ContentType is the media type that the upstream set.
func (out *Outcome) ContentType() string { return out.ans.ContentType() }

// Next returns the next chunk of the answer, io.EOF after the last one, or a [core.Failure]. The
// bytes are valid until the next call.
func (out *Outcome) Next() ([]byte, error) {
	if out.buffered != nil {
		if out.buffered.Len() > 0 {
			return out.buffered.Next(out.buffered.Len()), nil
		}
		return nil, io.EOF
	}
	data, err := out.ans.Next()
	if isEOF(err) {
		out.recordUsage()
		return nil, io.EOF
	}
	if err != nil {
		return nil, out.fail(err)
	}
	return data, nil
}

// recordUsage records the usage and cost of the current stage after its answer ended regularly.
func (out *Outcome) recordUsage() {
	if out.usageRecorded {
		return
	}
	out.usageRecorded = true
	li := out.lines[len(out.lines)-1]
	li.Usage = out.ans.Usage()
	li.Cost = li.price(li.Usage)
}

// buffer reads the complete answer of the current stage into memory, up to a limit.
func (out *Outcome) buffer(limit int) error {
	buf := new(bytes.Buffer)
	for {
		data, err := out.Next()
		if isEOF(err) {
			out.buffered = buf
			return nil
		}
		if err != nil {
			return err
		}
		if buf.Len()+len(data) > limit {
			out.ans.Close()
			return &errAnswerTooLarge
		}
		buf.Write(data)
	}
}

// FileBill files the request's one bill and sends a copy to the agent. It is called after the
// complete answer has been read and before its end is sent to the caller: if the entry crashes in
// between, the request stays unbilled rather than billed without an answer.
//
// The bill is queued at the ledger before the copy is sent to the agent. In the reverse order,
// a successor entry could file the copy in an entry of the ledger that has already been read,
// and the request would be billed twice. The bill for a replayed answer of an operation names
// the attempt that ran it, and the ledger charges only one of the two: the first may never have
// been billed, because its caller disconnected or its entry died.
func (out *Outcome) FileBill() ledger.Bill {
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
	if fl, ok := out.dis.biller.(floorProvider); ok {
		floor = fl.Floor()
	}
	out.dis.biller.Add(bi)
	raw, err := json.Marshal(ledger.Copy{Floor: floor, Bill: bi})
	if err == nil {
		last := out.lines[len(out.lines)-1]
		out.dis.ups.ReportBill(last.upstream, bi.Request, last.Attempt, raw)
	}
	return bi
}

// digest distinguishes a retry of a request from a different request with the same id.
func (rq *Request) digest() string {
	return ledger.Digest(rq.Body, string(rq.Service), string(rq.Operation), rq.IdempotencyKey)
}

// floorProvider is a biller that returns the lowest position at which the next bill can be stored.
type floorProvider interface{ Floor() ledger.Floor }

// Close aborts the answer.
func (out *Outcome) Close() {
	if out.ans != nil {
		out.ans.Close()
	}
}

// fail converts the failure of a stage to the failure of the request: once a stage has run, the
// request as a whole cannot be reported as not run.
func (out *Outcome) fail(err error) error {
	fl := asFailure(err)
	if fl.Ran == core.NotRun && len(out.lines) > 0 {
		return &core.Failure{Code: fl.Code, Ran: core.RanFailed, Message: fl.Message, RetryAfter: fl.RetryAfter}
	}
	return fl
}
