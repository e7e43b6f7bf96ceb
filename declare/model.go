package declare

import (
	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Model is a handle to a declared model.
type Model struct {
	cf *Configuration
	mo declaration.Model
}

// Version is the declared quality and the prices of a version.
type Version struct {
	// Quality is the share of good answers, from 0 to 1. It is used until ratings
	// are available.
	Quality core.Quality
	// Prices are the prices of the version's tokens.
	Prices Prices
}

// Prices are the prices of 1,000 tokens, in thousandths of a cent, 0 or more.
type Prices struct {
	// Prompt is the price of prompt tokens, Token that of generated tokens.
	Prompt, Token core.Millicents
}

// Release is a handle to a declared version of a model. Roll-outs and withdrawals are
// its methods, so that they cannot be applied by mistake to another model's version of
// the same ID.
type Release struct {
	model *Model
	id    core.VersionID
}

// Model declares a model with its stable version, which new sessions get unless a
// roll-out applies. It returns the handles of both. Callers request the model by its
// ID.
func (cf *Configuration) Model(id core.ModelID, stable core.VersionID, ve Version) (*Model, Release) {
	mo := &Model{cf: cf, mo: declaration.Model{ID: id, Stable: stable}}
	cf.models = append(cf.models, mo)
	return mo, mo.Version(stable, ve)
}

// Version declares another version, newer than those declared before. Its ID must be
// unique within the model.
func (mo *Model) Version(id core.VersionID, ve Version) Release {
	mo.mo.Versions = append(mo.mo.Versions, declaration.Version{
		ID: id, Quality: ve.Quality, PromptPrice: ve.Prices.Prompt, TokenPrice: ve.Prices.Token,
	})
	return Release{mo, id}
}

// MakeStable makes the version the model's stable version, in place of the current
// one.
func (re Release) MakeStable() { re.model.mo.Stable = re.id }

// RollOut gives the version a percentage of new sessions, 1 to 100. A model has at
// most one roll-out, and not of its stable version.
func (re Release) RollOut(percent int) {
	cf := re.model.cf
	cf.rollOuts = append(cf.rollOuts, declaration.RollOut{Model: re.model.mo.ID, Version: re.id, Percent: percent})
}

// Withdraw stops the version at once: it gets no new work, and its sessions move to
// another version. The reason must not be empty; it is recorded in the audit trail and
// returned to callers whose session moves.
func (re Release) Withdraw(reason string) {
	cf := re.model.cf
	cf.withdrawals = append(cf.withdrawals, declaration.Withdrawal{Model: re.model.mo.ID, Version: re.id, Reason: reason})
}
