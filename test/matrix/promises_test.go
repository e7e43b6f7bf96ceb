package matrix_test

import (
	"strings"
	"time"

	"gotest.tools/v3/assert"
)

// check looks at the world from outside after the fault has healed: what the
// callers got, what the journals of engines and services say, what the ledger
// holds.
func (wo *world) check() {
	wo.t.Helper()
	for _, as := range wo.asked {
		<-as.done
	}
	wo.checkAnswers()
	wo.repeatCalls()
	wo.checkRuns()
	wo.checkBills()
	wo.checkCrashes()
}

// checkCrashes: one request that crashes engines, sent again and again, takes
// two at most.
func (wo *world) checkCrashes() {
	wo.t.Helper()
	if !strings.HasSuffix(wo.t.Name(), "poison") {
		return
	}
	for range 5 {
		<-wo.crash(wo.two).done
	}
	lost := 0
	for _, id := range engines {
		if pr := wo.fl.Process(id + "-engine"); pr != nil && pr.Ended() {
			lost++
		}
	}
	assert.Assert(wo.t, lost <= 2, "%d engines went down", lost)
}

// checkAnswers: a caller gets the whole answer to its own request, or is told
// the truth, with a time to come back where coming back helps.
func (wo *world) checkAnswers() {
	wo.t.Helper()
	for _, as := range wo.asked {
		if as.err != nil || as.reply == nil {
			assert.Assert(wo.t, wo.dead[as.entry], "%s through %s got no reply: %v", as.id, as.entry, as.err)
			continue
		}
		re := as.reply
		assert.Assert(wo.t, !strings.Contains(re.Text, "STRANGER"), "%s got another request's words", as.id)
		switch {
		case re.Whole && as.key == "":
			wo.checkText(as)
		case re.Whole:
		case re.Error.Ran == "":
			assert.Assert(wo.t, wo.dead[as.entry], "%s was cut without a word: status %d %s", as.id, re.Status, re.Body)
		case re.Error.Ran == "not-run":
			wo.checkNotRun(as)
		}
	}
}

func (wo *world) checkText(as *asked) {
	wo.t.Helper()
	for i, word := range strings.Fields(as.reply.Text) {
		assert.Equal(wo.t, word, "w"+itoa(i+1), "%s has a gap", as.id)
	}
}

// checkNotRun: "not run" is true. For a call, another try with the same key
// may have run; the key's runs are counted in checkRuns.
func (wo *world) checkNotRun(as *asked) {
	wo.t.Helper()
	if as.key != "" {
		return
	}
	for _, id := range engines {
		for _, ru := range journal[engineRun](wo, id+"-engine") {
			assert.Assert(wo.t, ru.Tag != as.tag, "%s was told not-run (%s) and ran on %s", as.id, as.reply.Error.Message, id)
		}
	}
}

// repeatCalls sends each at-most-once call again with its key through the
// other entry, as a caller would that does not know how it ended.
func (wo *world) repeatCalls() {
	wo.t.Helper()
	keys := map[string]bool{}
	for _, as := range wo.asked {
		if as.key != "" && !strings.HasPrefix(as.key, "ready-") {
			keys[as.key] = true
		}
	}
	for key := range keys {
		for range 3 {
			<-wo.call(wo.two, key).done
		}
	}
}

// checkRuns: an operation runs at most once, and the callers' answers agree
// with the service's journal.
func (wo *world) checkRuns() {
	wo.t.Helper()
	runs := map[string]int{}
	known := true
	for _, id := range []string{"orders-1", "orders-2"} {
		pr := wo.fl.Process(id + "-service")
		if pr.Ended() {
			known = false // Its journal went with it.
			continue
		}
		for _, ru := range journal[serviceRun](wo, id+"-service") {
			runs[ru.Key]++
		}
	}
	for key, n := range runs {
		seen.doubledRuns.Add(int64(n - 1))
		assert.Assert(wo.t, n <= 1, "the call %s ran %d times", key, n)
	}
	for _, as := range wo.asked {
		if as.key == "" || as.reply == nil || !known {
			continue
		}
		if as.reply.Whole {
			assert.Equal(wo.t, runs[as.key], 1, "%s was answered and did not run", as.id)
		}
	}
	for _, as := range wo.asked {
		if as.key != "" && known && runs[as.key] > 0 && wo.onlyNotRun(as.key) {
			wo.t.Errorf("the call %s ran, and every caller was told not-run", as.key)
		}
	}
}

// onlyNotRun reports whether all tries with a key were told that nothing ran.
func (wo *world) onlyNotRun(key string) bool {
	for _, as := range wo.asked {
		if as.key == key && (as.reply == nil || as.reply.Whole || as.reply.Error.Ran != "not-run") {
			return false
		}
	}
	return true
}

// checkBills: each request is billed once, and only if its answer was whole.
func (wo *world) checkBills() {
	wo.t.Helper()
	whole := 0
	for _, as := range wo.asked {
		if as.reply != nil && as.reply.Whole {
			whole++
		}
	}
	var bills map[string]int
	defer func() {
		for _, as := range wo.asked {
			if as.reply != nil && as.reply.Whole && bills[as.id] == 0 {
				seen.lostBills.Add(1)
			}
			seen.doubledBills.Add(int64(max(bills[as.id]-1, 0)))
		}
	}()
	began := time.Now()
	wo.poll("all bills durable", func() bool {
		var ok bool
		bills, ok = wo.bills()
		if !ok {
			return false
		}
		for _, as := range wo.asked {
			lacks := as.reply != nil && as.reply.Whole && bills[as.id] == 0
			if lacks && (!wo.mayLose(as) || time.Since(began) <= takeover) {
				return false
			}
		}
		return true
	})
	for _, as := range wo.asked {
		assert.Assert(wo.t, bills[as.id] <= 1, "%s is billed %d times", as.id, bills[as.id])
	}
}

// takeover is far above what agents and a successor take to file the bills of
// an entry that is gone. Only after it is a bill that may be lost given up.
const takeover = 25 * time.Second

// mayLose tells whether a whole answer's bill may be lost: its entry was killed
// before the bill was durable, and the agent that kept a copy was killed too.
func (wo *world) mayLose(as *asked) bool {
	return wo.dead[as.entry] && wo.agent != "" && wo.fl.Process(wo.agent).Ended()
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}
