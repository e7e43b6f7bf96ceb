package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"skylarkstand/test/answers"
)

// drawingPeers are upstreams that give the first arrival of each request a drawn answer, and all others a sound one.
type drawingPeers struct {
	seed uint64

	mu sync.Mutex
	// given are the answers that were given, by request.
	given map[string][]answers.Answer
}

// answer draws the answer to a request.
func (dp *drawingPeers) answer(rq *http.Request) answers.Answer {
	id := rq.Header.Get("X-Skylarkstand-Attempt-Id")
	if id == "" { // A health check or a query.
		return answers.Answer{Text: "HTTP/1.1 429 Busy\r\nContent-Length: 0\r\n\r\n"}
	}
	content := answers.Content{
		Lines: []string{"X-Skylarkstand-Attempt-Id: " + id, "X-Skylarkstand-Response-Seal: seal-" + id},
		Other: []string{"X-Skylarkstand-Attempt-Id: other", "X-Skylarkstand-Response-Seal: seal-other"},
		Body:  "did " + id, Statuses: []int{200, 200, 201, 404, 500},
	}
	if rq.Header.Get("X-Skylarkstand-Model") != "" {
		content.Lines = append(content.Lines, "Content-Type: text/event-stream", "X-Skylarkstand-Confidence: 95")
		content.Body, content.Statuses = eventsAfter(rq), nil
		content.Framed = content.Body == "" // An unframed stream has an event.
	}
	dp.mu.Lock()
	defer dp.mu.Unlock()
	rnd := rand.New(rand.NewPCG(dp.seed, xxhash.Sum64String(id)+uint64(len(dp.given[id]))))
	an := answers.Draw(rnd, content)
	for len(dp.given[id]) > 0 && an.Fault != "" {
		an = answers.Draw(rnd, content)
	}
	dp.given[id] = append(dp.given[id], an)
	return an
}

// check checks what a caller got for a request, and reports whether it was an answer of an upstream.
func (dp *drawingPeers) check(t *testing.T, id string, re response) bool {
	t.Helper()
	dp.mu.Lock()
	defer dp.mu.Unlock()
	given := dp.given[id]
	assert.Check(t, len(given) <= 1 || !strings.HasPrefix(id, "claim"), "%s ran %d times", id, len(given))
	whole := slices.ContainsFunc(given, func(an answers.Answer) bool {
		return an.Fault == "" && an.Status == re.status && (an.Body == re.body || strings.HasPrefix(id, "draft") && re.body == strings.Join(events, ""))
	})
	first := "none"
	if len(given) > 0 {
		first = fmt.Sprintf("%s: %q", given[0].Fault, given[0].Text)
	}
	switch {
	case re.err != nil: // The caller sees that it is not whole.
	case whole:
		return true
	case slices.Contains(promises, re.status):
		assert.Check(t, len(given) == 0, "%s was told that it had not run: %d, answer %s", id, re.status, first)
	default:
		assert.Check(t, re.status == http.StatusBadGateway, "%s got %d, %q, answer %s", id, re.status, re.body, first)
	}
	return false
}

// Guards against a broken answer that a caller gets, in part or as another one, is told of at its deadline only, or as not
// run: whatever an upstream sends, callers get its whole answer, that of another upstream, or a failure at once.
func TestCallersGetWholeAnswersOnly(t *testing.T) {
	for i := range uint64(*soakSeeds) {
		seed := *soakFirst + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			const callers, requestsEach = 8, 60
			dp := &drawingPeers{seed: seed, given: map[string][]answers.Answer{}}
			fx := newAddressFixture(t, answers.Serve(t, dp.answer), answers.Serve(t, dp.answer), answers.Serve(t, dp.answer))
			var wg sync.WaitGroup
			var mu sync.Mutex
			served, sent := map[string]int{}, map[string]int{}
			for n := range callers {
				rnd := rand.New(rand.NewPCG(seed, uint64(n)))
				wg.Go(func() {
					for i := range requestsEach {
						kind := []string{"claim", "lookup", "draft"}[rnd.IntN(3)]
						rq := request{path: "/" + kind + "/1", body: strings.Repeat("x", rnd.IntN(12000)), deadline: patience}
						if kind == "draft" {
							rq.model = "*"
						}
						id := fmt.Sprintf("%s-%d-%d", kind, n, i)
						whole := dp.check(t, id, fx.sendAs(rq, id))
						mu.Lock()
						sent[kind]++
						if whole {
							served[kind]++
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			t.Logf("answers %v of %v requests", served, sent)
			// A claim with a broken answer is not repeated; the others are answered by another upstream.
			assert.Assert(t, 4*served["claim"] >= sent["claim"] && 10*served["lookup"] >= 9*sent["lookup"])
		})
	}
}
