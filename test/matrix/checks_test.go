package matrix_test

import (
	"strings"
	"time"

	"gotest.tools/v3/assert"
)

// check compares, after the fault has healed, what the callers received with the
// journals of engines and services and with the ledger.
func (wo *fixture) check() {
	wo.t.Helper()
	for _, as := range wo.requests {
		<-as.done
	}
	wo.checkAnswers()
	wo.retryCalls()
	wo.checkRuns()
	wo.checkBills()
	wo.checkCrashes()
}

// checkCrashes checks that a request that crashes engines, sent repeatedly, crashes
// two engines at most.
func (wo *fixture) checkCrashes() {
	wo.t.Helper()
	if !strings.HasSuffix(wo.t.Name(), "poison") {
		return
	}
	for range 5 {
		<-wo.crash(wo.other).done
	}
	crashed := 0
	for _, id := range engineIDs {
		if pr := wo.fl.Process(id + "-engine"); pr != nil && pr.Ended() {
			crashed++
		}
	}
	assert.Assert(wo.t, crashed <= 2, "a poisonous request crashed %d engines; want at most 2", crashed)
}

// checkAnswers checks that each caller received the complete answer to its own request
// or an error that states truthfully whether the request ran.
func (wo *fixture) checkAnswers() {
	wo.t.Helper()
	for _, as := range wo.requests {
		if as.err != nil || as.reply == nil {
			assert.Assert(wo.t, wo.stopped[as.entry], "%s through %s got no reply, although the entry was not stopped: %v", as.id, as.entry, as.err)
			continue
		}
		re := as.reply
		assert.Assert(wo.t, !strings.Contains(re.Text, "STRANGER"), "%s got text of another request's answer", as.id)
		switch {
		case re.Complete && as.key == "":
			wo.checkText(as)
		case re.Complete:
		case re.Error.Ran == "":
			assert.Assert(wo.t, wo.stopped[as.entry], "%s was cut off without an error, although its entry was not stopped: status %d %s", as.id, re.Status, re.Body)
		case re.Error.Ran == "not-run":
			wo.checkNotRun(as)
		}
	}
}

func (wo *fixture) checkText(as *request) {
	wo.t.Helper()
	for i, word := range strings.Fields(as.reply.Text) {
		assert.Equal(wo.t, word, "w"+itoa(i+1), "the answer to %s has a gap", as.id)
	}
}

// checkNotRun checks that a request answered with "not-run" did not run. A service
// call may have run in another attempt with the same key; checkRuns counts those.
func (wo *fixture) checkNotRun(as *request) {
	wo.t.Helper()
	if as.key != "" {
		return
	}
	for _, id := range engineIDs {
		for _, ru := range journal[engineRun](wo, id+"-engine") {
			assert.Assert(wo.t, ru.Tag != as.tag, "%s was answered with not-run (%s) but ran on %s", as.id, as.reply.Error.Message, id)
		}
	}
}

// retryCalls sends each at-most-once call again with its key through the other entry,
// as a caller does that has not received the outcome.
func (wo *fixture) retryCalls() {
	wo.t.Helper()
	keys := map[string]bool{}
	for _, as := range wo.requests {
		if as.key != "" && !strings.HasPrefix(as.key, "ready-") {
			keys[as.key] = true
		}
	}
	for key := range keys {
		for range 3 {
			<-wo.call(wo.other, key).done
		}
	}
}

// checkRuns checks that an operation ran at most once, and that the callers' answers
// agree with the services' journals.
func (wo *fixture) checkRuns() {
	wo.t.Helper()
	runs := map[string]int{}
	journalsComplete := true
	for _, id := range []string{"orders-1", "orders-2"} {
		pr := wo.fl.Process(id + "-service")
		if pr.Ended() {
			journalsComplete = false // Its journal is lost with the process.
			continue
		}
		for _, ru := range journal[serviceRun](wo, id+"-service") {
			runs[ru.Key]++
		}
	}
	for key, n := range runs {
		totals.duplicateRuns.Add(int64(n - 1))
		assert.Assert(wo.t, n <= 1, "the call with key %s ran %d times", key, n)
	}
	for _, as := range wo.requests {
		if as.key == "" || as.reply == nil || !journalsComplete {
			continue
		}
		if as.reply.Complete {
			assert.Equal(wo.t, runs[as.key], 1, "%s was answered, but runs of its key", as.id)
		}
	}
	for _, as := range wo.requests {
		if as.key != "" && journalsComplete && runs[as.key] > 0 && wo.allNotRun(as.key) {
			wo.t.Errorf("the call with key %s ran, but every caller was answered with not-run", as.key)
		}
	}
}

// allNotRun reports whether all attempts with a key were answered with not-run.
func (wo *fixture) allNotRun(key string) bool {
	for _, as := range wo.requests {
		if as.key == key && (as.reply == nil || as.reply.Complete || as.reply.Error.Ran != "not-run") {
			return false
		}
	}
	return true
}

// checkBills checks that each complete answer is billed, and no request more than once.
func (wo *fixture) checkBills() {
	wo.t.Helper()
	whole := 0
	for _, as := range wo.requests {
		if as.reply != nil && as.reply.Complete {
			whole++
		}
	}
	var bills map[string]int
	defer func() {
		for _, as := range wo.requests {
			if as.reply != nil && as.reply.Complete && bills[as.id] == 0 {
				totals.lostBills.Add(1)
			}
			totals.duplicateBills.Add(int64(max(bills[as.id]-1, 0)))
		}
	}()
	began := time.Now()
	wo.poll("every complete answer has a durable bill", func() bool {
		var ok bool
		bills, ok = wo.bills()
		if !ok {
			return false
		}
		for _, as := range wo.requests {
			missing := as.reply != nil && as.reply.Complete && bills[as.id] == 0
			if missing && (!wo.mayLoseBill(as) || time.Since(began) <= takeoverLimit) {
				return false
			}
		}
		return true
	})
	for _, as := range wo.requests {
		assert.Assert(wo.t, bills[as.id] <= 1, "%s was billed %d times", as.id, bills[as.id])
	}
}

// takeoverLimit is far above the time in which agents and a successor file the bills of
// an entry that has stopped. Only after it does the check accept that a bill is lost.
const takeoverLimit = 25 * time.Second

// mayLoseBill reports whether the bill of a complete answer may be lost: its entry was
// killed before the bill was durable, and so was the agent that kept a copy.
func (wo *fixture) mayLoseBill(as *request) bool {
	return wo.stopped[as.entry] && wo.agent != "" && wo.fl.Process(wo.agent).Ended()
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}
