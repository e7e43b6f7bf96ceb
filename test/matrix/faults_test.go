package matrix_test

import (
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/test/fleet"
)

// lasts is how long a fault that heals goes on. It is above the time in which
// a silent link is given up, so that both sides of that decision are met.
const lasts = 1500 * time.Millisecond

// faults strike and return a function that heals them.
var faults = map[string]func(*world) func(){
	"none":            func(*world) func() { return goOn },
	"kill-agent":      func(wo *world) func() { return kill(wo.fl.Process(wo.agent)) },
	"kill-upstream":   func(wo *world) func() { return kill(wo.upstream()) },
	"kill-entry":      killEntry,
	"freeze-agent":    func(wo *world) func() { return freeze(wo.fl.Process(wo.agent)) },
	"freeze-entry":    func(wo *world) func() { return freeze(wo.one) },
	"freeze-upstream": func(wo *world) func() { return freeze(wo.upstream()) },
	"cut-link":        cutLink,
	"hold-link":       holdLink,
	"region-cut":      regionCut,
	"store-down":      storeFault(`{"down":true}`),
	"store-slow":      storeFault(`{"slow":500}`),
	"replies-lost":    storeFault(`{"lose-replies":0.5}`),
	"crossed-answers": crossed,
	"poison":          poison,
	"operator-race":   operatorRace,
}

func kill(pr *fleet.Process) func() {
	pr.Kill()
	return goOn
}

func killEntry(wo *world) func() {
	wo.dead[wo.one.Name] = true
	return kill(wo.one)
}

func freeze(pr *fleet.Process) func() {
	pr.Freeze()
	return func() {
		time.Sleep(lasts)
		pr.Resume()
	}
}

func cutLink(wo *world) func() {
	re := wo.fl.Relay(wo.agent)
	re.Cut()
	return func() {
		time.Sleep(lasts / 3)
		re.Restore()
	}
}

func holdLink(wo *world) func() {
	re := wo.fl.Relay(wo.agent)
	re.Hold()
	return func() {
		time.Sleep(lasts)
		re.Restore()
	}
}

func regionCut(wo *world) func() {
	store, hosts := wo.fl.Relay("entry-1-store"), wo.fl.Relay("entry-1-hosts")
	store.Hold()
	hosts.Hold()
	return func() {
		time.Sleep(lasts)
		store.Restore()
		hosts.Restore()
	}
}

func storeFault(order string) func(*world) func() {
	return func(wo *world) func() {
		wo.order("store", order)
		return func() {
			time.Sleep(lasts)
			wo.order("store", `{}`)
		}
	}
}

func crossed(wo *world) func() {
	for _, id := range []string{"desk-1", "desk-2"} {
		wo.order(id+"-engine", `{"cross":true}`)
	}
	as := wo.chat(wo.one, "", true)
	return func() { <-as.done }
}

// poison costs two engines at most, and the step may have taken one; there are
// enough of each version to go on serving.
func poison(wo *world) func() {
	for _, id := range []string{"desk-3", "desk-4"} {
		assert.NilError(wo.t, wo.fl.StartEngine(id, desk, muc, engineArgs...))
	}
	for _, id := range []string{"new-2", "new-3"} {
		assert.NilError(wo.t, wo.fl.StartEngine(id, newest, muc, engineArgs...))
	}
	as := wo.crash(wo.two)
	return func() { <-as.done }
}

// operatorRace lets two operators apply at once: one grants a workspace more,
// the other withdraws a version.
func operatorRace(wo *world) func() {
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
