package forward_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/forward"
)

// The lines of one request, found by its id, must show which upstreams were called, the verdict
// of each attempt, how the exchange ended and why no other attempt followed.
func TestLogOfDecisions(t *testing.T) {
	failing := answers(http.StatusInternalServerError, "broken")
	scenarios := []struct {
		testName  string
		path      string
		behaviors []behavior
		begun     int
		verdicts  []string
		end       logLine
	}{
		{"lookup answered at once", "/lookup/1", []behavior{answers(200, "done")}, 1, nil, logLine{Msg: "exchange-ended"}},
		{"lookup answered by the second upstream", "/lookup/1", []behavior{failing, answers(200, "done")}, 2, []string{"failed"}, logLine{Msg: "exchange-ended"}},
		{"lookup lost twice", "/lookup/1", []behavior{losesConnection}, 2, []string{"lost", "lost"},
			logLine{Msg: "exchange-failed", Code: "outcome-unknown", Ran: "unknown", NoRetryReason: "the route's attempts are used up"}},
		{"claim lost", "/claim/1", []behavior{losesConnection}, 1, []string{"lost"},
			logLine{Msg: "exchange-failed", Code: "outcome-unknown", Ran: "unknown", NoRetryReason: "the work may run once only"}},
		{"claim refused by all upstreams", "/claim/1", []behavior{refuses}, 4, []string{"refused", "refused", "refused", "refused"},
			logLine{Msg: "exchange-failed", Code: "no-upstream", Ran: "not-run"}},
		{"chat that breaks off", "/chat/1", []behavior{breaksOff("id: 1\ndata: a\n\n")}, 1, []string{"lost"},
			logLine{Msg: "exchange-cut", Code: "outcome-unknown", Message: "connection reset", NoRetryReason: "the route's streams are not resumed"}},
		{"unknown route", "/nowhere", nil, 0, nil, logLine{Msg: "exchange-refused", Code: "unknown-route", Ran: "not-run"}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				fx := newFixture(t, sc.behaviors...)
				_, _, _ = fx.send(t.Context(), sc.path) // The test checks only the log.
				begun := fx.logLines("attempt-begun")
				assert.Equal(t, len(begun), sc.begun)
				for i, li := range begun {
					assert.Equal(t, li.Attempt, i+1)
					assert.Equal(t, li.Candidates, 4)
				}
				var verdicts []string
				for _, li := range fx.logLines("attempt-ended") {
					verdicts = append(verdicts, li.Verdict)
				}
				assert.DeepEqual(t, verdicts, sc.verdicts)
				ends := fx.logLines("exchange-ended", "exchange-cut", "exchange-failed", "exchange-refused")
				assert.Equal(t, len(ends), 1)
				end := ends[0]
				assert.Equal(t, end.Request, "r1")
				assert.Equal(t, end.Msg, sc.end.Msg)
				assert.Equal(t, end.Code, sc.end.Code)
				assert.Equal(t, end.Ran, sc.end.Ran)
				assert.Equal(t, end.NoRetryReason, sc.end.NoRetryReason)
				if sc.end.Message != "" {
					assert.Equal(t, end.Message, sc.end.Message)
				}
			})
		})
	}
}

// A claim is sent to a second upstream: without the evidence for that, nobody could tell afterwards which answer
// was false if it ran twice.
func TestLogOfWorkThatIsSentAgain(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, refuses, answers(http.StatusOK, "done"))
		status, _, err := fx.send(t.Context(), "/claim/1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
		calls, resent := fx.calls, fx.logLines("exchange-resent")
		assert.Equal(t, len(resent), 1)
		assert.Equal(t, resent[0].Request, "r1")
		assert.Equal(t, resent[0].Attempt, 2)
		assert.Equal(t, resent[0].Before, string(calls[0].To.ID))
		assert.Equal(t, resent[0].Upstream, string(calls[1].To.ID))
		assert.Equal(t, resent[0].Verdict, "refused")
		assert.Equal(t, resent[0].Answer, `status=503 not-run="1" ids="r1" kept-connection=false skipped=0`)
	})
}

// One upstream loses call after call. The entry must avoid it and log that, and log once more
// when the upstream has recovered.
func TestLogOfAvoidedUpstreams(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		bad := true
		fx := newFixture(t, nil)
		fx.behaviors[0] = func(ctx context.Context, ca *core.Call) (*core.Reply, error) {
			if bad && ca.To.ID == "up-0" {
				return losesConnection(ctx, ca)
			}
			return answers(http.StatusOK, "done")(ctx, ca)
		}
		send := func() {
			_, _, err := fx.send(t.Context(), "/lookup/1")
			assert.NilError(t, err)
			time.Sleep(200 * time.Millisecond)
		}
		for range 200 {
			send()
		}
		bad = false
		for range 200 {
			send()
		}
		var events []string
		for _, li := range fx.logLines("upstream-avoided", "upstream-trusted") {
			assert.Equal(t, li.Upstream, "up-0")
			events = append(events, li.Msg)
		}
		assert.Assert(t, len(events) >= 2 && events[0] == "upstream-avoided", "%v", events)
		assert.Equal(t, events[len(events)-1], "upstream-trusted")
	})
}

// Callers disconnect in the middle of their answers, which the HTTP server notices only when it
// writes. Guards against counting this as a failure of the upstream: work would move elsewhere,
// and a version under roll-out would be rolled back.
func TestCallerDisconnectIsNoUpstreamFailure(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, stalls("id: 1\ndata: a\n\n"))
		for range 12 {
			ans, err := fx.fw.Forward(t.Context(), &core.Exchange{
				ID: "r1", Host: "a.example", Path: "/draft/1", Key: "key", Header: http.Header{}, Arrived: time.Now(),
			})
			assert.NilError(t, err)
			ans.Close()
		}
		assert.Equal(t, len(fx.logLines("upstream-avoided")), 0)
		for _, li := range fx.logLines("exchange-cut") {
			assert.Equal(t, li.Code, "caller-gone")
		}
		assert.Equal(t, len(fx.logLines("exchange-cut")), 12)
	})
}

// A planned stop cancels the answers still in progress at its end. Guards against counting this
// as a failure of their upstreams, in the log too.
func TestShutdownIsNoUpstreamFailure(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, stalls("id: 1\ndata: a\n\n"))
		ctx, stop := context.WithCancelCause(t.Context())
		time.AfterFunc(300*time.Millisecond, func() { stop(forward.ErrStopping) })
		_, _, err := fx.send(ctx, "/draft/1")
		assert.Assert(t, err != nil)
		assert.Equal(t, len(fx.logLines("upstream-avoided")), 0)
		cuts := fx.logLines("exchange-cut")
		assert.Equal(t, len(cuts), 1)
		assert.Equal(t, cuts[0].Code, "leaving")
	})
}

// Some lookups fail at every upstream that runs them, and their callers get the error. Guards
// against avoiding healthy upstreams because of it: claims would be sent over the link to another
// region.
func TestErrorOfTheRequestDoesNotAvoidUpstreams(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, answers(http.StatusInternalServerError, "no such case"))
		for range 12 {
			status, _, err := fx.send(t.Context(), "/lookup/1")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusInternalServerError)
		}
		assert.Equal(t, len(fx.logLines("upstream-avoided")), 0)
	})
}

// One upstream answers every call with an error, and the others answer the same calls. Guards
// against callers that keep waiting for two calls instead of one: the upstream has to be avoided
// after a few failures.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, nil)
		fx.behaviors[0] = func(ctx context.Context, ca *core.Call) (*core.Reply, error) {
			if ca.To.ID == "up-0" {
				return answers(http.StatusInternalServerError, "broken")(ctx, ca)
			}
			return answers(http.StatusOK, "done")(ctx, ca)
		}
		for range 60 {
			status, _, err := fx.send(t.Context(), "/lookup/1")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			time.Sleep(100 * time.Millisecond)
		}
		avoided := fx.logLines("upstream-avoided")
		assert.Assert(t, len(avoided) > 0)
		for _, li := range avoided {
			assert.Equal(t, li.Upstream, "up-0")
		}
		assert.Assert(t, len(fx.calls) < 60+20, "%d calls for 60 requests", len(fx.calls))
	})
}

// A route's timeout is shorter than its work takes, by a mistake in the configuration. Guards
// against counting these timeouts against upstreams that other routes share.
func TestTooShortTimeoutIsNoUpstreamFailure(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, func(ctx context.Context, ca *core.Call) (*core.Reply, error) {
			time.Sleep(ca.Timeout)
			return answers(http.StatusGatewayTimeout, "out of time")(ctx, ca)
		})
		for range 20 {
			_, _, err := fx.send(t.Context(), "/claim/1")
			assert.NilError(t, err)
		}
		assert.Equal(t, len(fx.logLines("upstream-avoided")), 0)
	})
}
