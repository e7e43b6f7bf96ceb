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

// A user complains of a request. Its lines say, by its id alone, which upstreams
// were asked, what came of each, how it ended, and why nothing more was tried.
func TestLinesTellWhatWasDecided(t *testing.T) {
	failing := answers(http.StatusInternalServerError, "broken")
	scenarios := []struct {
		testName string
		path     string
		acts     []act
		begun    int
		verdicts []string
		end      line
	}{
		{"lookup answered at once", "/lookup/1", []act{answers(200, "done")}, 1, nil, line{Msg: "exchange-ended"}},
		{"lookup answered by the second", "/lookup/1", []act{failing, answers(200, "done")}, 2, []string{"failed"}, line{Msg: "exchange-ended"}},
		{"lookup lost twice", "/lookup/1", []act{cut}, 2, []string{"lost", "lost"},
			line{Msg: "exchange-failed", Code: "outcome-unknown", Ran: "unknown", NoRepeat: "the route's attempts are used up"}},
		{"claim lost", "/claim/1", []act{cut}, 1, []string{"lost"},
			line{Msg: "exchange-failed", Code: "outcome-unknown", Ran: "unknown", NoRepeat: "the work may run once only"}},
		{"claim refused by all", "/claim/1", []act{full}, 4, []string{"refused", "refused", "refused", "refused"},
			line{Msg: "exchange-failed", Code: "no-upstream", Ran: "not-run"}},
		{"chat that breaks off", "/chat/1", []act{breaks("id: 1\ndata: a\n\n")}, 1, []string{"lost"},
			line{Msg: "exchange-cut", Code: "outcome-unknown", Message: "connection reset", NoRepeat: "the route's streams are not resumed"}},
		{"unknown route", "/nowhere", nil, 0, nil, line{Msg: "exchange-refused", Code: "unknown-route", Ran: "not-run"}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			play(t, func(t *testing.T) {
				wo := newWorld(t, sc.acts...)
				_, _, _ = wo.ask(t.Context(), sc.path) // The log is what is checked.
				begun := wo.lines("attempt-begun")
				assert.Equal(t, len(begun), sc.begun)
				for i, li := range begun {
					assert.Equal(t, li.Attempt, i+1)
					assert.Equal(t, li.Candidate, 4)
				}
				var verdicts []string
				for _, li := range wo.lines("attempt-ended") {
					verdicts = append(verdicts, li.Verdict)
				}
				assert.DeepEqual(t, verdicts, sc.verdicts)
				ends := wo.lines("exchange-ended", "exchange-cut", "exchange-failed", "exchange-refused")
				assert.Equal(t, len(ends), 1)
				end := ends[0]
				assert.Equal(t, end.Request, "r1")
				assert.Equal(t, end.Msg, sc.end.Msg)
				assert.Equal(t, end.Code, sc.end.Code)
				assert.Equal(t, end.Ran, sc.end.Ran)
				assert.Equal(t, end.NoRepeat, sc.end.NoRepeat)
				if sc.end.Message != "" {
					assert.Equal(t, end.Message, sc.end.Message)
				}
			})
		})
	}
}

// An upstream loses one call after the other. The entry turns to others and says
// so once, and once more when the upstream has answered again.
func TestLinesTellWhichUpstreamIsAvoided(t *testing.T) {
	play(t, func(t *testing.T) {
		bad := true
		wo := newWorld(t, nil)
		wo.acts[0] = func(ctx context.Context, ca *core.Call) (*core.Reply, error) {
			if bad && ca.To.ID == "up-0" {
				return cut(ctx, ca)
			}
			return answers(http.StatusOK, "done")(ctx, ca)
		}
		ask := func() {
			_, _, err := wo.ask(t.Context(), "/lookup/1")
			assert.NilError(t, err)
			time.Sleep(200 * time.Millisecond)
		}
		for range 200 {
			ask()
		}
		bad = false
		for range 200 {
			ask()
		}
		var told []string
		for _, li := range wo.lines("upstream-avoided", "upstream-trusted") {
			assert.Equal(t, li.Upstream, "up-0")
			told = append(told, li.Msg)
		}
		assert.Assert(t, len(told) >= 2 && told[0] == "upstream-avoided", "%v", told)
		assert.Equal(t, told[len(told)-1], "upstream-trusted")
	})
}

// Callers leave in the middle of their answers, and their server notices only
// when it writes. The upstream did nothing wrong: were it blamed, work would go
// elsewhere, and a version under roll-out would be rolled back.
func TestUpstreamIsNotBlamedForCallersThatLeave(t *testing.T) {
	play(t, func(t *testing.T) {
		wo := newWorld(t, stalls("id: 1\ndata: a\n\n"))
		for range 12 {
			ans, err := wo.fw.Forward(t.Context(), &core.Exchange{
				ID: "r1", Host: "a.example", Path: "/draft/1", Key: "key", Header: http.Header{}, Arrived: time.Now(),
			})
			assert.NilError(t, err)
			ans.Close()
		}
		assert.Equal(t, len(wo.lines("upstream-avoided")), 0)
		for _, li := range wo.lines("exchange-cut") {
			assert.Equal(t, li.Code, "caller-gone")
		}
		assert.Equal(t, len(wo.lines("exchange-cut")), 12)
	})
}

// A planned stop gives up the answers that are still under way at its end. Their
// upstreams did nothing wrong, and the last lines of the log must not say so.
func TestUpstreamIsNotBlamedForAStop(t *testing.T) {
	play(t, func(t *testing.T) {
		wo := newWorld(t, stalls("id: 1\ndata: a\n\n"))
		ctx, stop := context.WithCancelCause(t.Context())
		time.AfterFunc(300*time.Millisecond, func() { stop(forward.ErrStopping) })
		_, _, err := wo.ask(ctx, "/draft/1")
		assert.Assert(t, err != nil)
		assert.Equal(t, len(wo.lines("upstream-avoided")), 0)
		cuts := wo.lines("exchange-cut")
		assert.Equal(t, len(cuts), 1)
		assert.Equal(t, cuts[0].Code, "leaving")
	})
}

// Some lookups fail at every upstream that runs them. Their callers get the
// error, as they must; but the upstreams are sound, and were they avoided for it,
// claims would go over the link to another region.
func TestUpstreamsAreNotBlamedForAnErrorThatFollowsARequest(t *testing.T) {
	play(t, func(t *testing.T) {
		wo := newWorld(t, answers(http.StatusInternalServerError, "no such case"))
		for range 12 {
			status, _, err := wo.ask(t.Context(), "/lookup/1")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusInternalServerError)
		}
		assert.Equal(t, len(wo.lines("upstream-avoided")), 0)
	})
}

// One upstream answers every call with an error, and another one answers the same
// call well. Its callers wait for two calls in place of one for as long as it is
// asked first, so it has to be avoided after a few.
func TestUpstreamIsBlamedWhenAnotherOneAnswers(t *testing.T) {
	play(t, func(t *testing.T) {
		wo := newWorld(t, nil)
		wo.acts[0] = func(ctx context.Context, ca *core.Call) (*core.Reply, error) {
			if ca.To.ID == "up-0" {
				return answers(http.StatusInternalServerError, "broken")(ctx, ca)
			}
			return answers(http.StatusOK, "done")(ctx, ca)
		}
		for range 60 {
			status, _, err := wo.ask(t.Context(), "/lookup/1")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			time.Sleep(100 * time.Millisecond)
		}
		avoided := wo.lines("upstream-avoided")
		assert.Assert(t, len(avoided) > 0)
		for _, li := range avoided {
			assert.Equal(t, li.Upstream, "up-0")
		}
		assert.Assert(t, len(wo.calls) < 60+20, "%d calls for 60 requests", len(wo.calls))
	})
}

// A route's time is shorter than its work takes, by a mistake in the
// configuration. Every call of it ends at its upstream for want of time, and says
// nothing about upstreams that other routes share.
func TestUpstreamsAreNotBlamedForATimeThatIsTooShort(t *testing.T) {
	play(t, func(t *testing.T) {
		wo := newWorld(t, func(ctx context.Context, ca *core.Call) (*core.Reply, error) {
			time.Sleep(ca.Left)
			return answers(http.StatusGatewayTimeout, "out of time")(ctx, ca)
		})
		for range 20 {
			_, _, err := wo.ask(t.Context(), "/claim/1")
			assert.NilError(t, err)
		}
		assert.Equal(t, len(wo.lines("upstream-avoided")), 0)
	})
}
