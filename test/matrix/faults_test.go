package matrix_test

import (
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/test/fleet"
)

// faultDuration is how long a temporary fault lasts. It exceeds the time after which
// a silent link is closed, so that some requests are sent before that and some after it.
const faultDuration = 1500 * time.Millisecond

// faults inject a fault and return a function that heals it.
var faults = map[string]func(*fixture) func(){
	"none":            func(*fixture) func() { return noop },
	"kill-agent":      func(wo *fixture) func() { return kill(wo.fl.Process(wo.agent)) },
	"kill-upstream":   func(wo *fixture) func() { return kill(wo.upstream()) },
	"kill-entry":      killEntry,
	"freeze-agent":    func(wo *fixture) func() { return freeze(wo.fl.Process(wo.agent)) },
	"freeze-entry":    func(wo *fixture) func() { return freeze(wo.entry) },
	"freeze-upstream": func(wo *fixture) func() { return freeze(wo.upstream()) },
	"cut-link":        cutLink,
	"hold-link":       stallLink,
	"region-cut":      regionCut,
	"store-down":      storeFault(`{"down":true}`),
	"store-slow":      storeFault(`{"slow":500}`),
	"replies-lost":    storeFault(`{"lose-replies":0.5}`),
	"crossed-answers": crossAnswers,
	"poison":          poison,
	"operator-race":   operatorRace,
}

func kill(pr *fleet.Process) func() {
	pr.Kill()
	return noop
}

func killEntry(wo *fixture) func() {
	wo.stopped[wo.entry.Name] = true
	return kill(wo.entry)
}

func freeze(pr *fleet.Process) func() {
	pr.Freeze()
	return func() {
		time.Sleep(faultDuration)
		pr.Resume()
	}
}

func cutLink(wo *fixture) func() {
	re := wo.fl.Relay(wo.agent)
	re.Cut()
	return func() {
		time.Sleep(faultDuration / 3)
		re.Restore()
	}
}

func stallLink(wo *fixture) func() {
	re := wo.fl.Relay(wo.agent)
	re.Stall()
	return func() {
		time.Sleep(faultDuration)
		re.Restore()
	}
}

func regionCut(wo *fixture) func() {
	store, hosts := wo.fl.Relay("entry-1-store"), wo.fl.Relay("entry-1-hosts")
	store.Stall()
	hosts.Stall()
	return func() {
		time.Sleep(faultDuration)
		store.Restore()
		hosts.Restore()
	}
}

func storeFault(body string) func(*fixture) func() {
	return func(wo *fixture) func() {
		wo.setFaults("store", body)
		return func() {
			time.Sleep(faultDuration)
			wo.setFaults("store", `{}`)
		}
	}
}

func crossAnswers(wo *fixture) func() {
	for _, id := range []string{"desk-1", "desk-2"} {
		wo.setFaults(id+"-engine", `{"cross":true}`)
	}
	as := wo.chat(wo.entry, "", true)
	return func() { <-as.done }
}

// poison sends a request that crashes engines. It may crash two at most, and the step
// may have taken one, so it first starts enough engines of each version to keep serving.
func poison(wo *fixture) func() {
	for _, id := range []string{"desk-3", "desk-4"} {
		assert.NilError(wo.t, wo.fl.StartEngine(id, deskV1, muc, engineArgs...))
	}
	for _, id := range []string{"new-2", "new-3"} {
		assert.NilError(wo.t, wo.fl.StartEngine(id, deskV2, muc, engineArgs...))
	}
	as := wo.crash(wo.other)
	return func() { <-as.done }
}

// operatorRace applies two changes concurrently: one adds a workspace with grants,
// the other withdraws a version.
func operatorRace(wo *fixture) func() {
	var wg sync.WaitGroup
	for _, name := range []string{"race-one.jsonc", "race-two.jsonc"} {
		wg.Go(func() { _, _ = wo.apply(name, 1) })
	}
	return func() {
		wg.Wait()
		out, err := wo.fl.Command("history", "--store", wo.fl.StoreURL)
		assert.NilError(wo.t, err, out)
	}
}
