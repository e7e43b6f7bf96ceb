package claim_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/claim"
	"skylarkstand/test/fakestore"
	"skylarkstand/test/figure"
)

// The load: 3 agents of one service, each serving its share of the 16 buckets as entries route
// them, 1,500 callers that send the next operation as soon as the last was answered, and an
// upstream that answers at once with 100 bytes. The store takes 5 ms a call and refuses more than
// 100 writes a second. The figures are taken in real time on one machine, so they include the cost
// of encoding the buckets.
const (
	figureAgents  = 3
	figureCallers = 1500
	figureTime    = 10 * time.Second
)

func TestFiguresClaims(t *testing.T) {
	if os.Getenv("SKYLARKSTAND_MEASURE") != "1" {
		t.Skip("set SKYLARKSTAND_MEASURE=1 to measure")
	}
	st := fakestore.New(fakestore.WithFaults(fakestore.Faults{Latency: 5 * time.Millisecond, WritesPerSecond: 100}))
	var tables []*claim.Table
	for range figureAgents {
		tbl, cleanup := claim.New(core.NewDeps(), st)
		defer cleanup()
		tables = append(tables, tbl)
	}
	var callers sync.WaitGroup
	var mu sync.Mutex
	var took []time.Duration
	refused := 0
	began := time.Now()
	for ca := range figureCallers {
		callers.Go(func() {
			for no := 0; time.Since(began) < figureTime; no++ {
				d, err := operation(tables, fmt.Sprintf("%d-%d", ca, no))
				mu.Lock()
				if err != nil {
					refused++
				} else {
					took = append(took, d)
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	lasted := time.Since(began).Seconds()
	counts := st.Counts()
	time.Sleep(time.Second)
	idle := st.Counts()
	assert.Assert(t, len(took) > 0)
	slices.Sort(took)
	done := float64(len(took))
	figure.AtLeast("at-most-once-calls-per-second", done/lasted, "1/s", 2000)
	figure.AtMost("store-calls-per-at-most-once-call", float64(counts.Reads+counts.Writes)/done, "calls", 0.05)
	figure.Unbounded("at-most-once-added-p50", took[len(took)/2].Seconds()*1000, "ms")
	figure.Unbounded("at-most-once-added-p99", took[len(took)*99/100].Seconds()*1000, "ms")
	figure.Unbounded("at-most-once-refused", float64(refused)/(done+float64(refused)), "share")
	figure.Unbounded("claim-store-calls-per-second-idle", float64(idle.Reads+idle.Writes-counts.Reads-counts.Writes), "1/s")
}

func operation(tables []*claim.Table, key string) (time.Duration, error) {
	req := request(key, core.AttemptID(core.NewID()))
	req.Digest = "0123456789abcdef0123456789abcdef"
	tbl := tables[req.Key.Bucket()%len(tables)]
	began := time.Now()
	out, err := tbl.Claim(context.Background(), req)
	if err != nil {
		return 0, err
	}
	if out.State != claim.Owned {
		return 0, claim.ErrNotOwner
	}
	err = tbl.Finish(context.Background(), req, claim.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 100)})
	return time.Since(began), err
}
