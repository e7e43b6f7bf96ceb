package admission_test

import (
	"slices"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/placement"
)

// startAttempt picks an upstream for the request's next attempt and sends it there.
func (jo *job) startAttempt() {
	si, en := jo.si, jo.en
	ch, ok := jo.pickUpstream()
	if !ok {
		jo.finish(refused, nil)
		return
	}
	ix := slices.IndexFunc(si.ups, func(up *upstream) bool { return up.host.ID == ch.ID })
	jo.up, jo.sent, jo.done, jo.gotFirstToken, jo.choice = si.ups[ix], si.now, false, false, ch
	jo.tried = append(jo.tried, ch.ID)
	jo.rq.dispatches++
	if jo.rq.dispatches == 1 {
		jo.rq.entryWait = si.now - jo.rq.arrived
	}
	en.views[ix].OwnAttempts++
	en.pk.RecordSent(si.clock(), ch.ID)
	si.after(jo.delay(), func() { jo.arriveAtAgent(jo.up) })
}

func (jo *job) pickUpstream() (placement.Choice, bool) {
	si, en := jo.si, jo.en
	if si.pol.balancing == "" {
		rq := placement.Request{Pool: pool, Body: 4 * jo.rq.tenant.prompt, CrossRegion: jo.con == en.remote, Tried: jo.tried}
		return en.pk.Pick(si.clock(), rq, en.views, si.rnd.IntN)
	}
	var available []int
	for ix, up := range en.views {
		if up.Connected && up.Host.Region == en.site.region && !slices.Contains(jo.tried, up.Host.ID) {
			available = append(available, ix)
		}
	}
	if len(available) == 0 {
		return placement.Choice{}, false
	}
	at := available[si.rnd.IntN(len(available))]
	switch si.pol.balancing {
	case "round-robin":
		at = available[en.nextIndex%len(available)]
		en.nextIndex++
	case "least-loaded":
		at = slices.MinFunc(available, func(aa, bb int) int {
			return en.views[aa].Load.Running + en.views[aa].Load.Queued - en.views[bb].Load.Running - en.views[bb].Load.Queued
		})
	}
	return placement.Choice{ID: en.views[at].Host.ID}, true
}

func (jo *job) delay() time.Duration {
	if jo.up.host.Region != jo.en.site.region {
		return crossRegionDelay
	}
	return localDelay
}

// arriveAtAgent simulates the attempt's arrival at the agent.
func (jo *job) arriveAtAgent(up *upstream) {
	if jo.done {
		return
	}
	if up.down {
		jo.fail(core.Refuse(core.CodeNoUpstream, time.Second, "the link is lost"))
		return
	}
	left := jo.rq.tenant.deadline - (jo.si.now - jo.rq.arrived)
	if jo.si.pol.fifo {
		left = 0
	}
	pl, started, fl := up.bo.Acquire(jo.si.clock(), 0, left)
	if fl != nil {
		jo.si.after(jo.delay(), func() { jo.fail(fl) })
		return
	}
	jo.pl = pl
	up.jobs[jo] = true
	if started {
		jo.run()
	}
}

// run simulates the engine.
func (jo *job) run() {
	si, up, rq := jo.si, jo.up, jo.rq
	factor := 1.0
	if si.sc.slow > 0 && up == si.ups[0] && si.now > si.sc.length/3 {
		factor = si.sc.slow
	}
	whole := seconds(rq.service().Seconds() * factor)
	first := seconds((float64(rq.tenant.prompt)*secondsPerPromptToken + secondsPerToken) * factor)
	sent := jo.sent
	valid := func() bool { return !jo.done && jo.up == up && jo.sent == sent }
	if si.rnd.Float64() < si.sc.failing {
		si.after(whole/2, func() {
			if valid() {
				jo.fail(&core.Failure{Code: core.CodeUpstream, Ran: core.RanFailed})
			}
		})
		return
	}
	si.after(first+jo.delay(), func() {
		if !valid() {
			return
		}
		rq.first, jo.gotFirstToken = si.now-rq.arrived, true
		jo.en.pk.RecordFirstChunk(si.clock(), pool, up.host.ID, time.Unix(0, 0).Add(sent))
	})
	if pieces := seconds(placement.MeasuredChunks * secondsPerToken * factor); rq.output > placement.MeasuredChunks {
		si.after(first+jo.delay()+pieces, func() {
			if valid() {
				jo.en.pk.RecordChunks(pool, up.host.ID, pieces, placement.MeasuredChunks)
			}
		})
	}
	si.after(whole+jo.delay(), func() {
		if valid() {
			jo.en.budget.Succeeded()
			jo.finish(answered, &core.Usage{Prompt: core.Tokens(rq.tenant.prompt), Generated: core.Tokens(rq.output)})
		}
	})
}

// fail ends an attempt without a response, and starts another one if the retry
// policy allows it.
func (jo *job) fail(fl *core.Failure) {
	if jo.done || jo.rq.state != pending {
		return
	}
	jo.en.pk.RecordFailure(jo.si.clock(), jo.up.host.ID)
	jo.releaseSlot()
	mayRetry := jo.tries.MayRetry(fl, true)
	if jo.si.pol.retries {
		mayRetry = jo.rq.dispatches < 3
	}
	if mayRetry {
		jo.startAttempt()
		return
	}
	jo.done = true
	jo.si.setState(jo.rq, refused)
	jo.releaseAdmission(nil)
}

func (jo *job) finish(rs requestState, us *core.Usage) {
	jo.done = true
	jo.rq.whole = jo.si.now - jo.rq.arrived
	if us != nil && jo.choice.CrossRegion {
		bytes := int(us.Generated) * bytesPerToken
		jo.si.crossRegionBytes += bytes + 4*jo.rq.tenant.prompt
		jo.en.pk.ChargeCrossRegion(jo.si.clock(), bytes)
	}
	jo.si.setState(jo.rq, rs)
	jo.releaseSlot()
	jo.releaseAdmission(us)
}

// releaseSlot releases the attempt's slot at the agent.
func (jo *job) releaseSlot() {
	if jo.up == nil {
		return
	}
	up := jo.up
	jo.up = nil
	ix := slices.Index(jo.si.ups, up)
	if !jo.si.sc.stale {
		jo.en.updateView(jo.si.clock(), ix, up)
	}
	jo.en.views[ix].OwnAttempts--
	if !up.jobs[jo] {
		return
	}
	delete(up.jobs, jo)
	if up.bo.Cancel(jo.pl) {
		return
	}
	next := up.bo.Release(jo.si.clock(), jo.pl)
	if next == nil || up.down {
		return
	}
	for other := range up.jobs {
		if other.pl == next {
			other.run()
		}
	}
}

// releaseAdmission ends the request's admission at the entry.
func (jo *job) releaseAdmission(us *core.Usage) {
	if jo.ti == nil {
		return
	}
	ti := jo.ti
	jo.ti = nil
	jo.con.Leave(jo.si.clock(), ti, us)
	jo.si.startWaiting(jo.en)
}
