package matrix_test

import (
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core/session"
	"skylarkstand/test/fleet"
	"skylarkstand/test/matrix"
)

// operatorSteps bring the fixture to a moment of an operator's change or of a planned
// stop, and return the checks to run once the fault was removed.
var operatorSteps = map[string]func(*fixture) func(){
	"apply":    applying,
	"roll-out": rollingOut,
	"leave":    leaving,
	"stop":     stopping,
}

// A fault is injected while an operator withdraws a version, rolls one out, or stops a
// process. The command must report the outcome of the change truthfully, a withdrawn
// version must not return, a session must keep its version, and a planned stop must
// not cut off any request.
func TestOperator(t *testing.T) {
	for _, st := range matrix.OperatorSteps {
		for _, fa := range matrix.Faults {
			t.Run(st.Name+"/"+fa.Name, func(t *testing.T) {
				t.Parallel()
				fx := newFixture(t, st.Name)
				fx.upstreamID = "desk-1"
				checkOutcome := operatorSteps[st.Name](fx)
				faults[fa.Name](fx)()
				checkOutcome()
				fx.check()
				fx.checkRecovery()
			})
		}
	}
}

// applying withdraws version v2 while the store is slow.
func applying(fx *fixture) func() {
	fx.setFaults("store", `{"slow":200}`)
	type result struct {
		out string
		err error
	}
	done := make(chan result, 1)
	go func() {
		out, err := fx.apply("race-two.jsonc", 1)
		done <- result{out, err}
	}()
	time.Sleep(300 * time.Millisecond)
	return func() {
		res := <-done
		fx.setFaults("store", `{}`)
		accepted := fx.withdrawalAccepted()
		var exit *exec.ExitError
		code := 0
		if errors.As(res.err, &exit) {
			code = exit.ExitCode()
		}
		switch code {
		case 0:
			assert.Assert(fx.t, accepted, "apply reported that the change is accepted, but the history lacks it: %s", res.out)
		case 4: // apply reported that the outcome is unknown.
		default:
			assert.Assert(fx.t, !accepted, "apply reported that the change is refused, but the history has it: %s", res.out)
		}
		if !accepted {
			fx.poll("the withdrawal is accepted", func() bool {
				_, err := fx.apply("race-two.jsonc", latestBase)
				return err == nil
			})
		}
		fx.checkWithdrawn()
	}
}

// withdrawalAccepted reports whether the history contains the withdrawal of desk@v2.
func (fx *fixture) withdrawalAccepted() bool {
	fx.t.Helper()
	var out string
	fx.poll("history", func() bool {
		var err error
		out, err = fx.fl.Command("history", "--store", fx.fl.StoreURL)
		return err == nil
	})
	return strings.Contains(out, "desk@v2")
}

// checkWithdrawn checks that once each entry has moved a session off the version, no
// work starts on it again, although the session's token pins it to that version.
func (fx *fixture) checkWithdrawn() {
	fx.t.Helper()
	alive := []*fleet.Process{fx.other}
	if !fx.stopped[fx.entry.Name] {
		alive = append(alive, fx.entry)
	}
	pin := session.NewKeyring(fleet.PinSecret).Sign(session.Pin{Workspace: "schools", Session: "pinned", Versions: session.Versions{"desk": "v2"}})
	chat := func(en *fleet.Process) *fleet.Reply {
		re, err := fleet.Chat(en.URL, "schools-key", "desk", "#words=1 ", true, map[string]string{"Skylarkstand-Pin": pin})
		if err != nil {
			return &fleet.Reply{Header: http.Header{}}
		}
		return re
	}
	for _, en := range alive {
		fx.poll("the withdrawal is in force at "+en.Name, func() bool { return chat(en).Header.Get("Skylarkstand-Repinned") == "true" })
	}
	before := len(journal[engineRun](fx, "new-1-engine"))
	for range 10 {
		for _, en := range alive {
			version := chat(en).Header.Get("Skylarkstand-Version")
			assert.Assert(fx.t, version != "desk@v2", "%s served a withdrawn version again", en.Name)
		}
	}
	assert.Equal(fx.t, len(journal[engineRun](fx, "new-1-engine")), before, "an engine of the withdrawn version got new work")
}

// rollingOut assigns half of the new sessions to v2 and starts sessions on both versions.
func rollingOut(fx *fixture) func() {
	out, err := fx.apply("roll-out.jsonc", 1)
	assert.NilError(fx.t, err, out)
	type startedSession struct{ id, pin, version string }
	var sessions []startedSession
	chat := func(en *fleet.Process, se startedSession) *fleet.Reply {
		re, err := fleet.Chat(en.URL, "schools-key", "desk", "#words=1 ", true, map[string]string{"Skylarkstand-Session": se.id, "Skylarkstand-Pin": se.pin})
		if err != nil {
			return &fleet.Reply{}
		}
		return re
	}
	seen := map[string]int{}
	fx.poll("sessions on both versions", func() bool {
		se := startedSession{id: fmt.Sprintf("s%d", len(sessions))}
		re := chat(fx.entry, se)
		if re.Complete {
			se.pin, se.version = re.Header.Get("Skylarkstand-Pin"), re.Header.Get("Skylarkstand-Version")
			sessions = append(sessions, se)
			seen[se.version]++
		}
		return seen["desk@v1"] >= 2 && seen["desk@v2"] >= 2
	})
	return func() {
		for _, se := range sessions {
			fx.poll("session "+se.id+" continues", func() bool {
				re := chat(fx.other, se)
				if re.Complete {
					assert.Equal(fx.t, re.Header.Get("Skylarkstand-Version"), se.version, "session %s changed its version", se.id)
				}
				return re.Complete
			})
		}
	}
}

// leaving terminates an agent while long answers are in flight on the upstreams of the
// version.
func leaving(fx *fixture) func() {
	var inFlight []*request
	for len(journal[engineRun](fx, "desk-1-engine")) < 2 {
		inFlight = append(inFlight, fx.chat(fx.entry, "#words=100 ", true))
		time.Sleep(20 * time.Millisecond)
	}
	agent := fx.fl.Process("desk-1")
	agent.Terminate()
	return func() {
		// The users allow a few seconds; no new work may start afterwards.
		time.Sleep(3 * time.Second)
		before := len(journal[engineRun](fx, "desk-1-engine"))
		for range 6 {
			<-fx.chat(fx.other, "#words=2 ", true).done
		}
		assert.Equal(fx.t, len(journal[engineRun](fx, "desk-1-engine")), before, "a draining upstream got new work")
		for _, rq := range inFlight {
			<-rq.done
		}
		_ = agent.Wait()
	}
}

// stopping terminates an entry with a streamed answer and a service call in flight.
func stopping(fx *fixture) func() {
	long := fx.chat(fx.entry, "#words=100 ", true)
	call := fx.call(fx.entry, "stopping")
	fx.awaitStart(long)
	fx.entry.Terminate()
	return func() {
		<-long.done
		<-call.done
		err := fx.entry.Wait()
		if fx.stopped[fx.entry.Name] {
			return
		}
		assert.NilError(fx.t, err, "exit of the entry after a planned stop")
		if !fx.mayCutRequests() {
			assert.Assert(fx.t, long.reply != nil && long.reply.Complete, "a planned stop cut off a streamed answer: %v", long.reply)
			assert.Assert(fx.t, call.reply != nil && call.reply.Complete, "a planned stop cut off a service call: %v", call.reply)
		}
		fx.stopped[fx.entry.Name] = true // It accepts no more requests.
	}
}

// mayCutRequests reports whether the fault may itself cut off a request in flight.
func (fx *fixture) mayCutRequests() bool {
	name := fx.t.Name()
	for _, fault := range []string{"none", "region-cut", "store-slow", "operator-race", "crossed-answers", "freeze-entry"} {
		if strings.HasSuffix(name, "/"+fault) {
			return false
		}
	}
	return true
}
