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

var (
	documentSizes = []int{10, 100, 1000}
	receiverSizes = []int{10, 50, 200}
)

// measureConfiguration takes changes from the store through one entry to many
// agents, and looks at what one adoption costs by itself.
func measureConfiguration(re *report) error {
	if err := measureDocument(re); err != nil {
		return err
	}
	if err := measureHandOn(re); err != nil {
		return err
	}
	return measureManyEntries(re)
}

// measureDocument decodes and indexes documents without any link.
func measureDocument(re *report) error {
	var size, processor, memory []point
	for _, count := range documentSizes {
		raw, err := generation(1, count)
		if err != nil {
			return err
		}
		num := float64(count)
		size = append(size, point{num, float64(len(raw))})
		const rounds = 40
		began := ownProcessor()
		for range rounds {
			if _, err := declaration.NewInForce().Adopt(raw); err != nil {
				return err
			}
		}
		processor = append(processor, point{num, (ownProcessor() - began) / rounds})
		const copies = 32
		before := heap()
		kept := make([]*declaration.InForce, copies)
		for i := range kept {
			kept[i] = declaration.NewInForce()
			if _, err := kept[i].Adopt(append([]byte(nil), raw...)); err != nil {
				return err
			}
		}
		memory = append(memory, point{num, (heap() - before) / copies})
		if kept[0].Number() != 1 {
			return fmt.Errorf("the document was not adopted")
		}
	}
	re.add("document-size", "an encoded generation", "workspace", bytesOf, size)
	re.add("adoption-processor", "processor time to decode and index a generation, collection included", "workspace", coreSeconds, processor)
	re.add("snapshot-memory", "live memory of a generation in force, its encoded form included", "workspace", bytesOf, memory)
	return nil
}

// handOn is what one change cost.
type handOn struct{ took, bytes, frames, processor float64 }

func measureHandOn(re *report) error {
	for _, doc := range documentSizes {
		var took, bytes, processor, frames []point
		for _, count := range receiverSizes {
			ho, err := handOnce(doc, count)
			if err != nil {
				return err
			}
			num := float64(count)
			took = append(took, point{num, ho.took})
			bytes = append(bytes, point{num, ho.bytes})
			frames = append(frames, point{num, ho.frames})
			processor = append(processor, point{num, ho.processor})
		}
		tag, what := fmt.Sprint(doc), fmt.Sprintf(", %s workspaces", grouped(int64(doc)))
		re.add("hand-on-time-"+tag, "time from the store's acceptance to the last agent, all agents in one process"+what, "agent", seconds, took)
		re.add("hand-on-bytes-"+tag, "bytes from an entry for a change, both ways"+what, "agent", bytesOf, bytes)
		re.add("hand-on-frames-"+tag, "frames with a message for a change, both ways"+what, "agent", frameCount, frames)
		re.add("hand-on-processor-"+tag, "processor time of an entry for a change, its own adoption included"+what, "agent", coreSeconds, processor)
	}
	return nil
}

// changes are averaged, because processor time is told in ticks of 10 ms.
const changes = 5

// handOnce averages some changes through one entry process.
func handOnce(workspaces, count int) (handOn, error) {
	var sum handOn
	fl, cleanup, err := newFleet(fmt.Sprintf("hand-on-%d-%d", workspaces, count))
	if err != nil {
		return sum, err
	}
	defer cleanup()
	ags, err := startAgents(count, new(words))
	if err != nil {
		return sum, err
	}
	defer ags.cancel()
	en, err := fl.StartEntry("entry-1", place, nil)
	if err != nil {
		return sum, err
	}
	if err := publishHosts(fl, append([]core.Host{{Role: core.RoleEntry, Addr: en.Addr, Zone: place.Zone, Region: place.Region}}, ags.hosts...)); err != nil {
		return sum, err
	}
	ch := chain.New(store.New(fl.StoreURL), publish.Chain)
	if err := change(ch, 1, workspaces, ags); err != nil {
		return sum, err
	}
	for i := range changes {
		time.Sleep(300 * time.Millisecond)
		one, err := timeChange(ch, core.Generation(i+2), workspaces, ags, en)
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

// change writes a generation and waits until all agents have it.
func change(ch *chain.Chain, num core.Generation, workspaces int, ags *agents) error {
	raw, err := generation(num, workspaces)
	if err != nil {
		return err
	}
	if err := ch.Create(context.Background(), uint64(num), raw); err != nil {
		return err
	}
	return ags.await(num)
}

func timeChange(ch *chain.Chain, num core.Generation, workspaces int, ags *agents, en *fleet.Process) (handOn, error) {
	before := ags.meter.read()
	use, err := usageOf(en)
	if err != nil {
		return handOn{}, err
	}
	began := time.Now()
	if err := change(ch, num, workspaces, ags); err != nil {
		return handOn{}, err
	}
	took := time.Since(began).Seconds()
	time.Sleep(200 * time.Millisecond) // Notices back, and the entry's last work.
	after, err := usageOf(en)
	tr := ags.meter.read().since(before)
	return handOn{took, tr.bytes(), tr.data, after.processor - use.processor}, err
}

// measureManyEntries gives one agent links from several entries that all
// adopt a change at the same time, as they do through their readers.
func measureManyEntries(re *report) error {
	var bytes []point
	for _, count := range []int{1, 4, 16, 64} {
		got, err := adoptFromMany(count)
		if err != nil {
			return err
		}
		bytes = append(bytes, point{float64(count), got})
	}
	re.add("hand-on-repeated-bytes", "bytes at one agent for a change of 1,000 workspaces that all its entries have at once", "linked entry", bytesOf, bytes)
	return nil
}

func adoptFromMany(entries int) (float64, error) {
	ags, err := startAgents(1, new(words))
	if err != nil {
		return 0, err
	}
	defer ags.cancel()
	_, infs, cancel := startPools(entries, ags.hosts)
	defer cancel()
	if err := ags.awaitLinks(entries); err != nil {
		return 0, err
	}
	raw, err := generation(1, 1000)
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
