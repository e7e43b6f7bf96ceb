package peer

import (
	"context"
	"errors"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/rollout"
	"skylarkstand/io/frame"
)

// ErrNotPooled reports that the receiving entry does not pool the evidence that it was sent.
var ErrNotPooled = errors.New("peer: the receiving entry does not pool evidence of this roll-out")

// SendEvidence sends a batch to the home entry of its roll-out, which pools it, and returns nil
// once the home has accepted it. A batch that fails is missing from the pooled evidence.
func (me *Mesh) SendEvidence(ctx context.Context, home core.Host, ba rollout.Batch) error {
	fr, err := me.exchange(ctx, home.Addr, &frame.Frame{Body: &frame.Frame_Evidence{Evidence: evidenceFrame(ba)}})
	if err != nil {
		return err
	}
	if fr.GetEvidence().GetModel() != string(ba.Model) {
		return ErrNotPooled
	}
	return nil
}

// poolEvidence adds another entry's batch to the pooled evidence and returns the response to it.
func (me *Mesh) poolEvidence(ev *frame.Evidence) *frame.Frame {
	response := &frame.Evidence{}
	if me.guard.MergeBatch(readEvidence(ev, time.Now())) {
		response.Model = ev.Model
	}
	return &frame.Frame{Body: &frame.Frame_Evidence{Evidence: response}}
}

// BroadcastHalt broadcasts a halt that was decided under a generation to all linked entries.
func (me *Mesh) BroadcastHalt(ha rollout.Halt, decided core.Generation) {
	me.broadcast(&frame.Frame{Body: &frame.Frame_Halt{Halt: &frame.Halt{
		Model: string(ha.Version.Model), Version: string(ha.Version.Version), Why: ha.Evidence,
		Reached: int64(ha.Exposed), Generation: uint64(decided),
	}}})
}

// receiveHalt applies another entry's halt and forwards it if it is new, as receiveSuspect does.
func (me *Mesh) receiveHalt(fr *frame.Halt) {
	ha := rollout.Halt{
		Version:  core.ModelVersion{Model: core.ModelID(fr.Model), Version: core.VersionID(fr.Version)},
		Evidence: fr.Why, Exposed: int(fr.Reached),
	}
	if decided := core.Generation(fr.Generation); me.guard.AdoptHalt(ha, decided) {
		go me.BroadcastHalt(ha, decided)
	}
}

// evidenceFrame groups a batch by version and kind and keeps the order within each group. An
// outcome takes one byte, since in a roll-out to many callers every answer is an outcome.
func evidenceFrame(ba rollout.Batch) *frame.Evidence {
	type group struct {
		version core.VersionID
		kind    rollout.Kind
	}
	ev := &frame.Evidence{Model: string(ba.Model), Reached: int64(ba.Exposed)}
	groups := map[group]*frame.Observations{}
	for _, ou := range ba.Outcomes {
		gr := group{ou.Version.Version, ou.Kind}
		obs := groups[gr]
		if obs == nil {
			obs = &frame.Observations{Version: string(ou.Version.Version), Kind: int32(ou.Kind)}
			groups[gr] = obs
			ev.Observations = append(ev.Observations, obs)
		}
		bad := byte(0)
		if ou.Bad {
			bad = 1
			if ou.Kind == rollout.Crash {
				obs.Upstreams = append(obs.Upstreams, string(ou.Upstream))
			}
		}
		obs.Bad = append(obs.Bad, bad)
	}
	return ev
}

// readEvidence decodes what evidenceFrame encoded. Unknown kinds are skipped.
func readEvidence(ev *frame.Evidence, now time.Time) rollout.Batch {
	ba := rollout.Batch{Model: core.ModelID(ev.Model), Exposed: int(ev.Reached)}
	for _, obs := range ev.Observations {
		kind := rollout.Kind(obs.Kind)
		if !kind.Valid() {
			continue
		}
		mv := core.ModelVersion{Model: ba.Model, Version: core.VersionID(obs.Version)}
		crashed := obs.Upstreams
		for _, bad := range obs.Bad {
			ou := rollout.Outcome{Version: mv, Kind: kind, Bad: bad == 1, At: now}
			if ou.Bad && kind == rollout.Crash && len(crashed) > 0 {
				ou.Upstream, crashed = core.UpstreamID(crashed[0]), crashed[1:]
			}
			ba.Outcomes = append(ba.Outcomes, ou)
		}
	}
	return ba
}
