package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/app/settings"
	"skylarkstand/core"
)

func quickMix(rate float64, duration time.Duration) Mix {
	mix := DefaultMix()
	mix.Entries, mix.Rate, mix.Duration = []string{"http://127.0.0.1:1"}, rate, settings.Duration(duration)
	mix.Requests = []Request{{Name: "quick", Weight: 1, Model: "quick", Deadline: settings.Duration(10 * time.Second), Sessions: 4}}
	return mix
}

// fakeSender is a sender that calls a function, for tests in virtual time.
type fakeSender func(ctx context.Context, ca *call) Attempt

func (fk fakeSender) send(ctx context.Context, ca *call, _ time.Duration) Attempt { return fk(ctx, ca) }

func TestRetryFollowsOutcomeAndRetryAfter(t *testing.T) {
	for _, sc := range []struct {
		testName  string
		at        Attempt
		attempts  int
		remaining time.Duration
		wait      time.Duration
		retry     bool
	}{
		{"complete response", Attempt{Outcome: Complete}, 1, time.Minute, 0, false},
		{"refused with Retry-After", Attempt{Outcome: NotRun, RetryAfter: 2 * time.Second}, 1, time.Minute, 2 * time.Second, true},
		{"refused without Retry-After", Attempt{Outcome: NotRun}, 1, time.Minute, 0, false},
		{"Retry-After beyond the deadline", Attempt{Outcome: NotRun, RetryAfter: 2 * time.Second}, 1, time.Second, 2 * time.Second, false},
		{"outcome unknown", Attempt{Outcome: Unknown}, 1, time.Minute, 0, false},
		{"truncated twice", Attempt{Outcome: Truncated}, 2, time.Minute, 200 * time.Millisecond, true},
		{"retries used up", Attempt{Outcome: Truncated}, 4, time.Minute, 0, false},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			wait, retry := RetryDelay(sc.at, sc.attempts, 3, sc.remaining, 0)
			assert.Equal(t, wait, sc.wait)
			assert.Equal(t, retry, sc.retry)
			late, _ := RetryDelay(sc.at, sc.attempts, 3, sc.remaining, 1)
			assert.Assert(t, late >= wait, "jitter must not shorten a wait: %s < %s", late, wait)
		})
	}
}

// An entry stalls for three seconds and then responds at once. A closed-loop load generator would
// send few requests in that time and report a low median, although callers that arrived then
// waited for seconds.
func TestLatencyCountsFromDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ru := New(quickMix(100, 6*time.Second))
		ru.snd = fakeSender(func(context.Context, *call) Attempt {
			time.Sleep(time.Until(began.Add(3 * time.Second)))
			return Attempt{Outcome: Complete}
		})
		rep := ru.Run(t.Context())
		assert.Equal(t, rep.Count(Complete), len(rep.Results))
		assert.Assert(t, len(rep.Results) > 500 && len(rep.Results) < 700, "%d", len(rep.Results))
		p40, p90 := rep.kinds[0].total.ValueAtQuantile(40), rep.kinds[0].total.ValueAtQuantile(90)
		assert.Assert(t, p40 <= 1 && p90 > 2_000_000, "%d %d", p40, p90)
	})
}

// The entry refuses every request of the first second with Retry-After. Clients must retry under
// the same request id, and none of them earlier than that.
func TestRefusedRequestsRetryUnderTheirIDAfterRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var mu sync.Mutex
		refused := map[string]time.Time{}
		ru := New(quickMix(50, time.Second))
		ru.snd = fakeSender(func(_ context.Context, ca *call) Attempt {
			mu.Lock()
			defer mu.Unlock()
			if time.Since(began) < time.Second {
				refused[ca.id] = time.Now()
				return Attempt{Outcome: NotRun, Code: core.CodeOverloaded, RetryAfter: 2 * time.Second}
			}
			assert.Check(t, time.Since(refused[ca.id]) >= 2*time.Second)
			assert.Check(t, ca.session != "")
			return Attempt{Outcome: Complete, Pin: "pin"}
		})
		rep := ru.Run(t.Context())
		assert.Equal(t, rep.Count(Complete), len(refused))
		assert.Equal(t, rep.kinds[0].attempts, 2*len(refused))
		var out strings.Builder
		assert.NilError(t, rep.WriteCSV(&out))
		assert.Equal(t, strings.Count(out.String(), "\n"), 1+len(refused))
	})
}

// A response that is cut off in the middle is useless to its caller. Counted as complete, it would
// hide the failure in the report.
func TestOutcomesOfResponses(t *testing.T) {
	for _, sc := range []struct {
		testName, contentType string
		status                int
		body                  string
		want                  Outcome
	}{
		{"complete stream", "text/event-stream", 200, "data: {}\n\ndata: [DONE]\n\n", Complete},
		{"stream without [DONE]", "text/event-stream", 200, "data: {}\n\n", Truncated},
		{"stream that ends in an error", "text/event-stream", 200, "data: {}\n\nevent: error\ndata: {\"error\":{\"code\":\"outcome-unknown\",\"ran\":\"unknown\"}}\n\n", Unknown},
		{"complete response", "application/json", 200, "{}", Complete},
		{"refused", "application/json", 503, `{"error":{"code":"overloaded","ran":"not-run"}}`, NotRun},
		{"failed", "application/json", 502, `{"error":{"code":"upstream-failed","ran":"ran"}}`, Ran},
		{"response of another server", "text/html", 502, "<html>", Truncated},
	} {
		t.Run(sc.testName, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", sc.contentType)
				w.Header().Set("Retry-After", "3")
				w.WriteHeader(sc.status)
				_, _ = w.Write([]byte(sc.body))
			}))
			defer srv.Close()
			rq := quickMix(1, time.Second).Requests[0]
			at := newClient().send(t.Context(), newCall(&rq, srv.URL, "id"), time.Second)
			assert.Equal(t, at.Outcome, sc.want)
			assert.Equal(t, at.RetryAfter, 3*time.Second)
		})
	}
}

func TestMixErrorsAreReportedTogether(t *testing.T) {
	_, err := ParseMix([]byte(`{"entries": [], "rate": 0, "duration": "10s", "request": []}`))
	assert.ErrorIs(t, err, ErrMix)
	assert.Equal(t, strings.Join(strings.Split(err.Error(), "\n")[1:], "\n"), strings.TrimSpace(`
entries: the list is too short; give at least 1
rate: 0 is too small; give more than 0
request: there is no such field; did you mean "requests"?
requests: is missing; set it`))
}
