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

// faults inject a fault and return a function that removes it.
var faults = map[string]func(*fixture) func(){
	"none":            func(*fixture) func() { return noop },
	"kill-agent":      func(fx *fixture) func() { return kill(fx.fl.Process(fx.upstreamID)) },
	"kill-upstream":   func(fx *fixture) func() { return kill(fx.upstream()) },
	"kill-entry":      killEntry,
	"freeze-agent":    func(fx *fixture) func() { return freeze(fx.fl.Process(fx.upstreamID)) },
	"freeze-entry":    func(fx *fixture) func() { return freeze(fx.entry) },
	"freeze-upstream": func(fx *fixture) func() { return freeze(fx.upstream()) },
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

func killEntry(fx *fixture) func() {
	fx.stopped[fx.entry.Name] = true
	return kill(fx.entry)
}

func freeze(pr *fleet.Process) func() {
	pr.Freeze()
	return func() {
		time.Sleep(faultDuration)
		pr.Resume()
	}
}

func cutLink(fx *fixture) func() {
	re := fx.fl.Relay(fx.upstreamID)
	re.Cut()
	return func() {
		time.Sleep(faultDuration / 3)
		re.Restore()
	}
}

func stallLink(fx *fixture) func() {
	re := fx.fl.Relay(fx.upstreamID)
	re.Stall()
	return func() {
		time.Sleep(faultDuration)
		re.Restore()
	}
}

func regionCut(fx *fixture) func() {
	store, hosts := fx.fl.Relay("entry-1-store"), fx.fl.Relay("entry-1-hosts")
	store.Stall()
	hosts.Stall()
	return func() {
		time.Sleep(faultDuration)
		store.Restore()
		hosts.Restore()
	}
}

func storeFault(body string) func(*fixture) func() {
	return func(fx *fixture) func() {
		fx.setFaults("store", body)
		return func() {
			time.Sleep(faultDuration)
			fx.setFaults("store", `{}`)
		}
	}
}

func crossAnswers(fx *fixture) func() {
	for _, id := range []string{"desk-1", "desk-2"} {
		fx.setFaults(id+"-engine", `{"cross":true}`)
	}
	rq := fx.chat(fx.entry, "", true)
	return func() { <-rq.done }
}

// poison sends a request that crashes engines. It may crash two at most, and the step
// may have taken one, so it first starts enough engines of each version to keep serving.
func poison(fx *fixture) func() {
	for _, id := range []string{"desk-3", "desk-4"} {
		assert.NilError(fx.t, fx.fl.StartEngine(id, deskV1, muc, engineArgs...))
	}
	for _, id := range []string{"new-2", "new-3"} {
		assert.NilError(fx.t, fx.fl.StartEngine(id, deskV2, muc, engineArgs...))
	}
	rq := fx.crash(fx.other)
	return func() { <-rq.done }
}

// operatorRace applies two changes concurrently: one adds a workspace with grants,
// the other withdraws a version.
func operatorRace(fx *fixture) func() {
	var wg sync.WaitGroup
	for _, name := range []string{"race-one.jsonc", "race-two.jsonc"} {
		wg.Go(func() { _, _ = fx.apply(name, 1) })
	}
	return func() {
		wg.Wait()
		out, err := fx.fl.Command("history", "--store", fx.fl.StoreURL)
		assert.NilError(fx.t, err, out)
	}
}
