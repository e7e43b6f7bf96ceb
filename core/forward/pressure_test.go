package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

// engines answers each prompt after its reading and a wait, with a confidence that
// suffices unless told otherwise.
func engines(thousand, wait time.Duration, confidence *int) act {
	return func(ctx context.Context, ca *core.Call) (*core.Reply, error) {
		read := time.Duration(float64(thousand) * float64(ca.Prompt) / 1000)
		select {
		case <-ctx.Done():
			return nil, core.Lost("%v", ctx.Err())
		case <-time.After(read + wait):
		}
		re := reply(http.StatusOK, "id: 1\ndata: a\n\n")
		re.Confidence = *confidence
		return re, nil
	}
}

// climbs reports whether an answer with a confidence is dropped for a larger
// model's after many prompts of a length were answered.
func climbs(t *testing.T, prompt core.Tokens, thousand, wait time.Duration, doubt int) bool {
	t.Helper()
	confidence := 90
	wo := newWorld(t, engines(thousand, wait, &confidence))
	for i := range 60 {
		wo.prompt(t, fmt.Sprint("short", i), 100) // The way there is learned by these.
		wo.prompt(t, fmt.Sprint("long", i), prompt)
	}
	before := len(wo.calls)
	confidence = doubt
	wo.prompt(t, "last", 100)
	return len(wo.calls) > before+1
}

// prompt asks with a prompt that shares nothing with another one.
func (wo *world) prompt(t *testing.T, id string, prompt core.Tokens) {
	t.Helper()
	ex := &core.Exchange{
		ID: core.RequestID(id), Host: "a.example", Path: "/draft/x", Target: "/draft/x", Method: http.MethodPost, Key: "key",
		Header: http.Header{}, Arrived: time.Now(), Deadline: 20 * time.Second, AnyModel: true,
		Prompt: prompt, Parts: []core.Part{{ID: strings.Repeat(id, 2), Tokens: prompt}},
	}
	ans, err := wo.fw.Forward(t.Context(), ex)
	assert.NilError(t, err)
	defer ans.Close()
	for {
		if _, err := ans.Next(); err != nil {
			return
		}
	}
}

// Guards against doubtful answers of which nobody can tell why they were given.
func TestLineTellsWhyAnAnswerWasGiven(t *testing.T) {
	scenarios := []struct {
		testName   string
		confidence int
		// spent has the repeats used up.
		spent bool
		want  string
	}{
		{"it suffices", 90, false, "sufficed"},
		{"there are no repeats left", 5, true, "repeats"},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			play(t, func(t *testing.T) {
				confidence := 5
				wo := newWorld(t, engines(time.Millisecond, 0, &confidence))
				for i := 0; sc.spent && i < 100; i++ {
					wo.prompt(t, fmt.Sprint("r", i), 100)
				}
				confidence = sc.confidence
				wo.prompt(t, "last", 100)
				ended := wo.lines("exchange-ended")
				assert.Equal(t, ended[len(ended)-1].Kept, sc.want)
			})
		})
	}
}

// Guards against long prompts and slow engines that pass for load: doubtful answers
// are then given although the engines are idle.
func TestReadingIsNoLoad(t *testing.T) {
	const usual = 35 * time.Millisecond
	for _, times := range []float64{0.2, 1, 5} {
		for _, prompt := range []core.Tokens{1_000, 10_000} {
			thousand := time.Duration(times * float64(usual))
			t.Run(fmt.Sprint(prompt, " tokens at ", thousand, " a thousand"), func(t *testing.T) {
				play(t, func(t *testing.T) {
					assert.Assert(t, climbs(t, prompt, thousand, 0, 50), "the engines have room")
				})
			})
		}
	}
}

// Guards against engines that are kept busy with doubts while callers wait for most
// of the time in which answers are good.
func TestWaitsAreLoad(t *testing.T) {
	for _, prompt := range []core.Tokens{1_000, 10_000} {
		t.Run(fmt.Sprint(prompt, " tokens"), func(t *testing.T) {
			play(t, func(t *testing.T) {
				assert.Assert(t, !climbs(t, prompt, 35*time.Millisecond, 3*time.Second, 30))
			})
		})
	}
}
