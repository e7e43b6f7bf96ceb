// Package declare is a library for writing the operators' configuration as a Go
// program. The program prints the configuration as JSON, in the format of
// docs/CONFIG.md, so that a change can be reviewed before it is applied. Programs in
// other languages may print the same format.
//
// Entries refer to each other by handles rather than by name. A reference to an
// undeclared version, a cascade over something other than a model, an operation that
// is neither at-most-once nor repeatable, or a key in place of its digest does not
// compile. All other mistakes are found when the program prints: it then lists all of
// them and prints no configuration.
//
// Methods that declare something return no error. A value that is out of range, a
// duplicate ID or an unknown zone is reported by [Configuration.Print], as an error of
// type [declaration.Mistakes].
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

// Configuration collects the declarations of a program, in the order in which they
// are made. It is created by [New] and must be used from a single goroutine.
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

// Document returns the declarations made so far as a document, without checking
// them. Lists are nil where nothing was declared. The document shares memory with the
// configuration and must not be modified.
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

// Print checks the configuration and writes it as indented JSON, followed by a
// newline. If it has mistakes, nothing is written, since a partial file that looks
// complete could be applied; the error is then of type [declaration.Mistakes] and
// lists all of them. Other errors are those of writing.
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

// Main prints the configuration to standard output. On an error, it prints the error
// or the mistakes, one line each, to standard error and exits the program with
// code 1.
func Main(cf *Configuration) {
	if err := cf.Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// AcceptRisk accepts a dangerous but legal change. Rule and place are those that
// `skylarkstand check` or `skylarkstand diff` prints: the place, such as
// "roll-outs[desk]", at the beginning of the line and the rule in brackets at its end.
// The reason must not be empty; it is recorded in the audit trail. An entry for a risk
// that does not exist is rejected.
func (cf *Configuration) AcceptRisk(rule declaration.Rule, place, reason string) {
	cf.risks = append(cf.risks, declaration.AcceptRisk{Rule: string(rule), Place: place, Reason: reason})
}

// Cascade declares a list of models ordered from cheap to costly. A request whose
// answer is rated below the workspace's target quality escalates to the next model.
// There are at least two stages, since a cascade of one would be the model itself.
// Callers request the cascade by its ID, which must differ from the IDs of models.
// A stage that is cheaper or worse than the one before is a mistake.
func (cf *Configuration) Cascade(id core.CascadeID, cheap, costly *Model, more ...*Model) Cascade {
	ca := declaration.Cascade{ID: id, Stages: []core.ModelID{cheap.mo.ID, costly.mo.ID}}
	for _, mo := range more {
		ca.Stages = append(ca.Stages, mo.mo.ID)
	}
	cf.cascades = append(cf.cascades, ca)
	return Cascade{id}
}

// Cascade is a handle to a declared cascade.
type Cascade struct{ id core.CascadeID }

// Types of values in declarations, so that a program needs no other import.
type (
	// WorkspaceID is the ID of a workspace: letters, digits, dots, dashes and
	// underscores.
	WorkspaceID = core.WorkspaceID
	// Millicents is an amount of money in thousandths of a cent.
	Millicents = core.Millicents
	// Quality is a share of good answers, from 0 to 1.
	Quality = core.Quality
)
