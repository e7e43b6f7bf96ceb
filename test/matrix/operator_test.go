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
// stop, and return the checks to run once the fault has healed.
var operatorSteps = map[string]func(*fixture) func(){
	"apply":    applying,
	"roll-out": rollingOut,
	"leave":    leaving,
	"stop":     stopping,
}

// A fault strikes while an operator withdraws a version, rolls one out, or stops a
// process. The command must report the outcome of the change truthfully, a withdrawn
// version must not return, a session must keep its version, and a planned stop must
// not cut off any request.
func TestOperator(t *testing.T) {
	for _, st := range matrix.OperatorSteps {
		for _, fa := range matrix.Faults {
			t.Run(st.Name+"/"+fa.Name, func(t *testing.T) {
				t.Parallel()
				wo := newFixture(t, st.Name)
				wo.agent = "desk-1"
				checkOutcome := operatorSteps[st.Name](wo)
				faults[fa.Name](wo)()
				checkOutcome()
				wo.check()
				wo.checkRecovery()
			})
		}
	}
}

// applying withdraws version v2 while the store is slow.
func applying(wo *fixture) func() {
	wo.setFaults("store", `{"slow":200}`)
	type result struct {
		out string
		err error
	}
	done := make(chan result, 1)
	go func() {
		out, err := wo.apply("race-two.jsonc", 1)
		done <- result{out, err}
	}()
	time.Sleep(300 * time.Millisecond)
	return func() {
		res := <-done
		wo.setFaults("store", `{}`)
		accepted := wo.withdrawalAccepted()
		var exit *exec.ExitError
		code := 0
		if errors.As(res.err, &exit) {
			code = exit.ExitCode()
		}
		switch code {
		case 0:
			assert.Assert(wo.t, accepted, "apply reported that the change is accepted, but the history lacks it: %s", res.out)
		case 4: // apply reported that the outcome is unknown.
		default:
			assert.Assert(wo.t, !accepted, "apply reported that the change is refused, but the history has it: %s", res.out)
		}
		if !accepted {
			wo.poll("the withdrawal is accepted", func() bool {
				_, err := wo.apply("race-two.jsonc", latestBase)
				return err == nil
			})
		}
		wo.checkWithdrawn()
	}
}

// withdrawalAccepted reports whether the history contains the withdrawal of desk@v2.
func (wo *fixture) withdrawalAccepted() bool {
	wo.t.Helper()
	var out string
	wo.poll("history", func() bool {
		var err error
		out, err = wo.fl.Command("history", "--store", wo.fl.StoreURL)
		return err == nil
	})
	return strings.Contains(out, "desk@v2")
}

// checkWithdrawn checks that once each entry has moved a session off the version, no
// work starts on it again, although the session's token pins it to that version.
func (wo *fixture) checkWithdrawn() {
	wo.t.Helper()
	alive := []*fleet.Process{wo.other}
	if !wo.stopped[wo.entry.Name] {
		alive = append(alive, wo.entry)
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
		wo.poll("the withdrawal is in force at "+en.Name, func() bool { return chat(en).Header.Get("Skylarkstand-Repinned") == "true" })
	}
	before := len(journal[engineRun](wo, "new-1-engine"))
	for range 10 {
		for _, en := range alive {
			version := chat(en).Header.Get("Skylarkstand-Version")
			assert.Assert(wo.t, version != "desk@v2", "%s served a withdrawn version again", en.Name)
		}
	}
	assert.Equal(wo.t, len(journal[engineRun](wo, "new-1-engine")), before, "an engine of the withdrawn version got new work")
}

// rollingOut assigns half of the new sessions to v2 and starts sessions on both versions.
func rollingOut(wo *fixture) func() {
	out, err := wo.apply("roll-out.jsonc", 1)
	assert.NilError(wo.t, err, out)
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
	wo.poll("sessions on both versions", func() bool {
		se := startedSession{id: fmt.Sprintf("s%d", len(sessions))}
		re := chat(wo.entry, se)
		if re.Complete {
			se.pin, se.version = re.Header.Get("Skylarkstand-Pin"), re.Header.Get("Skylarkstand-Version")
			sessions = append(sessions, se)
			seen[se.version]++
		}
		return seen["desk@v1"] >= 2 && seen["desk@v2"] >= 2
	})
	return func() {
		for _, se := range sessions {
			wo.poll("session "+se.id+" continues", func() bool {
				re := chat(wo.other, se)
				if re.Complete {
					assert.Equal(wo.t, re.Header.Get("Skylarkstand-Version"), se.version, "session %s changed its version", se.id)
				}
				return re.Complete
			})
		}
	}
}

// leaving terminates an agent while long answers are in flight on the upstreams of the
// version.
func leaving(wo *fixture) func() {
	var inFlight []*request
	for len(journal[engineRun](wo, "desk-1-engine")) < 2 {
		inFlight = append(inFlight, wo.chat(wo.entry, "#words=100 ", true))
		time.Sleep(20 * time.Millisecond)
	}
	agent := wo.fl.Process("desk-1")
	agent.Terminate()
	return func() {
		// The users allow a few seconds; no new work may start afterwards.
		time.Sleep(3 * time.Second)
		before := len(journal[engineRun](wo, "desk-1-engine"))
		for range 6 {
			<-wo.chat(wo.other, "#words=2 ", true).done
		}
		assert.Equal(wo.t, len(journal[engineRun](wo, "desk-1-engine")), before, "a draining upstream got new work")
		for _, as := range inFlight {
			<-as.done
		}
		_ = agent.Wait()
	}
}

// stopping terminates an entry with a streamed answer and a service call in flight.
func stopping(wo *fixture) func() {
	long := wo.chat(wo.entry, "#words=100 ", true)
	call := wo.call(wo.entry, "stopping")
	wo.awaitStart(long)
	wo.entry.Terminate()
	return func() {
		<-long.done
		<-call.done
		err := wo.entry.Wait()
		if wo.stopped[wo.entry.Name] {
			return
		}
		assert.NilError(wo.t, err, "exit of the entry after a planned stop")
		if !wo.mayCutRequests() {
			assert.Assert(wo.t, long.reply != nil && long.reply.Complete, "a planned stop cut off a streamed answer: %v", long.reply)
			assert.Assert(wo.t, call.reply != nil && call.reply.Complete, "a planned stop cut off a service call: %v", call.reply)
		}
		wo.stopped[wo.entry.Name] = true // It accepts no more requests.
	}
}

// mayCutRequests reports whether the fault may itself cut off a request in flight.
func (wo *fixture) mayCutRequests() bool {
	name := wo.t.Name()
	for _, fault := range []string{"none", "region-cut", "store-slow", "operator-race", "crossed-answers", "freeze-entry"} {
		if strings.HasSuffix(name, "/"+fault) {
			return false
		}
	}
	return true
}
