package main

import (
	"context"
	"fmt"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/declaration"
	"skylarkstand/core/declaration/publish"
	"skylarkstand/io/store"
	"skylarkstand/test/fleet"
)

// documentSizes are numbers of workspaces, receiverSizes numbers of agents.
var (
	documentSizes = []int{10, 100, 1000}
	receiverSizes = []int{10, 50, 200}
)

// measureConfiguration measures the propagation of changes from the store through one entry to many
// agents, and the cost of a single adoption.
func measureConfiguration(re *report) error {
	if err := measureDocument(re); err != nil {
		return err
	}
	if err := measurePropagation(re); err != nil {
		return err
	}
	return measureManyEntries(re)
}

// measureDocument measures the size, decoding and memory of documents, without any link.
func measureDocument(re *report) error {
	var size, processor, memory []point
	for _, count := range documentSizes {
		raw, err := encodeGeneration(1, count)
		if err != nil {
			return err
		}
		num := float64(count)
		size = append(size, point{num, float64(len(raw))})
		const rounds = 40
		began := ownProcessorTime()
		for range rounds {
			if _, err := declaration.NewInForce().Adopt(raw); err != nil {
				return err
			}
		}
		processor = append(processor, point{num, (ownProcessorTime() - began) / rounds})
		const copies = 32
		before := liveHeap()
		kept := make([]*declaration.InForce, copies)
		for i := range kept {
			kept[i] = declaration.NewInForce()
			if _, err := kept[i].Adopt(append([]byte(nil), raw...)); err != nil {
				return err
			}
		}
		memory = append(memory, point{num, (liveHeap() - before) / copies})
		if kept[0].Number() != 1 {
			return fmt.Errorf("a document of %d workspaces was adopted as generation %d, want 1", count, kept[0].Number())
		}
	}
	re.add("document-size", "an encoded generation", "workspace", byteCount, size)
	re.add("adoption-processor", "processor time to decode and index a generation, collection included", "workspace", coreSeconds, processor)
	re.add("snapshot-memory", "live memory of a generation in force, its encoded form included", "workspace", byteCount, memory)
	return nil
}

// propagationCost is the cost of one change: time and processor time in seconds, bytes, and frames
// that carry messages.
type propagationCost struct{ took, bytes, frames, processor float64 }

// measurePropagation measures changes of all document sizes with all numbers of agents.
func measurePropagation(re *report) error {
	for _, doc := range documentSizes {
		var took, bytes, processor, frames []point
		for _, count := range receiverSizes {
			pc, err := propagateThroughEntry(doc, count)
			if err != nil {
				return err
			}
			num := float64(count)
			took = append(took, point{num, pc.took})
			bytes = append(bytes, point{num, pc.bytes})
			frames = append(frames, point{num, pc.frames})
			processor = append(processor, point{num, pc.processor})
		}
		tag, what := fmt.Sprint(doc), fmt.Sprintf(", %s workspaces", formatInteger(int64(doc)))
		re.add("hand-on-time-"+tag, "time from the store's acceptance to the last agent, all agents in one process"+what, "agent", seconds, took)
		re.add("hand-on-bytes-"+tag, "bytes from an entry for a change, both ways"+what, "agent", byteCount, bytes)
		re.add("hand-on-frames-"+tag, "frames with a message for a change, both ways"+what, "agent", frameCount, frames)
		re.add("hand-on-processor-"+tag, "processor time of an entry for a change, its own adoption included"+what, "agent", coreSeconds, processor)
	}
	return nil
}

// changes is how many changes are averaged, since processor time is counted in ticks of 10 ms.
const changes = 5

// propagateThroughEntry returns the average cost of changes that reach agents through one entry
// process.
func propagateThroughEntry(workspaces, count int) (propagationCost, error) {
	var sum propagationCost
	fl, cleanup, err := newFleet(fmt.Sprintf("hand-on-%d-%d", workspaces, count))
	if err != nil {
		return sum, err
	}
	defer cleanup()
	ags, err := startAgents(count, new(tokenRunner))
	if err != nil {
		return sum, err
	}
	defer ags.cancel()
	en, err := fl.StartEntry("entry-1", location, nil)
	if err != nil {
		return sum, err
	}
	if err := publishHosts(fl, append([]core.Host{{Role: core.RoleEntry, Addr: en.Addr, Zone: location.Zone, Region: location.Region}}, ags.hosts...)); err != nil {
		return sum, err
	}
	ch := chain.New(store.New(fl.StoreURL), publish.Chain)
	if err := publishChange(ch, 1, workspaces, ags); err != nil {
		return sum, err
	}
	for i := range changes {
		time.Sleep(300 * time.Millisecond)
		one, err := measureChange(ch, core.Generation(i+2), workspaces, ags, en)
		if err != nil {
			return sum, err
		}
		sum.took += one.took / changes
		sum.bytes += one.bytes / changes
		sum.frames += one.frames / changes
		sum.processor += one.processor / changes
	}
	return sum, nil
}

// publishChange writes a generation and waits until all agents have it in force.
func publishChange(ch *chain.Chain, num core.Generation, workspaces int, ags *agents) error {
	raw, err := encodeGeneration(num, workspaces)
	if err != nil {
		return err
	}
	if err := ch.Create(context.Background(), uint64(num), raw); err != nil {
		return err
	}
	return ags.await(num)
}

// measureChange returns the cost of one change.
func measureChange(ch *chain.Chain, num core.Generation, workspaces int, ags *agents, en *fleet.Process) (propagationCost, error) {
	before := ags.meter.read()
	usageBefore, err := usageOf(en)
	if err != nil {
		return propagationCost{}, err
	}
	began := time.Now()
	if err := publishChange(ch, num, workspaces, ags); err != nil {
		return propagationCost{}, err
	}
	took := time.Since(began).Seconds()
	time.Sleep(200 * time.Millisecond) // Includes returning notices and the entry's remaining work.
	after, err := usageOf(en)
	tr := ags.meter.read().since(before)
	return propagationCost{took, tr.bytes(), tr.data, after.processor - usageBefore.processor}, err
}

// measureManyEntries links one agent with several entries that adopt a change at the same time, as
// entries do that receive it through their readers.
func measureManyEntries(re *report) error {
	var bytes []point
	for _, count := range []int{1, 4, 16, 64} {
		got, err := adoptFromMany(count)
		if err != nil {
			return err
		}
		bytes = append(bytes, point{float64(count), got})
	}
	re.add("hand-on-repeated-bytes", "bytes at one agent for a change of 1,000 workspaces that all its entries have at once", "linked entry", byteCount, bytes)
	return nil
}

// adoptFromMany returns the bytes at one agent for a change that all its entries adopt at once.
func adoptFromMany(entries int) (float64, error) {
	ags, err := startAgents(1, new(tokenRunner))
	if err != nil {
		return 0, err
	}
	defer ags.cancel()
	_, infs, cancel := startPools(entries, ags.hosts)
	defer cancel()
	if err := ags.awaitLinks(entries); err != nil {
		return 0, err
	}
	raw, err := encodeGeneration(1, 1000)
	if err != nil {
		return 0, err
	}
	before := ags.meter.read()
	for _, inf := range infs {
		go func() { _, _ = inf.Adopt(raw) }()
	}
	if err := awaitAll(infs, 1); err != nil {
		return 0, err
	}
	if err := ags.await(1); err != nil {
		return 0, err
	}
	time.Sleep(500 * time.Millisecond)
	return ags.meter.read().since(before).bytes(), nil
}
