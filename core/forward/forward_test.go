package forward_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

// Upstreams end attempts in many ways. A caller that reads "not run" sends its
// request again, also a subsidy claim; were that untrue once, two electricians
// would turn up. And work that may run again should be answered by another
// upstream without its caller noticing.
func TestEndings(t *testing.T) {
	ok := answers(http.StatusOK, "done")
	failing := answers(http.StatusInternalServerError, "broken")
	scenarios := []struct {
		testName string
		path     string
		acts     []act
		calls    int
		status   int      // 0: a failure
		ran      core.Ran // of the failure
		text     string
	}{
		{"claim answered", "/claim/1", []act{ok}, 1, 200, "", "done"},
		{"claim refused by one", "/claim/1", []act{full, ok}, 2, 200, "", "done"},
		{"claim that cannot be sent at first", "/claim/1", []act{away, ok}, 2, 200, "", "done"},
		{"claim refused by all", "/claim/1", []act{full}, 4, 0, core.NotRun, ""},
		{"claim whose upstreams are away", "/claim/1", []act{away}, 4, 0, core.NotRun, ""},
		{"claim cut off is not sent again", "/claim/1", []act{cut, ok}, 1, 0, core.RanUnknown, ""},
		{"claim refused, then cut off", "/claim/1", []act{full, cut, ok}, 2, 0, core.RanUnknown, ""},
		{"claim with an error is not sent again", "/claim/1", []act{failing, ok}, 1, 500, "", "broken"},
		{"claim with a forged answer", "/claim/1", []act{forged, ok}, 1, 0, core.RanUnknown, ""},
		{"claim whose answer breaks off", "/claim/1", []act{breaks("do"), ok}, 1, 0, core.RanUnknown, ""},
		{"lookup cut off", "/lookup/1", []act{cut, ok}, 2, 200, "", "done"},
		{"lookup with an error", "/lookup/1", []act{failing, ok}, 2, 200, "", "done"},
		{"lookup with errors gives the upstream's own", "/lookup/1", []act{failing}, 2, 500, "", "broken"},
		{"lookup with a forged answer", "/lookup/1", []act{forged, ok}, 2, 200, "", "done"},
		{"lookup whose answer breaks off", "/lookup/1", []act{breaks("do"), ok}, 2, 200, "", "done"},
		{"lookup cut off, then refused", "/lookup/1", []act{cut, full}, 4, 0, core.RanUnknown, ""},
		{"lookup keeps to its attempts", "/lookup/1", []act{cut}, 2, 0, core.RanUnknown, ""},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			play(t, func(t *testing.T) {
				wo := newWorld(t, sc.acts...)
				status, text, err := wo.ask(t.Context(), sc.path)
				assert.Equal(t, len(wo.calls), sc.calls)
				if sc.status != 0 {
					assert.NilError(t, err)
					assert.Equal(t, status, sc.status)
					assert.Equal(t, text, sc.text)
					return
				}
				var fl *core.Failure
				assert.Assert(t, errors.As(err, &fl), "%v", err)
				assert.Equal(t, fl.Ran, sc.ran)
				assert.Assert(t, fl.Ran != core.NotRun || fl.RetryAfter > 0, "a caller is told when to come back")
			})
		})
	}
}

// An upstream breaks in the middle of a stream, also in the middle of an event.
// The caller must get each event once, in order, and none that was glued from
// two runs. Where the stream may not go on, it must not look complete.
func TestBrokenStream(t *testing.T) {
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	scenarios := []struct {
		testName string
		path     string
		acts     []act
		text     string
		whole    bool
		after    []string
	}{
		{"whole", "/draft/1", []act{answers(200, one+two+three)}, one + two + three, true, []string{""}},
		{"cut in an event", "/draft/1", []act{breaks(one + "id: 2\nda"), answers(200, two+three)}, one + two + three, true, []string{"", "1"}},
		{"cut before its first event", "/draft/1", []act{breaks("id: 1"), answers(200, one+two)}, one + two, true, []string{"", ""}},
		{"cut twice", "/draft/1", []act{breaks(one), breaks(two), answers(200, three)}, one + two + three, true, []string{"", "1", "2"}},
		{"silent half-way", "/draft/1", []act{stalls(one), answers(200, two+three)}, one + two + three, true, []string{"", "1"}},
		{"cut more often than allowed", "/draft/1", []act{breaks(one), breaks(two), breaks(three)}, one + two + three, false, []string{"", "1", "2"}},
		{"nobody answers the resumption", "/draft/1", []act{breaks(one), cut}, one, false, []string{"", "1", "1"}},
		{"nobody can be reached for the resumption", "/draft/1", []act{breaks(one), away}, one, false, []string{"", "1", "1", "1"}},
		{"another error at the resumption", "/draft/1", []act{breaks(one), answers(500, "no"), answers(200, two)}, one + two, true, []string{"", "1", "1"}},
		{"may not go on", "/chat/1", []act{breaks(one + "id: 2")}, one, false, []string{""}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			play(t, func(t *testing.T) {
				wo := newWorld(t, sc.acts...)
				_, text, err := wo.ask(t.Context(), sc.path)
				assert.Equal(t, text, sc.text)
				assert.Equal(t, err == nil, sc.whole, "%v", err)
				var after []string
				for _, ca := range wo.calls {
					after = append(after, ca.After)
				}
				assert.DeepEqual(t, after, sc.after)
			})
		})
	}
}

// The small model doubts its answer. The caller must get the large model's and
// nothing of the small one's; where that cannot answer, it gets no mixture.
func TestCascadeDropsADoubtfulAnswer(t *testing.T) {
	const small, large = "data: hm\n\n", "data: so\n\n"
	scenarios := []struct {
		testName string
		acts     []act
		text     string
		models   []core.ModelID
	}{
		{"sure", []act{sure(80, small)}, small, []core.ModelID{"small"}},
		{"doubtful", []act{sure(5, small), sure(90, large)}, large, []core.ModelID{"small", "large"}},
		{"the largest is taken as it is", []act{sure(5, small), sure(5, large)}, large, []core.ModelID{"small", "large"}},
		{"no confidence is told", []act{answers(200, small)}, small, []core.ModelID{"small"}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			play(t, func(t *testing.T) {
				wo := newWorld(t, sc.acts...)
				_, text, err := wo.ask(t.Context(), "/draft/1")
				assert.NilError(t, err)
				assert.Equal(t, text, sc.text)
				var models []core.ModelID
				for _, ca := range wo.calls {
					models = append(models, ca.Model)
				}
				assert.DeepEqual(t, models, sc.models)
			})
		})
	}
}

// A chat may run at most once, and its small model doubts the answer. Asking a
// larger one would run it twice, so the largest must have it from the start.
func TestCascadeOfWorkThatRunsOnce(t *testing.T) {
	play(t, func(t *testing.T) {
		wo := newWorld(t, sure(2, "data: hm\n\n"))
		_, _, err := wo.ask(t.Context(), "/chat/1")
		assert.NilError(t, err)
		assert.Equal(t, len(wo.calls), 1)
		assert.Equal(t, wo.calls[0].Model, core.ModelID("large"))
	})
}

// An upstream takes a lookup and never answers, with its health check good. The
// caller of work that may run again must be answered by another one, in time;
// that of a claim hears at the route's timeout that its outcome is unknown, and
// no upstream is handed more time than is left.
func TestMuteUpstream(t *testing.T) {
	play(t, func(t *testing.T) {
		wo := newWorld(t, mute, answers(http.StatusOK, "done"))
		began := time.Now()
		_, text, err := wo.ask(t.Context(), "/lookup/1")
		assert.NilError(t, err)
		assert.Equal(t, text, "done")
		assert.Assert(t, time.Since(began) < 400*time.Millisecond, "took %s", time.Since(began))
		assert.Assert(t, wo.calls[1].Left <= wo.calls[0].Left-time.Since(began), "%s, then %s", wo.calls[0].Left, wo.calls[1].Left)
	})
	play(t, func(t *testing.T) {
		wo := newWorld(t, mute)
		began := time.Now()
		_, _, err := wo.ask(t.Context(), "/claim/1")
		var fl *core.Failure
		assert.Assert(t, errors.As(err, &fl))
		assert.Equal(t, fl.Ran, core.RanUnknown)
		assert.Equal(t, fl.Code, core.CodeDeadline)
		assert.Equal(t, time.Since(began), 3*time.Second, "the route's timeout")
	})
}

// A caller leaves while its request runs. The upstream must hear of it at once,
// or it goes on with work that nobody waits for, and no other one may be asked.
func TestCallerGone(t *testing.T) {
	play(t, func(t *testing.T) {
		var gone time.Time
		wo := newWorld(t, func(ctx context.Context, ca *core.Call) (*core.Reply, error) {
			<-ctx.Done()
			gone = time.Now()
			return mute(ctx, ca)
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		began := time.Now()
		_, _, err := wo.ask(ctx, "/lookup/1")
		assert.ErrorContains(t, err, string(core.CodeCallerGone))
		assert.Equal(t, gone.Sub(began), 100*time.Millisecond)
		assert.Equal(t, len(wo.calls), 1)
	})
}

// A process hears of no news for a while. A key that it does not know may be a
// new one; told that it has no access, its caller would give up for good. With
// recent news the same key is refused for good at once.
func TestUnknownKeyWithOldNews(t *testing.T) {
	for _, sc := range []struct {
		age  time.Duration
		code core.Code
	}{{time.Second, core.CodeUnauthorized}, {time.Minute, core.CodeStaleConfig}} {
		play(t, func(t *testing.T) {
			wo := newWorld(t, answers(http.StatusOK, "done"))
			wo.age = sc.age
			_, err := wo.fw.Forward(t.Context(), &core.Exchange{Host: "a.example", Path: "/claim/1", Key: "new", Arrived: time.Now()})
			var fl *core.Failure
			assert.Assert(t, errors.As(err, &fl))
			assert.Equal(t, fl.Code, sc.code)
			assert.Equal(t, fl.Ran, core.NotRun)
			assert.Equal(t, len(wo.calls), 0)
		})
	}
}

// All entries are stopped one after the other, so that callers find only ones
// that stop. What ends in time for sure must be served; for the rest, a caller
// that found nobody listening would use up its one retry at once, where it could
// come back to the restarted process.
func TestRequestsDuringAStop(t *testing.T) {
	for _, sc := range []struct {
		testName string
		path     string
		left     time.Duration
		served   bool
	}{
		{"a claim that ends in time", "/claim/1", 5 * time.Second, true},
		{"a claim that might not", "/claim/1", 2 * time.Second, false},
		{"a stream", "/draft/1", 5 * time.Second, false},
		{"no stop", "/draft/1", 0, true},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			play(t, func(t *testing.T) {
				wo := newWorld(t, answers(http.StatusOK, "done"))
				wo.left = sc.left
				_, _, err := wo.ask(t.Context(), sc.path)
				assert.Equal(t, err == nil, sc.served, "%v", err)
				var fl *core.Failure
				if errors.As(err, &fl) {
					assert.Equal(t, fl.Ran, core.NotRun)
					assert.Assert(t, fl.RetryAfter > sc.left, "back when a new process is there")
					assert.Equal(t, len(wo.calls), 0)
				}
			})
		})
	}
}
