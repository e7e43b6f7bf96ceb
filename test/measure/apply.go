package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/declaration/publish"
	"skylarkstand/core/inforce"
	"skylarkstand/io/peer"
	"skylarkstand/io/store"
	"skylarkstand/test/figure"
	"skylarkstand/test/fleet"
)

// shape is one user's zones and upstreams, with two entries a zone.
type shape struct {
	user   string
	places []fleet.Place
	agents int
}

var shapes = []shape{
	{"landesamt", []fleet.Place{{Zone: "muc-a", Region: "muc"}, {Zone: "muc-b", Region: "muc"}, {Zone: "nue-a", Region: "nue"}}, 21},
	{"association", []fleet.Place{{Zone: "sapporo-a", Region: "doo-central"}, {Zone: "otaru-b", Region: "doo-central"}, {Zone: "kushiro-a", Region: "doto-east"}}, 15},
}

const (
	entriesPerZone = 2
	applies        = 100
)

// measureApply takes the time from an accepted write until the last process of
// today's sizes has it in force, without the delay between regions, which
// loopback does not have.
func measureApply() error {
	for _, sh := range shapes {
		hist, err := measureShape(sh)
		if err != nil {
			return err
		}
		figure.AtMost("apply-in-force-p99-"+sh.user, millis(hist, 99)/1000, "s", 2)
	}
	return nil
}

func measureShape(sh shape) (*hdrhistogram.Histogram, error) {
	fl, cleanup, err := fleet.New("bin", filepath.Join("out", "measure", sh.user))
	if err != nil {
		return nil, err
	}
	defer cleanup()
	if err := startShape(fl, sh); err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(filepath.Join("test", "demo", "landesamt.jsonc"))
	if err != nil {
		return nil, err
	}
	doc, err := declaration.Parse(raw)
	if err != nil {
		return nil, err
	}
	pub, hist := publish.New(store.New(fl.StoreURL)), hdrhistogram.New(1, 120_000_000, 3)
	for i := range applies + 1 {
		doc.Workspaces[0].Share = 1 + i%7
		took, err := applyOnce(pub, fl, doc, core.Generation(i))
		if err != nil {
			return nil, err
		}
		if i > 0 { // The first waits for links that are still being made.
			_ = hist.RecordValue(took.Microseconds())
		}
	}
	return hist, nil
}

func startShape(fl *fleet.Fleet, sh shape) error {
	if err := fl.StartPlatform(nil); err != nil {
		return err
	}
	for i := range sh.agents {
		id, place := fmt.Sprintf("runner-%d", i), sh.places[i%len(sh.places)]
		if err := fl.StartAgent(id, core.ModelVersion{Model: "desk", Version: "v1"}, place, fl.PlatformURL); err != nil {
			return err
		}
	}
	for _, place := range sh.places {
		for i := range entriesPerZone {
			if _, err := fl.StartEntry(fmt.Sprintf("entry-%s-%d", place.Zone, i), place, map[string]any{"log-level": "warn"}); err != nil {
				return err
			}
		}
	}
	return nil
}

func applyOnce(pub *publish.Publisher, fl *fleet.Fleet, doc declaration.Document, base core.Generation) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	res, err := pub.Apply(ctx, publish.Proposal{Document: doc, Base: base, Who: "measure", Why: "measure"})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	deps := core.NewDeps()
	ask := func(ctx context.Context, addr string, gen core.Generation) error {
		_, err := peer.Await(ctx, deps, addr, gen)
		return err
	}
	rep := inforce.Follow(ctx, fl.Hosts(), res.After.Number, ask, func(inforce.Zone) {})
	if len(rep.Missing) > 0 {
		return 0, fmt.Errorf("not in force within a minute at %v", rep.Missing)
	}
	return time.Since(began), nil
}
