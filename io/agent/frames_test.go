package agent

import (
	"errors"
	"io"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/io/frame"
)

// sentFrames are drawn frames of an agent, and what they say.
type sentFrames struct {
	frames []*frame.Frame
	status int
	body   string
	// whole is set if they are an answer with its end.
	whole bool
	// notRun is set if the agent states that the attempt was not run.
	notRun bool
}

// drawFrames draws what an agent sends for attempt "a".
func drawFrames(rnd *rand.Rand) sentFrames {
	pick := func(list ...int) int { return list[rnd.IntN(len(list))] }
	sf := sentFrames{status: pick(200, 200, 404, 599, 0, 20, 99, 100, 101, 199, 600, 999, -200, 1<<31-1)}
	valid := sf.status >= 200 && sf.status <= 599
	chunk := func(data string) {
		sf.frames = append(sf.frames, &frame.Frame{Body: &frame.Frame_Chunk{Chunk: &frame.Chunk{Attempt: "a", Status: int32(sf.status), Data: []byte(data)}}})
		sf.body += data
	}
	foreign := func() {
		if rnd.IntN(3) == 0 {
			sf.frames = append(sf.frames, &frame.Frame{Body: &frame.Frame_Chunk{Chunk: &frame.Chunk{Attempt: "b", Status: 200, Data: []byte("other")}}})
		}
	}
	chunks := pick(0, 1, 1, 2, 3)
	for range chunks {
		foreign()
		chunk("part ")
	}
	foreign()
	switch rnd.IntN(5) {
	case 0:
		ran := []core.Ran{core.NotRun, core.RanFailed, core.RanUnknown, "odd", ""}[rnd.IntN(5)]
		sf.notRun = ran == core.NotRun && chunks == 0
		sf.frames = append(sf.frames, &frame.Frame{Body: &frame.Frame_Failure{Failure: &frame.Failure{Attempt: "a", Ran: string(ran), Code: "any"}}})
	case 1: // It stops.
	case 2:
		sf.frames = append(sf.frames, &frame.Frame{})
	default:
		sf.whole = valid && chunks > 0
		sf.frames = append(sf.frames, &frame.Frame{Body: &frame.Frame_End{End: &frame.End{Attempt: "a"}}})
	}
	return sf
}

// Guards against frames of an agent that an entry takes for a whole answer, or for the statement that an attempt was not
// run, although they are none.
func TestFramesOfAnAgent(t *testing.T) {
	for seed := range uint64(3000) {
		sf := drawFrames(rand.New(rand.NewPCG(seed, 0)))
		an := receive(t, encode(t, sf.frames...))
		an.once.Do(func() {}) // It has no stream to close.
		err := an.awaitFirst()
		body := ""
		for err == nil {
			var data []byte
			data, err = an.Next()
			body += string(data)
		}
		if sf.whole {
			assert.ErrorIs(t, err, io.EOF, "%v", sf.frames)
			assert.Equal(t, body, sf.body)
			assert.Equal(t, an.Status(), sf.status)
			continue
		}
		var fl *core.Failure
		assert.Assert(t, errors.As(err, &fl), "%v: %v", sf.frames, err)
		assert.Equal(t, fl.Ran == core.NotRun, sf.notRun, "%v: %v", sf.frames, fl)
	}
}
