package main

import (
	"fmt"
	"runtime"
	"time"

	"skylarkstand/core"
	"skylarkstand/io/agent"
	"skylarkstand/test/fleet"
)

// linkSizes are numbers of links at one process.
var linkSizes = []int{10, 50, 200, 400}

const (
	// settleTime lets start-up work end. idleTime is how long idle links are measured: several
	// rounds of the keep-alive of two seconds.
	settleTime = 2 * time.Second
	idleTime   = 8 * time.Second
)

// idleLinks is the measurement of one size. Traffic is per second: bytes that agents received and
// sent, and frames.
type idleLinks struct {
	entry, agent     usage // processor is per second of idleTime
	received, sent   float64
	probes, messages float64
}

// measureLinks measures idle links: an entry process with links to many agents, and at the same time
// an agent process with links from many entries.
func measureLinks(re *report) error {
	var entryMem, entryCPU, agentMem, agentCPU, received, sent, probes, messages []point
	for _, size := range linkSizes {
		il, err := measureIdleLinks(size)
		if err != nil {
			return err
		}
		num := float64(size)
		entryMem = append(entryMem, point{num, il.entry.resident})
		entryCPU = append(entryCPU, point{num, il.entry.processor})
		agentMem = append(agentMem, point{num, il.agent.resident})
		agentCPU = append(agentCPU, point{num, il.agent.processor})
		received = append(received, point{num, il.received})
		sent = append(sent, point{num, il.sent})
		probes = append(probes, point{num, il.probes})
		messages = append(messages, point{num, il.messages})
	}
	re.add("entry-link-memory", "resident memory of an entry, idle", "link to an agent", byteCount, entryMem)
	re.add("entry-link-processor", "processor time of an entry, idle", "link to an agent", cores, entryCPU)
	re.add("agent-link-memory", "resident memory of an agent, idle", "link from an entry", byteCount, agentMem)
	re.add("agent-link-processor", "processor time of an agent, idle", "link from an entry", cores, agentCPU)
	re.add("idle-link-to-agent", "bytes from entry to agent, idle, above TCP", "link", bytesPerSecond, received)
	re.add("idle-link-to-entry", "bytes from agent to entry, idle, above TCP", "link", bytesPerSecond, sent)
	re.add("idle-link-probes", "keep-alive frames of both sides", "link", framesPerSecond, probes)
	re.add("idle-link-messages", "frames with a message, idle", "link", framesPerSecond, messages)
	return measureGoroutines(re)
}

// measureIdleLinks starts an entry and an agent with a number of links each and measures them.
func measureIdleLinks(size int) (idleLinks, error) {
	var il idleLinks
	fl, cleanup, err := newFleet(fmt.Sprintf("links-%d", size))
	if err != nil {
		return il, err
	}
	defer cleanup()
	ags, err := startAgents(size, new(tokenRunner))
	if err != nil {
		return il, err
	}
	defer ags.cancel()
	en, err := fl.StartEntry("entry-1", location, nil)
	if err != nil {
		return il, err
	}
	// A process that has just started still collects the garbage of its start-up. The list is
	// published afterwards, so that only links are added.
	self := core.Host{Role: core.RoleEntry, Addr: en.Addr, Zone: location.Zone, Region: location.Region}
	if err := publishHosts(fl, append([]core.Host{self}, ags.hosts...)); err != nil {
		return il, err
	}
	if err := fl.StartEngine("alone", desk, fleet.Location{Zone: "muc-b", Region: location.Region}); err != nil {
		return il, err
	}
	// StartEngine has replaced the list by its own.
	if err := publishHosts(fl, append([]core.Host{self}, ags.hosts...)); err != nil {
		return il, err
	}
	ag := fl.Process("alone")
	pools, _, cancel := startPools(size, []core.Host{{
		Role: core.RoleAgent, ID: "alone", Addr: ag.Addr, Zone: location.Zone, Region: location.Region, Model: desk.Model, Version: desk.Version,
	}})
	defer cancel()
	for _, po := range pools {
		if err := awaitUp(po); err != nil {
			return il, err
		}
	}
	if err := ags.awaitLinks(size); err != nil {
		return il, err
	}
	time.Sleep(settleTime)
	return il.measure(en, ag, ags)
}

// awaitUp waits until a pool's only link is up.
func awaitUp(po *agent.Pool) error {
	return poll("link", func() (bool, error) {
		ups := po.Serving(desk)
		return len(ups) == 1 && ups[0].Connected, nil
	})
}

// measure returns what the processes and links use during idleTime.
func (il idleLinks) measure(en, ag *fleet.Process, ags *agents) (idleLinks, error) {
	began, before := time.Now(), ags.meter.read()
	entry, err := usageOf(en)
	if err != nil {
		return il, err
	}
	agent, err := usageOf(ag)
	if err != nil {
		return il, err
	}
	time.Sleep(idleTime)
	if il.entry, err = usageOf(en); err != nil {
		return il, err
	}
	if il.agent, err = usageOf(ag); err != nil {
		return il, err
	}
	tr, lasted := ags.meter.read().since(before), time.Since(began).Seconds()
	il.entry.processor = (il.entry.processor - entry.processor) / lasted
	il.agent.processor = (il.agent.processor - agent.processor) / lasted
	il.received, il.sent = tr.received/lasted, tr.sent/lasted
	il.probes, il.messages = tr.probes/lasted, tr.data/lasted
	return il, nil
}

// measureGoroutines measures the goroutines of both sides of a link.
func measureGoroutines(re *report) error {
	var pts []point
	for _, size := range linkSizes[:3] {
		ags, err := startAgents(size, new(tokenRunner))
		if err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
		before := runtime.NumGoroutine()
		_, _, cancel := startPools(1, ags.hosts)
		if err := ags.awaitLinks(size); err != nil {
			cancel()
			ags.cancel()
			return err
		}
		pts = append(pts, point{float64(size), float64(runtime.NumGoroutine() - before)})
		cancel()
		ags.cancel()
		time.Sleep(500 * time.Millisecond)
	}
	re.add("link-goroutines", "goroutines, both sides together", "link", goroutines, pts)
	return nil
}
