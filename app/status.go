package app

import (
	"context"
	"fmt"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/declaration/publish"
)

type statusCmd struct {
	storeArgs
	Entry string `arg:"--entry,env:SKYLARKSTAND_ENTRY" help:"admin URL of an entry, to show what it sees: upstreams, queues, quarantines"`
}

func (cmd *statusCmd) run(ctx context.Context) error {
	cur, err := publish.New(cmd.open()).Newest(ctx)
	if err != nil {
		return err
	}
	if cur.Number == 0 {
		fmt.Println("no configuration is in force yet; see `skylarkstand apply --help`")
		return nil
	}
	fmt.Printf("generation %d, applied by %s at %s: %s\n", cur.Number, cur.Audit.Who, cur.Audit.When.Format(time.RFC3339), cur.Audit.Why)
	sn := declaration.NewSnapshot(cur, nil)
	for i := range cur.Document.Models {
		printModel(sn, &cur.Document.Models[i])
	}
	for _, ca := range cur.Document.Cascades {
		fmt.Printf("cascade %s: %v\n", ca.ID, ca.Stages)
	}
	for _, zo := range cur.Document.Zones {
		if zo.Evacuated != "" {
			fmt.Printf("zone %s gets no new work: %s\n", zo.ID, zo.Evacuated)
		}
	}
	for i := range cur.Document.Workspaces {
		printWorkspace(sn, &cur.Document.Workspaces[i])
	}
	if cmd.Entry == "" {
		return nil
	}
	return printEntry(ctx, cmd.Entry)
}

func printModel(sn *declaration.Snapshot, mo *declaration.Model) {
	fmt.Printf("model %s\n", mo.ID)
	for _, ve := range mo.Versions {
		fmt.Printf("  %-12s quality %.2f  %s\n", ve.ID, float64(ve.Quality), versionState(sn, mo, ve.ID))
	}
}

func versionState(sn *declaration.Snapshot, mo *declaration.Model, id core.VersionID) string {
	mv := core.ModelVersion{Model: mo.ID, Version: id}
	ro := sn.RollOut(mo.ID)
	switch {
	case sn.Withdrawn(mv):
		return "withdrawn: " + sn.WithdrawalReason(mv)
	case ro != nil && ro.Version == id && ro.Halted != "":
		return "roll-out halted: " + ro.Halted
	case ro != nil && ro.Version == id:
		return fmt.Sprintf("roll-out, %d%% of new sessions", ro.Percent)
	case mo.Stable == id:
		return "stable"
	}
	return "keeps its sessions, gets no new ones"
}

func printWorkspace(sn *declaration.Snapshot, ws *declaration.Workspace) {
	fmt.Printf("workspace %s: share %d, served in %s\n", ws.ID, ws.Share, core.OnlyRegions(ws.Regions...))
	for _, al := range ws.Allow {
		fmt.Printf("  %s:", al.Model)
		for _, vs := range sn.Split(ws.ID, al.Model) {
			fmt.Printf(" %s %d%%", vs.Version, vs.Percent)
		}
		fmt.Println(" of new sessions")
	}
}
