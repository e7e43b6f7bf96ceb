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

// operatorSteps bring the world to a moment of an operator's change or of a
// planned end, and return what must be true of it once the fault has healed.
var operatorSteps = map[string]func(*world) func(){
	"apply":    applying,
	"roll-out": rollingOut,
	"leave":    leaving,
	"stop":     stopping,
}

// An operator withdraws a version, rolls one out, or stops a process as
// planned, and something fails at that moment. The operator must be told the
// truth about the change, a withdrawn version must not come back, a session
// must not change its version, and a planned stop must cut nobody off.
func TestOperator(t *testing.T) {
	for _, st := range matrix.OperatorSteps {
		for _, fa := range matrix.Faults {
			t.Run(st.Name+"/"+fa.Name, func(t *testing.T) {
				t.Parallel()
				wo := newWorld(t, st.Name)
				wo.agent = "desk-1"
				after := operatorSteps[st.Name](wo)
				faults[fa.Name](wo)()
				after()
				wo.check()
				wo.checkServes()
			})
		}
	}
}

// applying withdraws version v2 while the store is slow.
func applying(wo *world) func() {
	wo.order("store", `{"slow":200}`)
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
		re := <-done
		wo.order("store", `{}`)
		accepted := wo.accepted()
		var exit *exec.ExitError
		code := 0
		if errors.As(re.err, &exit) {
			code = exit.ExitCode()
		}
		switch code {
		case 0:
			assert.Assert(wo.t, accepted, "apply said accepted and the history does not have it: %s", re.out)
		case 4: // Not known, and said so.
		default:
			assert.Assert(wo.t, !accepted, "apply said refused and the history has it: %s", re.out)
		}
		if !accepted {
			wo.poll("the withdrawal is accepted", func() bool {
				_, err := wo.apply("race-two.jsonc", newestBase)
				return err == nil
			})
		}
		wo.checkWithdrawn()
	}
}

// accepted reads the history for the withdrawal by the operator of the cells.
func (wo *world) accepted() bool {
	wo.t.Helper()
	var out string
	wo.poll("history", func() bool {
		var err error
		out, err = wo.fl.Command("history", "--store", wo.fl.StoreURL)
		return err == nil
	})
	return strings.Contains(out, "desk@v2")
}

// checkWithdrawn: once each entry has moved a session off the version, nothing
// starts on it again, pinned as the session is.
func (wo *world) checkWithdrawn() {
	wo.t.Helper()
	alive := []*fleet.Process{wo.two}
	if !wo.dead[wo.one.Name] {
		alive = append(alive, wo.one)
	}
	pin := session.NewKeyring(fleet.PinSecret).Sign(session.Pin{Workspace: "schools", Session: "pinned", Versions: session.Versions{"desk": "v2"}})
	ask := func(en *fleet.Process) *fleet.Reply {
		re, err := fleet.Chat(en.URL, "schools-key", "desk", "#words=1 ", true, map[string]string{"Skylarkstand-Pin": pin})
		if err != nil {
			return &fleet.Reply{Header: http.Header{}}
		}
		return re
	}
	for _, en := range alive {
		wo.poll("the withdrawal is in force at "+en.Name, func() bool { return ask(en).Header.Get("Skylarkstand-Repinned") == "true" })
	}
	before := len(journal[engineRun](wo, "new-1-engine"))
	for range 10 {
		for _, en := range alive {
			version := ask(en).Header.Get("Skylarkstand-Version")
			assert.Assert(wo.t, version != "desk@v2", "a withdrawn version was served again by %s", en.Name)
		}
	}
	assert.Equal(wo.t, len(journal[engineRun](wo, "new-1-engine")), before, "work began on a withdrawn version")
}

// rollingOut gives half of the new sessions to v2 and begins some.
func rollingOut(wo *world) func() {
	out, err := wo.apply("roll-out.jsonc", 1)
	assert.NilError(wo.t, err, out)
	type session struct{ id, pin, version string }
	var sessions []session
	ask := func(en *fleet.Process, se session) *fleet.Reply {
		re, err := fleet.Chat(en.URL, "schools-key", "desk", "#words=1 ", true, map[string]string{"Skylarkstand-Session": se.id, "Skylarkstand-Pin": se.pin})
		if err != nil {
			return &fleet.Reply{}
		}
		return re
	}
	seen := map[string]int{}
	wo.poll("sessions on both versions", func() bool {
		se := session{id: fmt.Sprintf("s%d", len(sessions))}
		re := ask(wo.one, se)
		if re.Whole {
			se.pin, se.version = re.Header.Get("Skylarkstand-Pin"), re.Header.Get("Skylarkstand-Version")
			sessions = append(sessions, se)
			seen[se.version]++
		}
		return seen["desk@v1"] >= 2 && seen["desk@v2"] >= 2
	})
	return func() {
		for _, se := range sessions {
			wo.poll("session "+se.id+" goes on", func() bool {
				re := ask(wo.two, se)
				if re.Whole {
					assert.Equal(wo.t, re.Header.Get("Skylarkstand-Version"), se.version, "a session changed its version")
				}
				return re.Whole
			})
		}
	}
}

// leaving stops an agent as planned with a long answer in flight on each
// upstream of the version.
func leaving(wo *world) func() {
	var flying []*asked
	for len(journal[engineRun](wo, "desk-1-engine")) < 2 {
		flying = append(flying, wo.chat(wo.one, "#words=100 ", true))
		time.Sleep(20 * time.Millisecond)
	}
	agent := wo.fl.Process("desk-1")
	agent.Terminate()
	return func() {
		// A few seconds are what the users grant; nothing may start after.
		time.Sleep(3 * time.Second)
		before := len(journal[engineRun](wo, "desk-1-engine"))
		for range 6 {
			<-wo.chat(wo.two, "#words=2 ", true).done
		}
		assert.Equal(wo.t, len(journal[engineRun](wo, "desk-1-engine")), before, "a leaving upstream got new work")
		for _, as := range flying {
			<-as.done
		}
		_ = agent.Wait()
	}
}

// stopping stops an entry as planned with an answer and a call in flight.
func stopping(wo *world) func() {
	long := wo.chat(wo.one, "#words=100 ", true)
	call := wo.call(wo.one, "stopping")
	wo.find(long)
	wo.one.Terminate()
	return func() {
		<-long.done
		<-call.done
		err := wo.one.Wait()
		if wo.dead[wo.one.Name] {
			return
		}
		assert.NilError(wo.t, err, "a planned stop")
		if !wo.disturbed() {
			assert.Assert(wo.t, long.reply != nil && long.reply.Whole, "a planned stop cut an answer off: %v", long.reply)
			assert.Assert(wo.t, call.reply != nil && call.reply.Whole, "a planned stop cut a call off: %v", call.reply)
		}
		wo.dead[wo.one.Name] = true // It takes nothing more.
	}
}

// disturbed reports whether the fault took something from the path itself.
func (wo *world) disturbed() bool {
	name := wo.t.Name()
	for _, fault := range []string{"none", "region-cut", "store-slow", "operator-race", "crossed-answers", "freeze-entry"} {
		if strings.HasSuffix(name, "/"+fault) {
			return false
		}
	}
	return true
}
