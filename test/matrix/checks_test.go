package matrix_test

import (
	"strings"
	"time"

	"gotest.tools/v3/assert"
)

// check compares, after the fault was removed, what the callers received with the
// journals of engines and services and with the ledger.
func (fx *fixture) check() {
	fx.t.Helper()
	for _, rq := range fx.requests {
		<-rq.done
	}
	fx.checkAnswers()
	fx.retryCalls()
	fx.checkRuns()
	fx.checkBills()
	fx.checkCrashes()
}

// checkCrashes checks that a request that crashes engines, sent repeatedly, crashes
// two engines at most.
func (fx *fixture) checkCrashes() {
	fx.t.Helper()
	if !strings.HasSuffix(fx.t.Name(), "poison") {
		return
	}
	for range 5 {
		<-fx.crash(fx.other).done
	}
	crashed := 0
	for _, id := range engineIDs {
		if pr := fx.fl.Process(id + "-engine"); pr != nil && pr.Ended() {
			crashed++
		}
	}
	assert.Assert(fx.t, crashed <= 2, "a poisonous request crashed %d engines; want at most 2", crashed)
}

// checkAnswers checks that each caller received the complete answer to its own request
// or an error that states truthfully whether the request ran.
func (fx *fixture) checkAnswers() {
	fx.t.Helper()
	for _, rq := range fx.requests {
		if rq.err != nil || rq.reply == nil {
			assert.Assert(fx.t, fx.stopped[rq.entry], "%s through %s got no reply, although the entry was not stopped: %v", rq.id, rq.entry, rq.err)
			continue
		}
		re := rq.reply
		assert.Assert(fx.t, !strings.Contains(re.Text, "STRANGER"), "%s got text of another request's answer", rq.id)
		switch {
		case re.Complete && rq.key == "":
			fx.checkText(rq)
		case re.Complete:
		case re.Error.Ran == "":
			assert.Assert(fx.t, fx.stopped[rq.entry], "%s was cut off without an error, although its entry was not stopped: status %d %s", rq.id, re.Status, re.Body)
		case re.Error.Ran == "not-run":
			fx.checkNotRun(rq)
		}
	}
}

func (fx *fixture) checkText(rq *request) {
	fx.t.Helper()
	for i, word := range strings.Fields(rq.reply.Text) {
		assert.Equal(fx.t, word, "w"+itoa(i+1), "the answer to %s has a gap", rq.id)
	}
}

// checkNotRun checks that a request answered with "not-run" did not run. A service
// call may have run in another attempt with the same key; checkRuns counts those.
func (fx *fixture) checkNotRun(rq *request) {
	fx.t.Helper()
	if rq.key != "" {
		return
	}
	for _, id := range engineIDs {
		for _, ru := range journal[engineRun](fx, id+"-engine") {
			assert.Assert(fx.t, ru.Tag != rq.tag, "%s was answered with not-run (%s) but ran on %s", rq.id, rq.reply.Error.Message, id)
		}
	}
}

// retryCalls sends each at-most-once call again with its key through the other entry,
// as a caller does that has not received the outcome.
func (fx *fixture) retryCalls() {
	fx.t.Helper()
	keys := map[string]bool{}
	for _, rq := range fx.requests {
		if rq.key != "" && !strings.HasPrefix(rq.key, "ready-") {
			keys[rq.key] = true
		}
	}
	for key := range keys {
		for range 3 {
			<-fx.call(fx.other, key).done
		}
	}
}

// checkRuns checks that an operation ran at most once, and that the callers' answers
// agree with the services' journals.
func (fx *fixture) checkRuns() {
	fx.t.Helper()
	runs := map[string]int{}
	journalsComplete := true
	for _, id := range []string{"orders-1", "orders-2"} {
		pr := fx.fl.Process(id + "-service")
		if pr.Ended() {
			journalsComplete = false // Its journal is lost with the process.
			continue
		}
		for _, ru := range journal[serviceRun](fx, id+"-service") {
			runs[ru.Key]++
		}
	}
	for key, n := range runs {
		totals.duplicateRuns.Add(int64(n - 1))
		assert.Assert(fx.t, n <= 1, "the call with key %s ran %d times", key, n)
	}
	for _, rq := range fx.requests {
		if rq.key == "" || rq.reply == nil || !journalsComplete {
			continue
		}
		if rq.reply.Complete {
			assert.Equal(fx.t, runs[rq.key], 1, "%s was answered, but runs of its key", rq.id)
		}
	}
	for _, rq := range fx.requests {
		if rq.key != "" && journalsComplete && runs[rq.key] > 0 && fx.allNotRun(rq.key) {
			fx.t.Errorf("the call with key %s ran, but every caller was answered with not-run", rq.key)
		}
	}
}

// allNotRun reports whether all attempts with a key were answered with not-run.
func (fx *fixture) allNotRun(key string) bool {
	for _, rq := range fx.requests {
		if rq.key == key && (rq.reply == nil || rq.reply.Complete || rq.reply.Error.Ran != "not-run") {
			return false
		}
	}
	return true
}

// checkBills checks that each complete answer is billed, and no request more than once.
func (fx *fixture) checkBills() {
	fx.t.Helper()
	whole := 0
	for _, rq := range fx.requests {
		if rq.reply != nil && rq.reply.Complete {
			whole++
		}
	}
	var bills map[string]int
	defer func() {
		for _, rq := range fx.requests {
			if rq.reply != nil && rq.reply.Complete && bills[rq.id] == 0 {
				totals.lostBills.Add(1)
			}
			totals.duplicateBills.Add(int64(max(bills[rq.id]-1, 0)))
		}
	}()
	began := time.Now()
	fx.poll("every complete answer has a durable bill", func() bool {
		var ok bool
		bills, ok = fx.bills()
		if !ok {
			return false
		}
		for _, rq := range fx.requests {
			missing := rq.reply != nil && rq.reply.Complete && bills[rq.id] == 0
			if missing && (!fx.mayLoseBill(rq) || time.Since(began) <= takeoverLimit) {
				return false
			}
		}
		return true
	})
	for _, rq := range fx.requests {
		assert.Assert(fx.t, bills[rq.id] <= 1, "%s was billed %d times", rq.id, bills[rq.id])
	}
}

// takeoverLimit is far above the time in which agents and a successor file the bills of
// an entry that has stopped. Only after it does the check accept that a bill is lost.
const takeoverLimit = 25 * time.Second

// mayLoseBill reports whether the bill of a complete answer may be lost: its entry was
// killed before the bill was durable, and so was the agent that kept a copy.
func (fx *fixture) mayLoseBill(rq *request) bool {
	return fx.stopped[rq.entry] && fx.upstreamID != "" && fx.fl.Process(fx.upstreamID).Ended()
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}
