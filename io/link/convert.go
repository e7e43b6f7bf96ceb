package link

import (
	"time"

	"skylarkstand/core"
	"skylarkstand/io/frame"
)

// DispatchFrame returns the frame that sends an attempt to an agent.
func DispatchFrame(at *core.Attempt) *frame.Frame {
	return &frame.Frame{Body: &frame.Frame_Dispatch{Dispatch: &frame.Dispatch{
		Attempt: string(at.ID), Request: string(at.Request), Workspace: string(at.Workspace),
		Generation: uint64(at.Generation), Model: string(at.Target.Model), Version: string(at.Target.Version),
		Service: string(at.Service), Operation: string(at.Operation), IdempotencyKey: at.IdempotencyKey,
		DeadlineMicros: at.Deadline.Microseconds(), Priority: int32(at.Priority), Stream: at.Stream, Body: at.Body, Solo: at.Exclusive,
	}}}
}

// AttemptFromFrame decodes what DispatchFrame encoded.
func AttemptFromFrame(di *frame.Dispatch) *core.Attempt {
	return &core.Attempt{
		ID: core.AttemptID(di.Attempt), Request: core.RequestID(di.Request), Workspace: core.WorkspaceID(di.Workspace),
		Generation: core.Generation(di.Generation),
		Target:     core.ModelVersion{Model: core.ModelID(di.Model), Version: core.VersionID(di.Version)},
		Service:    core.ServiceID(di.Service), Operation: core.OperationID(di.Operation), IdempotencyKey: di.IdempotencyKey,
		Deadline: deadline(di.DeadlineMicros), Priority: int(di.Priority), Stream: di.Stream, Body: di.Body, Exclusive: di.Solo,
	}
}

// maxDeadline bounds the time limit of an attempt.
const maxDeadline = 24 * time.Hour

// deadline decodes a time limit, 0 for none. One that has passed already is no lack of a limit.
func deadline(micros int64) time.Duration {
	if micros < 0 {
		return time.Microsecond
	}
	return core.DurationWithin(float64(micros), time.Microsecond, maxDeadline)
}

// FailureFrame returns the frame that ends an attempt without an answer.
func FailureFrame(id core.AttemptID, fl *core.Failure, st *frame.State) *frame.Frame {
	return &frame.Frame{Body: &frame.Frame_Failure{Failure: &frame.Failure{
		Attempt: string(id), Code: string(fl.Code), Ran: string(fl.Ran), Message: fl.Message,
		RetryAfterMicros: fl.RetryAfter.Microseconds(), State: st,
	}}}
}

// FailureFromFrame decodes what FailureFrame encoded. An unrecognized value of Ran becomes
// core.RanUnknown, which does not state whether the attempt ran.
func FailureFromFrame(fa *frame.Failure) *core.Failure {
	ran := core.Ran(fa.Ran)
	if ran != core.NotRun && ran != core.RanFailed {
		ran = core.RanUnknown
	}
	return &core.Failure{Code: core.Code(fa.Code), Ran: ran, Message: fa.Message, RetryAfter: core.DurationWithin(float64(fa.RetryAfterMicros), time.Microsecond, core.MaxRetryAfter)}
}
