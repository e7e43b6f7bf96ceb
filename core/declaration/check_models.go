package declaration

import (
	"fmt"

	"skylarkstand/core"
)

func (ch *checker) models() {
	for _, mo := range ch.doc.Models {
		place := fmt.Sprintf("models[%s]", mo.ID)
		if len(mo.Versions) == 0 {
			ch.add(NoVersions, place+".versions", "the model has no version, so nothing can run", "declare at least one version")
			continue
		}
		ch.checkDeclared(place+".stable", core.ModelVersion{Model: mo.ID, Version: mo.Stable})
		for _, ve := range mo.Versions {
			at := fmt.Sprintf("%s.versions[%s]", place, ve.ID)
			ch.quality(at+".quality", ve.Quality)
			ch.price(at+".prompt-price", ve.PromptPrice)
			ch.price(at+".token-price", ve.TokenPrice)
		}
	}
}

func (ch *checker) quality(place string, qu core.Quality) {
	if qu >= 0 && qu <= 1 {
		return
	}
	remedy := "give a share from 0 to 1"
	if qu > 1 && qu <= 100 {
		remedy = fmt.Sprintf("a quality is a share from 0 to 1; write %g", float64(qu)/100)
	}
	ch.add(QualityRange, place, fmt.Sprintf("%g is not a quality", float64(qu)), remedy)
}

func (ch *checker) price(place string, mc core.Millicents) {
	if mc < 0 {
		ch.add(NegativePrice, place, fmt.Sprintf("the price %d is negative, so callers would be paid for their requests", mc), "give a price of 0 or more, in thousandths of a cent")
	}
}

func (ch *checker) services() {
	for _, sv := range ch.doc.Services {
		place := fmt.Sprintf("services[%s]", sv.ID)
		if len(sv.Operations) == 0 {
			ch.add(NoOperations, place+".operations", "the service has no operation, so no call can be made", "declare its operations")
		}
		for _, op := range sv.Operations {
			ch.price(fmt.Sprintf("%s.operations[%s].price", place, op.ID), op.Price)
		}
	}
}

func (ch *checker) cascades() {
	for _, ca := range ch.doc.Cascades {
		place := fmt.Sprintf("cascades[%s].stages", ca.ID)
		if len(ca.Stages) == 0 {
			ch.add(NoStages, place, "the cascade has no stage", "list the models from cheap to costly")
		}
		var before *Version
		for i, id := range ca.Stages {
			mo := ch.sn.Model(id)
			if mo == nil {
				ch.unknown(place, "model", string(id), names(ch.doc.Models, func(mo Model) core.ModelID { return mo.ID }))
				continue
			}
			ve := ch.sn.Version(core.ModelVersion{Model: id, Version: mo.Stable})
			if before != nil && ve != nil {
				ch.checkOrder(place, ca.Stages[i-1], id, before, ve)
			}
			before = ve
		}
	}
}

// checkOrder compares two consecutive stages. A cascade from a costly to a cheaper
// model, or from a better to a worse one, pays for the costly model on every request
// and then for a second answer that is no better. Only the bill would reveal it.
func (ch *checker) checkOrder(place string, first, second core.ModelID, fv, sv *Version) {
	if sv.PromptPrice+sv.TokenPrice < fv.PromptPrice+fv.TokenPrice {
		ch.add(CascadeOrder, place, fmt.Sprintf("the costly model %s (%d) comes before the cheaper model %s (%d)", first, fv.PromptPrice+fv.TokenPrice, second, sv.PromptPrice+sv.TokenPrice), "list the cheaper model first")
		return
	}
	if sv.Quality < fv.Quality && fv.Quality <= 1 {
		ch.add(CascadeOrder, place, fmt.Sprintf("%s (quality %g) comes after %s (quality %g) and is worse", second, float64(sv.Quality), first, float64(fv.Quality)), "remove the stage or correct the qualities")
	}
}
