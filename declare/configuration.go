// Package declare is the library with which operators write their
// configuration as a program. The program prints the configuration as JSON, in
// the form of docs/CONFIG.md, so that a change can be read and reviewed before
// it is applied; programs in other languages may print the same form.
//
// Things are named by handles rather than by text. A version that was never
// declared, a cascade over something that is no model, a call of a service
// that does not say whether it may be repeated, or a key in place of its
// digest do not compile. What the compiler cannot see is found when the
// program prints: it then lists all mistakes and prints nothing.
//
// # Usage
//
//	cf := declare.New()
//	desk, v1 := cf.Model("desk", "v1", declare.Version{Quality: 0.7, Prices: declare.Prices{Prompt: 10, Token: 40}})
//	v2 := desk.Version("v2", declare.Version{Quality: 0.75, Prices: declare.Prices{Prompt: 10, Token: 40}})
//	v2.RollOut(10)
//	cf.Workspace("schools", declare.Terms{Share: 2, Quality: 0.7}, declare.DigestOf("c2b2…")).Allow(v1, v2)
//	declare.Main(cf)
package declare

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Configuration collects what a program declares, in the order in which it
// does. It is made by New and used from one goroutine.
type Configuration struct {
	models      []*Model
	services    []*Service
	cascades    []declaration.Cascade
	workspaces  []*Workspace
	zones       []*declaration.AvailabilityZone
	rollOuts    []declaration.RollOut
	withdrawals []declaration.Withdrawal
	risks       []declaration.AcceptRisk
}

// New returns an empty configuration.
func New() *Configuration { return &Configuration{} }

// Document returns what was declared so far.
func (cf *Configuration) Document() declaration.Document {
	doc := declaration.Document{
		Cascades: cf.cascades, RollOuts: cf.rollOuts, Withdrawals: cf.withdrawals, AcceptRisks: cf.risks,
	}
	for _, mo := range cf.models {
		doc.Models = append(doc.Models, mo.mo)
	}
	for _, sv := range cf.services {
		doc.Services = append(doc.Services, sv.sv)
	}
	for _, zo := range cf.zones {
		doc.Zones = append(doc.Zones, *zo)
	}
	for _, ws := range cf.workspaces {
		doc.Workspaces = append(doc.Workspaces, ws.ws)
	}
	return doc
}

// Print writes the configuration as JSON. A configuration with mistakes is not
// written at all: half a file that looks whole would be applied. The error is
// then a [declaration.Mistakes].
func (cf *Configuration) Print(wr io.Writer) error {
	doc := cf.Document()
	if err := doc.Check(); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return eris.Wrap(err, "print configuration")
	}
	_, err = fmt.Fprintf(wr, "%s\n", raw)
	return eris.Wrap(err, "print configuration")
}

// Main prints the configuration to the standard output, or its mistakes to the
// standard error, and ends the program with exit code 1 then.
func Main(cf *Configuration) {
	if err := cf.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// AcceptRisk names a dangerous but legal change that is meant. Rule and place
// are what `skylarkstand check` or `diff` names; the audit trail keeps the
// reason.
func (cf *Configuration) AcceptRisk(rule declaration.Rule, place, reason string) {
	cf.risks = append(cf.risks, declaration.AcceptRisk{Rule: string(rule), Place: place, Reason: reason})
}

// Cascade declares a row of models, from cheap to costly. It has two stages at
// least: with one it would be the model itself.
func (cf *Configuration) Cascade(id core.CascadeID, cheap, costly *Model, more ...*Model) Cascade {
	ca := declaration.Cascade{ID: id, Stages: []core.ModelID{cheap.mo.ID, costly.mo.ID}}
	for _, mo := range more {
		ca.Stages = append(ca.Stages, mo.mo.ID)
	}
	cf.cascades = append(cf.cascades, ca)
	return Cascade{id}
}

// Cascade is a declared cascade.
type Cascade struct{ id core.CascadeID }

// Names of what a program declares, so that it needs no import but this one.
type (
	// WorkspaceID names a workspace.
	WorkspaceID = core.WorkspaceID
	// Millicents is an amount of money, a thousandth of a cent.
	Millicents = core.Millicents
	// Quality is a share of good answers, from 0 to 1.
	Quality = core.Quality
)
