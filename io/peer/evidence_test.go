package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkstand/core"
	"skylarkstand/core/rollout"
)

// A batch reaches the home with every outcome, in the order of its version and kind. If encoding
// moved the bad outcomes to the front, the guard, which evaluates the evidence as it arrives,
// could halt the version only because of the order.
func TestEvidenceFrameKeepsOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]rollout.Kind{rollout.Rating, rollout.Error, rollout.Crash}).Draw(rt, "kind")
		sent := rollout.Batch{Model: "desk", Exposed: rapid.IntRange(0, 9).Draw(rt, "reached")}
		for range rapid.IntRange(0, 30).Draw(rt, "outcomes") {
			ou := rollout.Outcome{Version: core.ModelVersion{Model: "desk", Version: "v2"}, Kind: kind, Bad: rapid.Bool().Draw(rt, "bad"), At: now}
			if ou.Bad && kind == rollout.Crash {
				ou.Upstream = core.UpstreamID(rapid.SampledFrom([]string{"one", "two"}).Draw(rt, "upstream"))
			}
			sent.Outcomes = append(sent.Outcomes, ou)
		}
		assert.DeepEqual(rt, readEvidence(evidenceFrame(sent), now), sent)
	})
}
