package publish_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration/publish"
)

// storeFault is a fault of one store call.
type storeFault string

const (
	refusedCall          storeFault = "refused"
	replyLostWritten     storeFault = "reply lost, write done"
	replyLostUnwritten   storeFault = "reply lost, write not done"
	replyLostWrittenLate storeFault = "reply lost, write done later"
	otherIsFirst         storeFault = "another operator is first"
)

// faultyStore injects a fault at one call, or from that call on.
type faultyStore struct {
	*fakeStore
	fault    storeFault
	at       int
	persists bool
	calls    int
}

// countCall counts a call and reports whether the fault applies to it.
func (fs *faultyStore) countCall() bool {
	fs.calls++
	return fs.calls == fs.at || fs.persists && fs.calls > fs.at
}

func (fs *faultyStore) Get(ctx context.Context, key string) (core.Item, error) {
	if fs.countCall() && fs.fault == refusedCall {
		return core.Item{}, core.ErrUnavailable
	}
	return fs.fakeStore.Get(ctx, key)
}

func (fs *faultyStore) Create(ctx context.Context, key string, val []byte, lease core.LeaseID) (core.Revision, error) {
	if !fs.countCall() {
		return fs.fakeStore.Create(ctx, key, val, lease)
	}
	switch fs.fault {
	case refusedCall:
		return 0, core.ErrUnavailable
	case replyLostWritten:
		_, _ = fs.fakeStore.Create(ctx, key, val, lease)
	case replyLostWrittenLate:
		time.AfterFunc(2*time.Second, func() { _, _ = fs.fakeStore.Create(ctx, key, val, lease) })
	case otherIsFirst:
		_, _ = publish.New(fs.fakeStore).Apply(ctx, proposal("jun", 1, 1, 5))
		return fs.fakeStore.Create(ctx, key, val, lease)
	}
	return 0, core.ErrUncertain
}

// Each store call of an apply fails in each way, once or from then on, and the
// operator's context may end. The outcome that Apply reports must agree with the
// audit trail: a change reported as accepted is in it once, and one reported as
// rejected is never in it, however late a write takes effect.
func TestApplyReportsTheOutcomeOfEveryFaultAtEveryCall(t *testing.T) {
	const calls = 14
	seen := map[string]int{}
	for _, fault := range []storeFault{refusedCall, replyLostWritten, replyLostUnwritten, replyLostWrittenLate, otherIsFirst} {
		for at := 1; at <= calls; at++ {
			for _, persists := range []bool{false, true} {
				name := fmt.Sprintf("%s at call %d, persists %v", fault, at, persists)
				synctest.Test(t, func(t *testing.T) {
					st := &faultyStore{fakeStore: newStore(), fault: fault, at: at, persists: persists}
					_, err := publish.New(st.fakeStore).Apply(t.Context(), proposal("ana", 0, 1, 1))
					assert.NilError(t, err)
					ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
					defer stop()
					_, err = publish.New(st).Apply(ctx, proposal("mei", 1, 3, 1))
					time.Sleep(time.Minute)
					outcome, times := outcomeOf(err), countGenerations(t, st.fakeStore, "mei")
					seen[outcome]++
					switch outcome {
					case "accepted":
						assert.Equal(t, times, 1, name)
					case "nothing was changed":
						assert.Equal(t, times, 0, name)
					default:
						assert.Assert(t, times <= 1, name)
					}
				})
			}
		}
	}
	assert.Assert(t, seen["accepted"] > 0 && seen["nothing was changed"] > 0 && seen["not known"] > 0, "%v", seen)
}

// outcomeOf returns the outcome that an error of Apply reports.
func outcomeOf(err error) string {
	var un *publish.Uncertain
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &un):
		return "not known"
	}
	return "nothing was changed"
}

// countGenerations counts an operator's generations in the audit trail.
func countGenerations(t *testing.T, st core.Store, who string) int {
	t.Helper()
	pub, found := publish.New(st), 0
	for n := core.Generation(1); ; n++ {
		gen, err := pub.Read(t.Context(), n)
		if errors.Is(err, publish.ErrNoGeneration) {
			return found
		}
		assert.NilError(t, err)
		if gen.Audit.Who == who {
			found++
		}
	}
}
