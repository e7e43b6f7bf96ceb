package declare

import (
	"skylarkstand/core"
	"skylarkstand/core/declaration"
)

// Model is a declared model.
type Model struct {
	cf *Configuration
	mo declaration.Model
}

// Version is what a version promises and costs.
type Version struct {
	// Quality is the share of good answers, from 0 to 1.
	Quality core.Quality
	Prices  Prices
}

// Prices are for 1,000 tokens, in thousandths of a cent.
type Prices struct {
	Prompt, Token core.Millicents
}

// Release is a declared version of a declared model. What may happen to a
// version are its methods, so it cannot happen to another model's version of
// the same name.
type Release struct {
	model *Model
	id    core.VersionID
}

// Model declares a model with its stable version. A model without a stable
// version cannot be declared.
func (cf *Configuration) Model(id core.ModelID, stable core.VersionID, ve Version) (*Model, Release) {
	mo := &Model{cf: cf, mo: declaration.Model{ID: id, Stable: stable}}
	cf.models = append(cf.models, mo)
	return mo, mo.Version(stable, ve)
}

// Version declares a further version, newer than those before.
func (mo *Model) Version(id core.VersionID, ve Version) Release {
	mo.mo.Versions = append(mo.mo.Versions, declaration.Version{
		ID: id, Quality: ve.Quality, PromptPrice: ve.Prices.Prompt, TokenPrice: ve.Prices.Token,
	})
	return Release{mo, id}
}

// MakeStable gives the version to new sessions in place of the stable one.
func (re Release) MakeStable() { re.model.mo.Stable = re.id }

// RollOut gives the version a percentage of new sessions, 1 to 100.
func (re Release) RollOut(percent int) {
	cf := re.model.cf
	cf.rollOuts = append(cf.rollOuts, declaration.RollOut{Model: re.model.mo.ID, Version: re.id, Percent: percent})
}

// Withdraw stops the version: it gets no new work, and its sessions move.
func (re Release) Withdraw(reason string) {
	cf := re.model.cf
	cf.withdrawals = append(cf.withdrawals, declaration.Withdrawal{Model: re.model.mo.ID, Version: re.id, Reason: reason})
}
