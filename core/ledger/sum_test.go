package ledger_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/chain"
	"skylarkstand/core/ledger"
)

// entry is a segment of bills, or a seal if bills is nil, in a chain.
type entry struct {
	chain  string
	number uint64
	bills  []ledger.Bill
}

// bill returns a bill of 700 millicents with its own attempt.
func bill(request, attempt, body string, after time.Duration) ledger.Bill {
	bi := newBill(attempt)
	bi.Request, bi.Content, bi.When = core.RequestID(request), body, time.Unix(0, 0).Add(after)
	return bi
}

// A caller retries a request because the answer was late or the entry died before it filed the bill
// of an operation that ran; each entry that served it has filed a bill; or entries of the ledger
// are lost or duplicated by a fault of the store or of this product. The customer's account must
// show each request once, and the operator must see each fault by name.
func TestAccountChargesOnceAndNamesFaults(t *testing.T) {
	first := bill("r1", "a1", "x", 0)
	replay, laterReplay := bill("r2", "a2", "x", -time.Second), bill("r2", "a3", "x", time.Second)
	replay.ReplayOf, laterReplay.ReplayOf = "a1", "a1"
	scenarios := []struct {
		testName string
		entries  []entry
		expected string
	}{
		{"two requests", []entry{{"p", 1, []ledger.Bill{first, bill("r2", "a2", "x", 0)}}}, "2 requests 1400, 0 retried, duplicated [], faults []"},
		{"retried at another entry", []entry{{"p", 1, []ledger.Bill{first}}, {"q", 1, []ledger.Bill{bill("r1", "a2", "x", time.Minute)}}},
			"1 requests 700, 1 retried, duplicated [], faults []"},
		{"same id for another body", []entry{{"p", 1, []ledger.Bill{first, bill("r1", "a2", "y", 0)}}}, "2 requests 1400, 0 retried, duplicated [], faults []"},
		{"same id on the next day", []entry{{"p", 1, []ledger.Bill{first, bill("r1", "a2", "x", 24*time.Hour)}}}, "2 requests 1400, 0 retried, duplicated [], faults []"},
		{"stored answer", []entry{{"p", 1, []ledger.Bill{first, replay}}}, "2 requests 700, 0 retried, duplicated [], faults []"},
		{"stored answers whose first bill was lost", []entry{{"p", 1, []ledger.Bill{laterReplay, replay}}}, "2 requests 700, 0 retried, duplicated [], faults []"},
		{"bill in two entries", []entry{{"p", 1, []ledger.Bill{first}}, {"p", 2, nil}, {"p/takeover", 1, []ledger.Bill{first}}},
			"1 requests 700, 0 retried, duplicated [r1], faults []"},
		{"entry missing", []entry{{"p", 1, []ledger.Bill{first}}, {"p", 3, []ledger.Bill{bill("r2", "a2", "x", 0)}}},
			"2 requests 1400, 0 retried, duplicated [], faults [ledger/p: entry 2 is missing]"},
		{"last entry missing", []entry{{"p", 1, []ledger.Bill{first}}, {"p", 3, nil}}, ""},
		{"takeover without a seal", []entry{{"p", 1, []ledger.Bill{first}}, {"p/takeover", 1, []ledger.Bill{bill("r2", "a2", "x", 0)}}},
			"2 requests 1400, 0 retried, duplicated [], faults [ledger/p has a takeover chain but no seal]"},
		{"entry after the seal", []entry{{"p", 1, nil}, {"p", 2, []ledger.Bill{first}}},
			"1 requests 700, 0 retried, duplicated [], faults [ledger/p: entry 2 was written after the seal]"},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			st := newMemoryStore()
			for _, en := range sc.entries {
				write(t, st, en)
			}
			if sc.expected == "" {
				// The head key refers to a deleted entry.
				assert.NilError(t, st.Delete(t.Context(), "ledger/p/3", 0))
				sc.expected = "1 requests 700, 0 retried, duplicated [], faults [ledger/p: entry 2 is missing ledger/p: entry 3 is missing]"
			}
			acc, err := ledger.Sum(t.Context(), st)
			assert.NilError(t, err)
			ba := acc.Workspaces["schools"]
			got := fmt.Sprintf("%d requests %d, %d retried, duplicated %v, faults %v", ba.Requests, ba.Total, ba.Retried, acc.Duplicated, acc.Faults)
			assert.Equal(t, got, sc.expected)
		})
	}
}

func write(t *testing.T, st *memoryStore, en entry) {
	t.Helper()
	ch := chain.New(st, "ledger/"+en.chain)
	if en.chain == "p" || en.chain == "q" {
		_, _ = st.Create(t.Context(), "ledgers/"+en.chain, nil, "")
	}
	if en.bills == nil {
		assert.NilError(t, ch.Seal(t.Context(), en.number))
		return
	}
	raw, err := json.Marshal(ledger.Segment{Bills: en.bills})
	assert.NilError(t, err)
	assert.NilError(t, ch.Create(t.Context(), en.number, raw))
}
