package forward_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/route"
)

// Guards against a wrong "not run", which makes a caller send its request again: a repeated
// subsidy claim would order a second electrician. Also guards against work that may run again
// but isn't retried at another upstream.
func TestAttemptOutcomes(t *testing.T) {
	ok := answers(http.StatusOK, "done")
	failing := answers(http.StatusInternalServerError, "broken")
	scenarios := []struct {
		testName  string
		path      string
		behaviors []behavior
		calls     int
		status    int      // 0: a failure
		ran       core.Ran // of the failure
		text      string
	}{
		{"claim answered", "/claim/1", []behavior{ok}, 1, 200, "", "done"},
		{"claim refused by one upstream", "/claim/1", []behavior{refuses, ok}, 2, 200, "", "done"},
		{"claim that cannot be sent at first", "/claim/1", []behavior{unreachable, ok}, 2, 200, "", "done"},
		{"claim refused by all upstreams", "/claim/1", []behavior{refuses}, 4, 0, core.NotRun, ""},
		{"claim whose upstreams are unreachable", "/claim/1", []behavior{unreachable}, 4, 0, core.NotRun, ""},
		{"claim with a lost connection is not retried", "/claim/1", []behavior{losesConnection, ok}, 1, 0, core.RanUnknown, ""},
		{"claim refused, then a lost connection", "/claim/1", []behavior{refuses, losesConnection, ok}, 2, 0, core.RanUnknown, ""},
		{"claim with an error is not retried", "/claim/1", []behavior{failing, ok}, 1, 500, "", "broken"},
		{"claim with an unsealed answer", "/claim/1", []behavior{unsealed, ok}, 1, 0, core.RanUnknown, ""},
		{"claim whose answer breaks off", "/claim/1", []behavior{breaksOff("do"), ok}, 1, 0, core.RanUnknown, ""},
		{"lookup with a lost connection", "/lookup/1", []behavior{losesConnection, ok}, 2, 200, "", "done"},
		{"lookup with an error", "/lookup/1", []behavior{failing, ok}, 2, 200, "", "done"},
		{"lookup with errors returns the upstream's own", "/lookup/1", []behavior{failing}, 2, 500, "", "broken"},
		{"lookup with an unsealed answer", "/lookup/1", []behavior{unsealed, ok}, 2, 200, "", "done"},
		{"lookup whose answer breaks off", "/lookup/1", []behavior{breaksOff("do"), ok}, 2, 200, "", "done"},
		{"lookup with a lost connection, then refused", "/lookup/1", []behavior{losesConnection, refuses}, 4, 0, core.RanUnknown, ""},
		{"lookup with its attempts used up", "/lookup/1", []behavior{losesConnection}, 2, 0, core.RanUnknown, ""},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				fx := newFixture(t, sc.behaviors...)
				status, text, err := fx.send(t.Context(), sc.path)
				assert.Equal(t, len(fx.calls), sc.calls)
				if sc.status != 0 {
					assert.NilError(t, err)
					assert.Equal(t, status, sc.status)
					assert.Equal(t, text, sc.text)
					return
				}
				var fl *core.Failure
				assert.Assert(t, errors.As(err, &fl), "%v", err)
				assert.Equal(t, fl.Ran, sc.ran)
				assert.Assert(t, fl.Ran != core.NotRun || fl.RetryAfter > 0, "a refusal has a Retry-After")
			})
		})
	}
}

// An upstream breaks off in the middle of a stream, possibly in the middle of an event. Guards
// against events that are duplicated, out of order or joined from two attempts, and against a
// stream that can't be resumed but looks complete.
func TestBrokenStreamResumption(t *testing.T) {
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	scenarios := []struct {
		testName  string
		path      string
		behaviors []behavior
		text      string
		whole     bool
		after     []string
	}{
		{"whole", "/draft/1", []behavior{answers(200, one+two+three)}, one + two + three, true, []string{""}},
		{"cut in an event", "/draft/1", []behavior{breaksOff(one + "id: 2\nda"), answers(200, two+three)}, one + two + three, true, []string{"", "1"}},
		{"cut before its first event", "/draft/1", []behavior{breaksOff("id: 1"), answers(200, one+two)}, one + two, true, []string{"", ""}},
		{"cut twice", "/draft/1", []behavior{breaksOff(one), breaksOff(two), answers(200, three)}, one + two + three, true, []string{"", "1", "2"}},
		{"stalled half-way", "/draft/1", []behavior{stalls(one), answers(200, two+three)}, one + two + three, true, []string{"", "1"}},
		{"cut more often than the route's attempts", "/draft/1", []behavior{breaksOff(one), breaksOff(two), breaksOff(three)}, one + two + three, false, []string{"", "1", "2"}},
		{"no upstream answers the resumption", "/draft/1", []behavior{breaksOff(one), losesConnection}, one, false, []string{"", "1", "1"}},
		{"no upstream can be reached for the resumption", "/draft/1", []behavior{breaksOff(one), unreachable}, one, false, []string{"", "1", "1", "1"}},
		{"another error at the resumption", "/draft/1", []behavior{breaksOff(one), answers(500, "no"), answers(200, two)}, one + two, true, []string{"", "1", "1"}},
		{"not resumable", "/chat/1", []behavior{breaksOff(one + "id: 2")}, one, false, []string{""}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				fx := newFixture(t, sc.behaviors...)
				_, text, err := fx.send(t.Context(), sc.path)
				assert.Equal(t, text, sc.text)
				assert.Equal(t, err == nil, sc.whole, "%v", err)
				var after []string
				for _, ca := range fx.calls {
					after = append(after, ca.ResumeAfter)
				}
				assert.DeepEqual(t, after, sc.after)
			})
		})
	}
}

// The small model's answer has a low confidence. Guards against callers that receive any of it
// besides, or mixed with, the large model's answer.
func TestCascadeDiscardsLowConfidenceAnswer(t *testing.T) {
	const small, large = "data: hm\n\n", "data: so\n\n"
	scenarios := []struct {
		testName  string
		behaviors []behavior
		text      string
		models    []core.ModelID
	}{
		{"high confidence", []behavior{withConfidence(80, small)}, small, []core.ModelID{"small"}},
		{"low confidence", []behavior{withConfidence(5, small), withConfidence(90, large)}, large, []core.ModelID{"small", "large"}},
		{"low confidence of the largest model", []behavior{withConfidence(5, small), withConfidence(5, large)}, large, []core.ModelID{"small", "large"}},
		{"no confidence reported", []behavior{answers(200, small)}, small, []core.ModelID{"small"}},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				fx := newFixture(t, sc.behaviors...)
				_, text, err := fx.send(t.Context(), "/draft/1")
				assert.NilError(t, err)
				assert.Equal(t, text, sc.text)
				var models []core.ModelID
				for _, ca := range fx.calls {
					models = append(models, ca.Model)
				}
				assert.DeepEqual(t, models, sc.models)
			})
		})
	}
}

// A chat may run at most once. Guards against running it a second time at a larger model after a
// low-confidence answer: the largest model must run it from the start.
func TestAtMostOnceWorkStartsAtTheLargestModel(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, withConfidence(2, "data: hm\n\n"))
		_, _, err := fx.send(t.Context(), "/chat/1")
		assert.NilError(t, err)
		assert.Equal(t, len(fx.calls), 1)
		assert.Equal(t, fx.calls[0].Model, core.ModelID("large"))
	})
}

// An upstream accepts a request and never answers, while its health check passes. Guards against
// callers of retryable work that wait for it, against a claim that doesn't end as unknown at the
// route's timeout, and against upstreams that get more time than is left.
func TestUnresponsiveUpstream(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, hangs, answers(http.StatusOK, "done"))
		began := time.Now()
		_, text, err := fx.send(t.Context(), "/lookup/1")
		assert.NilError(t, err)
		assert.Equal(t, text, "done")
		assert.Assert(t, time.Since(began) < 400*time.Millisecond, "took %s", time.Since(began))
		assert.Assert(t, fx.calls[1].Timeout <= fx.calls[0].Timeout-time.Since(began), "%s, then %s", fx.calls[0].Timeout, fx.calls[1].Timeout)
	})
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, hangs)
		began := time.Now()
		_, _, err := fx.send(t.Context(), "/claim/1")
		var fl *core.Failure
		assert.Assert(t, errors.As(err, &fl))
		assert.Equal(t, fl.Ran, core.RanUnknown)
		assert.Equal(t, fl.Code, core.CodeDeadline)
		assert.Equal(t, time.Since(began), 3*time.Second, "the route's timeout")
	})
}

// A caller disconnects during its request. Guards against an upstream that isn't canceled at
// once and keeps working, and against a retry elsewhere.
func TestCallerDisconnects(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		var canceledAt time.Time
		fx := newFixture(t, func(ctx context.Context, ca *core.Call) (*core.Reply, error) {
			<-ctx.Done()
			canceledAt = time.Now()
			return hangs(ctx, ca)
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		began := time.Now()
		_, _, err := fx.send(ctx, "/lookup/1")
		assert.ErrorContains(t, err, string(core.CodeCallerGone))
		assert.Equal(t, canceledAt.Sub(began), 100*time.Millisecond)
		assert.Equal(t, len(fx.calls), 1)
	})
}

// An entry has had no confirmation of its configuration for a while, so an unknown key may be a
// new one. Guards against a final refusal that makes its caller give up for good. With a recent
// configuration the key is refused for good at once.
func TestUnknownKeyWithStaleConfiguration(t *testing.T) {
	for _, sc := range []struct {
		age  time.Duration
		code core.Code
	}{{time.Second, core.CodeUnauthorized}, {3100 * time.Millisecond, core.CodeStaleConfig}, {time.Minute, core.CodeStaleConfig}} {
		runInBubble(t, func(t *testing.T) {
			fx := newFixture(t, answers(http.StatusOK, "done"))
			fx.age = sc.age
			_, err := fx.fw.Forward(t.Context(), &core.Exchange{Host: "a.example", Path: "/claim/1", Key: "new", Arrived: time.Now()})
			var fl *core.Failure
			assert.Assert(t, errors.As(err, &fl))
			assert.Equal(t, fl.Code, sc.code)
			assert.Equal(t, fl.Ran, core.NotRun)
			assert.Equal(t, len(fx.calls), 0)
		})
	}
}

// All entries are restarted one after the other, so callers reach only stopping ones. Guards
// against refusing work that certainly finishes in time, and against closing the listener on the
// rest: their callers would use up their one retry at once, instead of returning to the
// restarted process.
func TestRequestsDuringShutdown(t *testing.T) {
	for _, sc := range []struct {
		testName string
		path     string
		left     time.Duration
		served   bool
	}{
		{"a claim that finishes in time", "/claim/1", 5 * time.Second, true},
		{"a claim that might not", "/claim/1", 2 * time.Second, false},
		{"a stream", "/draft/1", 5 * time.Second, false},
		{"no shutdown", "/draft/1", 0, true},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				fx := newFixture(t, answers(http.StatusOK, "data: done\n\n"))
				fx.left = sc.left
				_, _, err := fx.send(t.Context(), sc.path)
				assert.Equal(t, err == nil, sc.served, "%v", err)
				var fl *core.Failure
				if errors.As(err, &fl) {
					assert.Equal(t, fl.Ran, core.NotRun)
					assert.Assert(t, fl.RetryAfter > sc.left, "the Retry-After ends after the process has stopped")
					assert.Equal(t, len(fx.calls), 0)
				}
			})
		})
	}
}

// An address that has refused a request now belongs to another upstream: a copy of that refusal, which bears the
// request's id, would be taken for the answer to the second call, and what runs there would run elsewhere too.
func TestAddressThatRefusedIsNotUsedAgain(t *testing.T) {
	for _, path := range []string{"/claim/1", "/lookup/1", "/draft/1"} {
		for _, sameAddr := range []bool{false, true} {
			t.Run(fmt.Sprint(path, " same address ", sameAddr), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					fx := newFixture(t, refuses, refuses, answers(http.StatusOK, sound))
					for i := range 4 {
						ho := core.Host{ID: core.UpstreamID(fmt.Sprint("up-", i)), Service: "pool", Version: "v1", Slots: 8, Addr: "10.0.0.1:80"}
						if !sameAddr {
							ho.Addr = fmt.Sprintf("10.0.0.%d:80", i)
						}
						fx.fl.Put(ho)
					}
					status, _, err := fx.send(t.Context(), path)
					if !sameAddr {
						assert.NilError(t, err)
						assert.Equal(t, status, http.StatusOK)
						assert.Equal(t, len(fx.calls), 3)
						return
					}
					var fl *core.Failure
					assert.Assert(t, errors.As(err, &fl))
					assert.Equal(t, fl.Ran, core.NotRun)
					assert.Equal(t, len(fx.calls), 1)
				})
			})
		}
	}
}

// An upstream runs a request and answers with a status that promises the contrary: its caller would be told what
// is not true, and would send a claim again.
func TestStatusThatPromisesNotRunIsNotPassedOn(t *testing.T) {
	for path, calls := range map[string]int{"/claim/1": 1, "/lookup/1": 2, "/draft/1": 3, "/chat/1": 1} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			t.Run(path+" "+http.StatusText(status), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					fx := newFixture(t, answers(status, "ran"))
					_, _, err := fx.send(t.Context(), path)
					var fl *core.Failure
					assert.Assert(t, errors.As(err, &fl))
					assert.Equal(t, fl.Ran, core.RanUnknown)
					assert.Equal(t, len(fx.calls), calls)
				})
			})
		}
	}
}

// The last key of the last workspace is taken away: all callers were let in, with any key.
func TestWorkspacesWithoutKeysAdmitNobody(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		fx := newFixture(t, answers(http.StatusOK, "done"))
		fx.adoptWith(4, route.Workspace{ID: "school"})
		for _, key := range []core.APIKey{"key", "stolen", ""} {
			fx.key = key
			_, _, err := fx.send(t.Context(), "/claim/1")
			var fl *core.Failure
			assert.Assert(t, errors.As(err, &fl), "key %q", key)
			assert.Equal(t, fl.Code, core.CodeUnauthorized)
		}
		assert.Equal(t, len(fx.calls), 0)
	})
}
