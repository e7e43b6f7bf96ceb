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
	"skylarkstand/core/propagation"
	"skylarkstand/io/peer"
	"skylarkstand/io/store"
	"skylarkstand/test/figure"
	"skylarkstand/test/fleet"
)

// deployment is the locations and the number of agents of one user, with entriesPerZone entries at
// each location.
type deployment struct {
	user      string
	locations []fleet.Location
	agents    int
}

var deployments = []deployment{
	{"landesamt", []fleet.Location{{Zone: "muc-a", Region: "muc"}, {Zone: "muc-b", Region: "muc"}, {Zone: "nue-a", Region: "nue"}}, 21},
	{"association", []fleet.Location{{Zone: "sapporo-a", Region: "doo-central"}, {Zone: "otaru-b", Region: "doo-central"}, {Zone: "kushiro-a", Region: "doto-east"}}, 15},
}

// entriesPerZone is the number of entries at each location, applies the number of measured changes.
const (
	entriesPerZone = 2
	applies        = 100
)

// measureApply measures the time from an accepted write until the last process has it in force, at
// the current sizes of deployments. Loopback has no delay between regions, so the figure excludes it.
func measureApply() error {
	for _, de := range deployments {
		hist, err := measureDeployment(de)
		if err != nil {
			return err
		}
		figure.AtMost("apply-in-force-p99-"+de.user, millis(hist, 99)/1000, "s", 2)
	}
	return nil
}

// measureDeployment returns the times of all changes, in microseconds.
func measureDeployment(de deployment) (*hdrhistogram.Histogram, error) {
	fl, cleanup, err := fleet.New("bin", filepath.Join("out", "measure", de.user))
	if err != nil {
		return nil, err
	}
	defer cleanup()
	if err := startDeployment(fl, de); err != nil {
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
		if i > 0 { // The first change also waits until the links are established.
			_ = hist.RecordValue(took.Microseconds())
		}
	}
	return hist, nil
}

// startDeployment starts the platform's stand-ins, the agents and the entries.
func startDeployment(fl *fleet.Fleet, de deployment) error {
	if err := fl.StartPlatform(nil); err != nil {
		return err
	}
	for i := range de.agents {
		id, location := fmt.Sprintf("runner-%d", i), de.locations[i%len(de.locations)]
		if err := fl.StartAgent(id, core.ModelVersion{Model: "desk", Version: "v1"}, location, fl.PlatformURL); err != nil {
			return err
		}
	}
	for _, location := range de.locations {
		for i := range entriesPerZone {
			if _, err := fl.StartEntry(fmt.Sprintf("entry-%s-%d", location.Zone, i), location, map[string]any{"log-level": "warn"}); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyOnce applies a document and returns the time from its acceptance until it is in force at all
// processes.
func applyOnce(pub *publish.Publisher, fl *fleet.Fleet, doc declaration.Document, base core.Generation) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	res, err := pub.Apply(ctx, publish.Proposal{Document: doc, Base: base, Who: "measure", Why: "measure"})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	deps := core.NewDeps()
	awaitGeneration := func(ctx context.Context, addr string, gen core.Generation) error {
		_, err := peer.AwaitGeneration(ctx, deps, addr, gen)
		return err
	}
	rep := propagation.Follow(ctx, fl.Hosts(), res.After.Number, awaitGeneration, func(propagation.ZoneReport) {})
	if len(rep.Missing) > 0 {
		return 0, fmt.Errorf("generation %d is not in force after one minute at %v", res.After.Number, rep.Missing)
	}
	return time.Since(began), nil
}
