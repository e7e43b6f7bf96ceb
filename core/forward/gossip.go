package forward

import (
	"time"

	"skylarkstand/core/balance"
)

// TakeFacts returns the facts about upstreams that this entry has observed since the last call, and
// clears them.
func (fw *Forwarder) TakeFacts() []balance.Fact {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.TakeFacts(time.Now())
}

// ReceiveFacts processes the facts about upstreams that a sibling entry has observed.
func (fw *Forwarder) ReceiveFacts(facts []balance.Fact) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ReceiveFacts(time.Now(), facts)
}

// SentSignal returns a channel that receives whenever TakeCalls has something to return.
func (fw *Forwarder) SentSignal() <-chan struct{} { return fw.sentSignal }

// TakeCalls returns the work that was sent to upstreams since the last call, and clears it.
func (fw *Forwarder) TakeCalls() []balance.UpstreamLoad {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.TakeCalls()
}

// ReceiveCalls processes the work that a sibling entry has just sent.
func (fw *Forwarder) ReceiveCalls(from uint64, sent []balance.UpstreamLoad) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ReceiveCalls(time.Now(), from, sent)
}

// RegionLoad returns the load report for entries of other regions, which lists at most maxUpstreams
// upstreams individually.
func (fw *Forwarder) RegionLoad(maxUpstreams int) balance.RegionLoad {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.RegionLoad(time.Now(), maxUpstreams)
}

// TakeRemoteCalls returns the work that was sent to other regions since the last call, and clears
// it.
func (fw *Forwarder) TakeRemoteCalls() []balance.RemoteCalls {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	return fw.picker.TakeRemoteCalls()
}

// ReceiveRemoteCalls processes the work that an entry of another region has just sent to this
// region.
func (fw *Forwarder) ReceiveRemoteCalls(sent balance.RemoteCalls) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ReceiveRemoteCalls(time.Now(), sent)
}

// ReceiveRegionLoad processes a load report of an entry of another region.
func (fw *Forwarder) ReceiveRegionLoad(lo balance.RegionLoad) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ReceiveRegionLoad(time.Now(), lo)
}

// TakeLoad returns this entry's load report for sibling entries: its work at upstreams, its retries
// left, and the prompt parts sent to upstreams since the last call, which it clears.
func (fw *Forwarder) TakeLoad() balance.Load {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	lo := fw.picker.TakeLoad()
	if fw.components.Shares != nil {
		fw.components.Shares.Observe(time.Now())
	}
	lo.Budgets = fw.retriesLeft(time.Now())
	return lo
}

// ReceiveLoad processes the load report of a sibling entry.
func (fw *Forwarder) ReceiveLoad(from uint64, lo balance.Load) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.picker.ReceiveLoad(time.Now(), from, lo)
}
