package forward

import (
	"time"

	"skylarkstand/core/balance"
	"skylarkstand/core/mechanism"
)

// Facts returns what this entry has found out about upstreams since the last call.
func (fw *Forwarder) Facts() []balance.Fact {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.Facts(time.Now())
}

// ToldFacts processes what a sibling entry has found out about upstreams.
func (fw *Forwarder) ToldFacts(facts []balance.Fact) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ToldFacts(time.Now(), facts)
}

// Sent returns a channel that receives whenever SentNow has something to return.
func (fw *Forwarder) Sent() <-chan struct{} { return fw.sentSignal }

// SentNow returns the work that was sent to upstreams since the last call.
func (fw *Forwarder) SentNow() []balance.Share {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.SentNow()
}

// ToldSent processes the work that a sibling entry has just sent.
func (fw *Forwarder) ToldSent(from uint64, sent []balance.Share) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ToldSent(time.Now(), from, sent)
}

// RegionLoad returns the load report for entries of other regions, which lists at most so many
// upstreams one by one.
func (fw *Forwarder) RegionLoad(most int) balance.RegionLoad {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.RegionLoad(time.Now(), most)
}

// RemoteCalls returns the work that was sent to other regions since the last call.
func (fw *Forwarder) RemoteCalls() []balance.RemoteCalls {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.RemoteCalls()
}

// ToldRemoteCalls processes the work that an entry of another region has just sent to this
// region.
func (fw *Forwarder) ToldRemoteCalls(sent balance.RemoteCalls) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ToldRemoteCalls(time.Now(), sent)
}

// ToldRegion processes a load report of an entry of another region.
func (fw *Forwarder) ToldRegion(lo balance.RegionLoad) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ToldRegion(time.Now(), lo)
}

// Load returns this entry's load report for sibling entries: its work at upstreams and its
// retries left.
func (fw *Forwarder) Load() balance.Load {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	lo := fw.picker.Load()
	now := time.Now()
	for sv, wi := range fw.retryWindows {
		lo.Budgets = append(lo.Budgets, balance.Budget{Service: balance.HashOf(sv), Left: wi.Tell(now)})
	}
	return lo
}

// Told processes the load report of a sibling entry.
func (fw *Forwarder) Told(from uint64, lo balance.Load) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	now := time.Now()
	fw.picker.Told(now, from, lo)
	for sv, wi := range fw.retryWindows {
		for _, bu := range lo.Budgets {
			if bu.Service == balance.HashOf(sv) && !fw.parts.Off.Has(mechanism.LentRepeats) {
				wi.Told(now, from, bu.Left)
			}
		}
	}
}
