package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/standin/kv"
	"skylarkstand/standin/runner"
)

// stream is a whole stream of the stand-in.
func stream() string {
	out := ""
	for n := 1; n <= 6; n++ {
		out += runner.Event(n)
	}
	return out
}

// The upstream must get the request as its caller sent it, with what the system
// sets in place of what a caller may have made up, and the caller the upstream's
// answer with its proof of origin.
func TestRequestIsPassedOnAsItIs(t *testing.T) {
	wo := newWorld(t, 1)
	re := wo.ask(ask{path: "/lookup/a%20b?n=1&m=%2F", body: "lamp", header: http.Header{
		"X-Note": {"one", "two"}, "X-Skylarkstand-Tenant": {"somebody"}, "Kv-From": {"10.0.0.1:1/x"}, "X-Skylarkstand-Hold": {"h"},
	}})
	assert.Equal(t, re.status, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(re.body, "did lamp"), re.body)
	assert.Assert(t, strings.HasPrefix(re.header.Get("X-Skylarkstand-Response-Seal"), "seal-i-desk-"))
	var run runner.Run
	for _, ru := range wo.desks {
		for _, ru := range ru.Runs() {
			run = ru
		}
	}
	assert.Equal(t, run.Path, "/lookup/a%20b?n=1&m=%2F")
	assert.Equal(t, run.Body, "lamp")
	assert.Equal(t, run.Workspace, "school")
	assert.Equal(t, run.ID, "r1")
	assert.DeepEqual(t, run.Header.Values("X-Note"), []string{"one", "two"})
	assert.Assert(t, run.DeadlineMs > 3000 && run.DeadlineMs <= 4000, "%d", run.DeadlineMs)
	for _, name := range []string{"X-Skylarkstand-Key", "Kv-From", "X-Skylarkstand-Hold"} {
		assert.Equal(t, run.Header.Get(name), "")
	}
}

// Refusals at the door: each with the status that tells the caller what to do.
func TestRefusals(t *testing.T) {
	wo := newWorld(t, 1)
	assert.Equal(t, wo.ask(ask{path: "/nowhere/1"}).status, http.StatusNotFound)
	assert.Equal(t, wo.ask(ask{path: "/lookup/1", key: "stolen"}).status, http.StatusUnauthorized)
	assert.Equal(t, wo.ask(ask{path: "/open/1", key: "stolen"}).status, http.StatusOK)
	assert.Equal(t, wo.ask(ask{path: "/lookup/1", body: strings.Repeat("x", 5000)}).status, http.StatusRequestEntityTooLarge)
	long := http.Header{"X-Note": {strings.Repeat("n", 9000)}}
	assert.Equal(t, wo.ask(ask{path: "/lookup/1", header: long}).status, http.StatusRequestHeaderFieldsTooLarge)
	for _, ru := range wo.desks {
		ru.Do(runner.Full)
	}
	re := wo.ask(ask{path: "/claim/1"})
	assert.Equal(t, re.status, http.StatusServiceUnavailable)
	assert.Assert(t, re.header.Get("Retry-After") != "")
	assert.Equal(t, runs(wo.desks), 1, "only the public request ran")
}

// An upstream fails or refuses. A lookup must be answered by the other one, and
// a claim only if it surely did not run.
func TestRepeats(t *testing.T) {
	wo := newWorld(t, 1)
	wo.desks[0].Do(runner.Fail)
	for range 12 {
		assert.Equal(t, wo.ask(ask{path: "/lookup/1"}).status, http.StatusOK)
	}
	before := runs(wo.desks)
	wo.desks[1].Do(runner.Fail)
	assert.Equal(t, wo.ask(ask{path: "/claim/1"}).status, http.StatusInternalServerError)
	assert.Equal(t, runs(wo.desks), before+1)
	wo.desks[0].Do(runner.Full)
	wo.desks[1].Do(runner.Answer)
	for range 6 {
		assert.Equal(t, wo.ask(ask{path: "/claim/1"}).status, http.StatusOK)
	}
}

// An engine breaks in the middle of an event of a stream. Its caller must get
// every event once and in order, from the other one.
func TestStreamGoesOnElsewhere(t *testing.T) {
	wo := newWorld(t, 1)
	re := wo.ask(ask{path: "/draft/1", model: "*"})
	assert.NilError(t, re.err)
	assert.Equal(t, re.body, stream())
	wo.lms[0].Do(runner.Break)
	for range 8 {
		re := wo.ask(ask{path: "/draft/1", model: "*"})
		assert.NilError(t, re.err)
		assert.Equal(t, re.body, stream())
	}
	resumed := 0
	for _, run := range wo.lms[1].Runs() {
		if run.After == "2" {
			resumed++
		}
		assert.Equal(t, run.Model, "small")
	}
	assert.Assert(t, resumed > 0)
}

// A key is taken away, and one of the gateways is turned away by the store. Both
// must refuse the key soon; the one that is turned away hears it from the other.
func TestKeyTakenAway(t *testing.T) {
	wo := newWorld(t, 2)
	for gw := range 2 {
		assert.Equal(t, wo.ask(ask{gateway: gw, path: "/lookup/1"}).status, http.StatusOK)
	}
	wo.configure(5, "key-2")
	for gw := range 2 {
		wo.until("the key's end", func() bool { return wo.ask(ask{gateway: gw, path: "/lookup/1"}).status == http.StatusUnauthorized })
		assert.Equal(t, wo.ask(ask{gateway: gw, path: "/lookup/1", key: "key-2"}).status, http.StatusOK)
	}
	// An older configuration that arrives late changes nothing.
	wo.configure(4, "key-1")
	wo.st.Put("op/other", "a change that is heard of after it")
	assert.Equal(t, wo.ask(ask{path: "/lookup/1", key: "key-2"}).status, http.StatusOK)
}

// The store forgets its history while an upstream leaves, and writes in the list
// what no upstream wrote. The one that leaves must get no new work.
func TestDrainingUpstream(t *testing.T) {
	wo := newWorld(t, 1)
	wo.st.Put("servers/i-forged", "no upstream at all")
	wo.st.Put("servers/i-odd", object{"service": 7, "address": true})
	wo.st.Compact()
	wo.st.Put("servers/i-desk-0", wo.desks[0].Line("127.0.0.1:1", "muc-a", "draining"))
	wo.until("the upstream's leaving", func() bool {
		before := len(wo.desks[0].Runs())
		for range 10 {
			assert.Equal(t, wo.ask(ask{path: "/lookup/1"}).status, http.StatusOK)
		}
		return len(wo.desks[0].Runs()) == before
	})
}

// The store is away for a while. What is known goes on to be right, and callers
// must not notice.
func TestStoreAway(t *testing.T) {
	for _, tr := range []kv.Trouble{kv.Busy, kv.Lost} {
		wo := newWorld(t, 1)
		wo.st.Trouble(tr)
		for range 20 {
			assert.Equal(t, wo.ask(ask{path: "/claim/1"}).status, http.StatusOK)
		}
		wo.st.Trouble(kv.None)
		wo.configure(9, "key-9")
		wo.until("the change after it", func() bool { return wo.ask(ask{path: "/lookup/1", key: "key-9"}).status == http.StatusOK })
	}
}

// A gateway is stopped while callers stream from it. Each must get its whole
// answer, and the process must end by itself.
func TestStopCutsNothingOff(t *testing.T) {
	wo := newWorld(t, 1)
	for _, ru := range wo.lms {
		ru.Do(runner.Slow)
	}
	const callers = 10
	done := make(chan got, callers)
	for range callers {
		go func() { done <- wo.askAlone(ask{path: "/draft/1", model: "*"}) }()
	}
	wo.until("the streams", func() bool { return runs(wo.lms) == callers })
	wo.gws[0].Terminate()
	for range callers {
		re := <-done
		assert.NilError(t, re.err)
		assert.Equal(t, re.body, stream())
	}
	assert.NilError(t, wo.gws[0].Wait())
}

// An operator orders a version that fails all it gets. It must be rolled back,
// and the operator must read so.
func TestBadVersion(t *testing.T) {
	wo := newWorld(t, 2)
	bad := wo.upstream("i-new-0", "desk", "v2")
	bad.Do(runner.Fail)
	wo.st.Put("op/rollout/desk", object{"service": "desk", "target": "v2", "duration_s": 20})
	wo.until("the roll-back", func() bool {
		for gw := range 2 {
			wo.ask(ask{gateway: gw, path: "/lookup/1"})
		}
		return strings.Contains(string(wo.st.Get("status/rollout/desk")), "rolled_back")
	})
	assert.Assert(t, len(bad.Runs()) < 60, "%d requests reached it", len(bad.Runs()))
}
