package suspect_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/suspect"
	"skylarkstand/test/fakestore"
)

func exchange(body string, parts ...string) *core.Exchange {
	ex := &core.Exchange{Method: "POST", Host: "a.example", Target: "/x", Body: []byte(body)}
	for _, id := range append(parts, body) {
		ex.Parts = append(ex.Parts, core.Part{ID: id})
	}
	return ex
}

func traits(body string, parts ...string) suspect.Traits {
	return suspect.TraitsOfExchange("school", "lm", exchange(body, parts...))
}

// crashWith records the crash of an upstream with a request in flight.
func crashWith(de *suspect.Detector, tr suspect.Traits, request uint16, upstream uint64, ended float64) {
	for _, fp := range tr {
		de.RecordCrash(crash{fp, request, upstream, ended - 0.1, ended}.record(), at(ended))
	}
}

// Guards against comparing what belongs to one request, or one session, alone.
func TestTraitsOfExchange(t *testing.T) {
	assert.Equal(t, len(traits("a")), 1, "the last part is none")
	assert.Equal(t, len(traits("a", "first", "second", "first")), 3)
	assert.Equal(t, traits("a", "first")[1], traits("b", "first")[1])
	assert.Assert(t, traits("a", "first")[0] != traits("b", "first")[0])
	other := suspect.TraitsOfExchange("school", "other", exchange("a", "first"))
	assert.Assert(t, traits("a", "first")[1] != other[1], "another service")
	many := make([]string, 100)
	for i := range many {
		many[i] = string(rune('a' + i))
	}
	assert.Assert(t, len(traits("a", many...)) <= 17)
}

// Guards against refusing requests for an innocent part that came with the poisonous one each time, and
// against a quarantine that ends, also in the store, when that part turns out to be innocent.
func TestInnocentPartBesideAPoisonousOne(t *testing.T) {
	ctx, de, st := context.Background(), suspect.NewDetector(suspect.New()), fakestore.New()
	rr := suspect.NewRecorder(core.NewDeps(), de, st, func() int { return 0 })
	for n := range 4 {
		crashWith(de, traits(string(rune('a'+n)), "beside", "bad"), uint16(n), uint64(n), float64(n))
	}
	assert.Equal(t, len(de.Quarantine(at(5))), 1)
	rr.Record(ctx, at(5))
	both, alone, bad := traits("e", "beside", "bad"), traits("f", "beside"), traits("g", "bad")
	ad, until := de.Admit(both, 10, at(5))
	assert.Equal(t, ad, suspect.Refused)
	assert.Assert(t, until.After(at(60)))
	ad, _ = de.Admit(alone, 11, at(7))
	assert.Equal(t, ad, suspect.Admitted, "it shows which of the parts is the cause")
	ad, _ = de.Admit(traits("h", "beside"), 12, at(7.1))
	assert.Equal(t, ad, suspect.Deferred, "one at a time")
	for _, fp := range alone {
		de.RecordCompleted(fp, at(8))
	}
	ad, _ = de.Admit(traits("h", "beside"), 12, at(8.1))
	assert.Equal(t, ad, suspect.Admitted)
	for _, tr := range []suspect.Traits{both, bad} {
		ad, _ = de.Admit(tr, 13, at(8.1))
		assert.Equal(t, ad, suspect.Refused)
	}
	rr.Record(ctx, at(9))
	restored := suspect.NewDetector(suspect.New())
	items, err := st.List(ctx, suspect.Prefix)
	assert.NilError(t, err)
	for _, it := range items {
		assert.NilError(t, rr.HandleChange(at(9), core.Change{Item: it}))
	}
	rr.Record(ctx, at(9).Add(5*time.Second))
	items, err = st.List(ctx, suspect.Prefix)
	assert.NilError(t, err)
	other := suspect.NewRecorder(core.NewDeps(), restored, st, func() int { return 1 })
	for _, it := range items {
		assert.NilError(t, other.HandleChange(at(10), core.Change{Item: it}))
	}
	ad, _ = restored.Admit(bad, 13, at(11))
	assert.Equal(t, ad, suspect.Refused)
}

// Guards against a part that is free after its quarantine though it still crashes upstreams, and against
// one that stays refused though it does not.
func TestProbationOfAPart(t *testing.T) {
	de := suspect.NewDetector(suspect.New())
	for n := range 4 {
		crashWith(de, traits(string(rune('a'+n)), "bad"), uint16(n), uint64(n), float64(n))
	}
	assert.Equal(t, len(de.Quarantine(at(5))), 1)
	_, until := de.Admit(traits("e", "bad"), 1, at(5))
	tried := until.Add(time.Second) // Request 60,000 waits longer.
	ad, _ := de.Admit(traits("e", "bad"), 1, tried)
	assert.Equal(t, ad, suspect.Admitted)
	ad, _ = de.Admit(traits("f", "bad"), 60_000, tried)
	assert.Equal(t, ad, suspect.Deferred)
	crashWith(de, traits("e", "bad"), 1, 99, tried.Sub(start).Seconds())
	ad, again := de.Admit(traits("f", "bad"), 60_000, tried)
	assert.Equal(t, ad, suspect.Refused)
	assert.Assert(t, again.Sub(tried) >= until.Sub(at(5)), "for as long as it has been known")
	for _, fp := range traits("g", "bad") {
		de.RecordCompleted(fp, again.Add(time.Second))
	}
	ad, _ = de.Admit(traits("f", "bad"), 2, again.Add(2*time.Second))
	assert.Equal(t, ad, suspect.Admitted)
}
