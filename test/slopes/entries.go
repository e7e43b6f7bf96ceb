package main

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/session"
	"skylarkstand/core/suspect"
	"skylarkstand/core/topology"
	"skylarkstand/io/peer"
)

// measureEntries measures the propagation of changes between entries, over the links that
// core/topology selects, and compares other strategies by the measured costs.
func measureEntries(re *report) error {
	if err := measureSessions(re); err != nil {
		return err
	}
	var took, bytes, frames, links, idleBytes []point
	for _, size := range []int{5, 20, 60} {
		me, err := startMesh(size)
		if err != nil {
			return err
		}
		pc, err := me.propagate()
		if err != nil {
			me.cancel()
			return err
		}
		before := me.meter.read()
		time.Sleep(meshIdleTime)
		idleBytes = append(idleBytes, point{float64(me.links), me.meter.read().since(before).bytes() / meshIdleTime.Seconds()})
		me.cancel()
		num := float64(size)
		took = append(took, point{num, pc.took})
		bytes = append(bytes, point{num, pc.bytes})
		frames = append(frames, point{num, pc.frames})
		links = append(links, point{num, float64(me.links)})
	}
	re.add("entries-time", "time until all entries have a change of 100 workspaces that the readers of one zone had first, in one process", "entry", seconds, took)
	re.add("entries-bytes", "bytes between all entries for such a change", "entry", byteCount, bytes)
	re.add("entries-frames", "frames with a message between all entries for such a change", "entry", frameCount, frames)
	re.add("entries-links", "links between entries", "entry", number, links)
	re.add("entries-link-idle", "bytes on links between entries at rest, both ways: keep-alives and notices", "link", bytesPerSecond, idleBytes)
	re.notes = append(re.notes, describePeerLinks(), re.compareStrategies(100))
	return nil
}

// measureSessions measures the memory of an entry's table of sessions whose callers send only an id.
func measureSessions(re *report) error {
	var pts []point
	for _, count := range []int{5_000, 20_000, 60_000} {
		before := liveHeap()
		ho := session.NewHolder()
		for i := range count {
			key := session.Key{Workspace: "workspace-0001", Session: core.SessionID(fmt.Sprintf("session-%d", i))}
			ho.Record(key, session.Versions{desk.Model: desk.Version}, time.Unix(0, 0))
		}
		pts = append(pts, point{float64(count), liveHeap() - before})
		runtime.KeepAlive(ho)
	}
	re.add("session-memory", "live memory of the held sessions", "session", byteCount, pts)
	return nil
}

// meshIdleTime covers two rounds of keep-alives and of notices.
const meshIdleTime = 4 * time.Second

// mesh is a set of entries in this process, linked as core/topology selects.
type mesh struct {
	hosts  []core.Host
	infs   []*declaration.InForce
	meter  meter
	links  int
	cancel context.CancelFunc
}

// meshZones are the zones of the entries in turn: four zones in two regions.
var meshZones = []core.Host{
	{Zone: "a-1", Region: "a"}, {Zone: "a-2", Region: "a"}, {Zone: "b-1", Region: "b"}, {Zone: "b-2", Region: "b"},
}

// startMesh starts entries and waits until they are linked.
func startMesh(size int) (*mesh, error) {
	ctx, cancel := context.WithCancel(context.Background())
	me := &mesh{cancel: cancel}
	var parts []*peer.Mesh
	for i := range size {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cancel()
			return nil, err
		}
		ho := meshZones[i%len(meshZones)]
		ho.Role, ho.Addr = core.RoleEntry, li.Addr().String()
		inf := declaration.NewInForce()
		part := peer.New(core.NewDeps(), inf, suspect.New(), ho)
		go func() { _ = part.Serve(ctx, meteredListener{li, &me.meter}) }()
		me.hosts, me.infs, parts = append(me.hosts, ho), append(me.infs, inf), append(parts, part)
	}
	time.Sleep(50 * time.Millisecond) // Update has no effect before Serve runs.
	for i, part := range parts {
		me.links += len(topology.Peers(me.hosts, me.hosts[i]))
		part.Update(me.hosts)
	}
	err := poll("links between entries", func() (bool, error) { return me.meter.conns.Load() >= int64(me.links), nil })
	if err != nil {
		cancel()
		return nil, err
	}
	time.Sleep(500 * time.Millisecond)
	return me, nil
}

// propagate returns the average cost of changes that only the readers of the first zone receive
// from the store. This is the worst case: usually the readers of all zones receive them.
func (me *mesh) propagate() (propagationCost, error) {
	var sum propagationCost
	for i := range changes {
		num := core.Generation(i + 1)
		raw, err := encodeGeneration(num, 100)
		if err != nil {
			return sum, err
		}
		began, before := time.Now(), me.meter.read()
		for _, ho := range topology.Readers(me.hosts, meshZones[0].Zone) {
			for j := range me.hosts {
				if me.hosts[j].Addr != ho.Addr {
					continue
				}
				if _, err := me.infs[j].Adopt(raw); err != nil {
					return sum, err
				}
			}
		}
		if err := awaitAll(me.infs, num); err != nil {
			return sum, fmt.Errorf("propagation between entries: %w", err)
		}
		sum.took += time.Since(began).Seconds() / changes
		time.Sleep(300 * time.Millisecond)
		tr := me.meter.read().since(before)
		sum.bytes += tr.bytes() / changes
		sum.frames += tr.data / changes
	}
	return sum, nil
}
