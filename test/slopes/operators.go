package main

import (
	"context"
	"errors"
	"os"
	"path/filepath"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/declaration/publish"
	"skylarkstand/io/store"
)

// measureOperators measures the store calls of an accepted change, and the processor time that a
// check of the whole configuration uses on the operator's machine.
func measureOperators(re *report) error {
	if err := measureApply(re); err != nil {
		return err
	}
	var pts []point
	for _, count := range documentSizes {
		from, err := documentOf(1, count)
		if err != nil {
			return err
		}
		to, err := documentOf(2, count)
		if err != nil {
			return err
		}
		to.Workspaces[0].Share = 2
		const rounds = 10
		began := ownProcessorTime()
		for range rounds {
			var mis declaration.Mistakes
			if err := declaration.CheckChange(from, to); err != nil && !errors.As(err, &mis) {
				return err
			}
			declaration.Effects(from, to)
			declaration.Diff(from, to)
		}
		pts = append(pts, point{float64(count), (ownProcessorTime() - began) / rounds})
	}
	re.add("check-processor", "processor time to check a change and show its effects", "workspace", coreSeconds, pts)
	return nil
}

// documentOf returns the document of a generation with a number of workspaces.
func documentOf(num core.Generation, workspaces int) (*declaration.Document, error) {
	raw, err := encodeGeneration(num, workspaces)
	if err != nil {
		return nil, err
	}
	gen, err := declaration.Decode(raw)
	if err != nil {
		return nil, err
	}
	return &gen.Document, nil
}

// measureApply applies changes one after the other, without concurrent writers.
func measureApply(re *report) error {
	text, err := os.ReadFile(filepath.Join("test", "demo", "landesamt.jsonc"))
	if err != nil {
		return err
	}
	doc, err := declaration.Load(text)
	if err != nil {
		return err
	}
	var reads, writes []point
	for _, count := range []int{2, 8, 32} {
		fl, cleanup, err := newFleet("apply")
		if err != nil {
			return err
		}
		pub := publish.New(store.New(fl.StoreURL))
		for i := range count {
			doc.Workspaces[0].Share = i + 1
			if _, err := pub.Apply(context.Background(), publish.Proposal{Document: doc, Base: core.Generation(i), Who: "slopes", Why: "measure"}); err != nil {
				cleanup()
				return err
			}
		}
		sc, err := callsOf(fl)
		cleanup()
		if err != nil {
			return err
		}
		reads, writes = append(reads, point{float64(count), sc.Reads}), append(writes, point{float64(count), sc.Writes})
	}
	re.add("apply-reads", "reads of the store by the operators' apply, without races and without the wait for zones", "change", calls, reads)
	re.add("apply-writes", "writes of the store by it", "change", calls, writes)
	return nil
}
