package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/placement"
)

// measureHosts looks at what grows with the length of the host list: reading
// it, and choosing an upstream among the links that come of it.
func measureHosts(re *report) error {
	if err := measureList(re); err != nil {
		return err
	}
	return measureChoice(re)
}

// listCase is an entry beside a list of a length.
type listCase struct {
	size                        int
	bytes, processor, residents float64
	err                         error
}

func measureList(re *report) error {
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
		resident = append(resident, point{num, lc.residents})
	}
	re.add("list-bytes", "bytes of the host list, read once a second", "listed host", bytesPerSecond, bytes)
	re.add("list-processor", "processor time of an entry that reads the list and links with none of it", "listed host", cores, processor)
	re.add("list-memory", "resident memory of that entry", "listed host", bytesOf, resident)
	return nil
}

// run lists hosts that the entry reads and links with none of: leaving
// entries in its own zone.
func (lc *listCase) run() error {
	fl, cleanup, err := newFleet(fmt.Sprintf("list-%d", lc.size))
	if err != nil {
		return err
	}
	defer cleanup()
	en, err := fl.StartEntry("entry-1", place, nil)
	if err != nil {
		return err
	}
	hosts := []core.Host{{Role: core.RoleEntry, Addr: en.Addr, Zone: place.Zone, Region: place.Region}}
	for i := range lc.size {
		hosts = append(hosts, core.Host{
			Role: core.RoleEntry, Addr: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Zone: place.Zone, Region: place.Region,
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
	time.Sleep(settle)
	before, err := usageOf(en)
	if err != nil {
		return err
	}
	time.Sleep(idle)
	after, err := usageOf(en)
	lc.processor = (after.processor - before.processor) / idle.Seconds()
	lc.residents = after.resident
	return err
}

// measureChoice lists the upstreams of a version and picks one, as each
// attempt does.
func measureChoice(re *report) error {
	var pts []point
	for _, size := range receiverSizes {
		ags, err := startAgents(size, new(words))
		if err != nil {
			return err
		}
		pools, _, cancel := startPools(1, ags.hosts)
		err = awaitLinks(pools[0], size)
		if err == nil {
			const rounds = 20_000
			began := ownProcessor()
			for i := range rounds {
				draw := func(num int) int { return i % num }
				if _, ok := placement.Pick(pools[0].Serving(desk), place.Zone, place.Region, draw, nil); !ok {
					err = fmt.Errorf("no upstream was picked of %d", size)
				}
			}
			pts = append(pts, point{float64(size), (ownProcessor() - began) / rounds})
		}
		cancel()
		ags.cancel()
		if err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
	re.add("choice-processor", "processor time to list a version's upstreams and choose one, per attempt", "linked upstream of the version", coreSeconds, pts)
	return nil
}
