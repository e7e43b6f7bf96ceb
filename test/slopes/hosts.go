package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/placement"
	"skylarkstand/io/agent"
)

// measureHosts measures what grows with the length of the host list: reading it, and choosing an
// upstream among the resulting links.
func measureHosts(re *report) error {
	if err := measureHostList(re); err != nil {
		return err
	}
	return measureChoice(re)
}

// listCase is an entry that reads a host list of a given length.
type listCase struct {
	size                       int
	bytes, processor, resident float64
	err                        error
}

// measureHostList runs all cases at the same time.
func measureHostList(re *report) error {
	cases := []listCase{{size: 400}, {size: 4000}, {size: 12_000}}
	var wg sync.WaitGroup
	for i := range cases {
		wg.Go(func() { cases[i].err = cases[i].run() })
	}
	wg.Wait()
	var bytes, processor, resident []point
	for _, lc := range cases {
		if lc.err != nil {
			return lc.err
		}
		num := float64(lc.size)
		bytes = append(bytes, point{num, lc.bytes})
		processor = append(processor, point{num, lc.processor})
		resident = append(resident, point{num, lc.resident})
	}
	re.add("list-bytes", "bytes of the host list, read once a second", "listed host", bytesPerSecond, bytes)
	re.add("list-processor", "processor time of an entry that reads the list and links with none of it", "listed host", cores, processor)
	re.add("list-memory", "resident memory of that entry", "listed host", byteCount, resident)
	return nil
}

// run publishes hosts that the entry reads but does not link with: entries in its own zone that are
// leaving.
func (lc *listCase) run() error {
	fl, cleanup, err := newFleet(fmt.Sprintf("list-%d", lc.size))
	if err != nil {
		return err
	}
	defer cleanup()
	en, err := fl.StartEntry("entry-1", location, nil)
	if err != nil {
		return err
	}
	hosts := []core.Host{{Role: core.RoleEntry, Addr: en.Addr, Zone: location.Zone, Region: location.Region}}
	for i := range lc.size {
		hosts = append(hosts, core.Host{
			Role: core.RoleEntry, Addr: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Zone: location.Zone, Region: location.Region,
			ID: core.UpstreamID(fmt.Sprintf("desk-%d", i)), Model: desk.Model, Version: desk.Version, Leaving: true,
		})
	}
	raw, err := json.Marshal(hosts)
	if err != nil {
		return err
	}
	lc.bytes = float64(len(raw))
	if err := publishHosts(fl, hosts); err != nil {
		return err
	}
	time.Sleep(settleTime)
	before, err := usageOf(en)
	if err != nil {
		return err
	}
	time.Sleep(idleTime)
	after, err := usageOf(en)
	lc.processor = (after.processor - before.processor) / idleTime.Seconds()
	lc.resident = after.resident
	return err
}

// measureChoice measures listing an entry's candidates of a version and picking one, as each attempt
// does. There are at most placement.MaxSubset candidates.
func measureChoice(re *report) error {
	var pts []point
	for _, size := range []int{8, 32, placement.MaxSubset} {
		ags, err := startAgents(size, new(tokenRunner))
		if err != nil {
			return err
		}
		pools, _, cancel := startPools(1, ags.hosts)
		if err = ags.awaitLinks(size); err == nil {
			var took float64
			took, err = choiceTime(pools[0])
			pts = append(pts, point{float64(size), took})
		}
		cancel()
		ags.cancel()
		if err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	re.add("choice-processor", "processor time to list a version's candidates and choose one, per attempt", "candidate", coreSeconds, pts)
	return nil
}

// choiceTime returns the processor time of one choice, in seconds.
func choiceTime(po *agent.Pool) (float64, error) {
	const rounds = 50_000
	pk := placement.New(location.Zone, location.Region)
	rnd := rand.New(rand.NewPCG(1, 2))
	rq := placement.Request{Pool: placement.Pool{Target: desk}}
	var buf []core.Upstream
	began := ownProcessorTime()
	for range rounds {
		buf = po.AppendServing(buf[:0], desk)
		if _, ok := pk.Pick(time.Now(), rq, buf, rnd.IntN); !ok {
			return 0, fmt.Errorf("no upstream of %s was picked among %d candidates", desk, len(buf))
		}
	}
	return (ownProcessorTime() - began) / rounds, nil
}
