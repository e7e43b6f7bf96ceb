package forward

import (
	"time"

	"skylarkstand/core/balance"
	"skylarkstand/core/mechanism"
)

// Facts returns what this entry has found out of upstreams since the last call.
func (fw *Forwarder) Facts() []balance.Fact {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.Facts(time.Now())
}

// ToldFacts takes in what another entry has found out.
func (fw *Forwarder) ToldFacts(facts []balance.Fact) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ToldFacts(time.Now(), facts)
}

// Sent wakes whenever there is something that SentNow returns.
func (fw *Forwarder) Sent() <-chan struct{} { return fw.sent }

// SentNow returns the work that went to upstreams since the last call.
func (fw *Forwarder) SentNow() []balance.Share {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.SentNow()
}

// ToldSent takes in what another entry has just sent.
func (fw *Forwarder) ToldSent(from uint64, sent []balance.Share) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ToldSent(time.Now(), from, sent)
}

// RegionLoad returns what this entry tells those of other regions.
func (fw *Forwarder) RegionLoad(most int) balance.RegionLoad {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.RegionLoad(time.Now(), most)
}

// RemoteCalls returns the work that went to other regions since the last call.
func (fw *Forwarder) RemoteCalls() []balance.RemoteCalls {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.RemoteCalls()
}

// ToldRemoteCalls takes in what an entry of another region has just sent here.
func (fw *Forwarder) ToldRemoteCalls(sent balance.RemoteCalls) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ToldRemoteCalls(time.Now(), sent)
}

// ToldRegion takes in what an entry of another region told.
func (fw *Forwarder) ToldRegion(lo balance.RegionLoad) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ToldRegion(time.Now(), lo)
}

// Load returns what this entry tells the others of its work at upstreams.
func (fw *Forwarder) Load() balance.Load {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	lo := fw.picker.Load()
	now := time.Now()
	for sv, wi := range fw.windows {
		lo.Budgets = append(lo.Budgets, balance.Budget{Service: balance.HashOf(sv), Left: wi.Tell(now)})
	}
	return lo
}

// Told takes in what another entry told.
func (fw *Forwarder) Told(from uint64, lo balance.Load) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	now := time.Now()
	fw.picker.Told(now, from, lo)
	for sv, wi := range fw.windows {
		for _, bu := range lo.Budgets {
			if bu.Service == balance.HashOf(sv) && !fw.parts.Off.Has(mechanism.LentRepeats) {
				wi.Told(now, from, bu.Left)
			}
		}
	}
}
