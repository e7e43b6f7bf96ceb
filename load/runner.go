package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"skylarkstand/core"
)

// Runner sends the requests of a mix and collects their results.
type Runner struct {
	mix      Mix
	snd      sender
	progress io.Writer

	mu       sync.Mutex
	pins     map[sessionKey]string
	rep      *Report
	inFlight int
}

// sender sends a call once. It is the HTTP client, or a fake in tests.
type sender interface {
	send(ctx context.Context, ca *call, remaining time.Duration) Attempt
}

type sessionKey struct{ kind, session int }

// Option configures a runner.
type Option func(*Runner)

// WithProgress writes a progress line to wr each second during a run.
func WithProgress(wr io.Writer) Option { return func(ru *Runner) { ru.progress = wr } }

// New returns a runner for a mix.
func New(mix Mix, opts ...Option) *Runner {
	ru := &Runner{mix: mix, snd: newClient(), pins: map[sessionKey]string{}, rep: newReport(mix)}
	for _, opt := range opts {
		opt(ru)
	}
	return ru
}

// Run sends the requests of the mix until its end, or until the context ends, and returns the
// results of the requests that were due.
func (ru *Runner) Run(ctx context.Context) *Report {
	var wg sync.WaitGroup
	defer ru.showProgress()()
	began := time.Now()
	n := 0
	for ar := range ru.mix.Arrivals() {
		if !sleep(ctx, time.Until(began.Add(ar.Due))) {
			break
		}
		if !ru.acquireSlot() {
			ru.record(Result{Arrival: ar, Outcome: Unsent})
			continue
		}
		ca := newCall(&ru.mix.Requests[ar.Kind], ru.mix.Entries[n%len(ru.mix.Entries)], core.NewID())
		n++
		wg.Go(func() {
			defer ru.releaseSlot()
			ru.record(ru.sendUntilDone(ctx, ca, ar, began.Add(ar.Due)))
		})
	}
	wg.Wait()
	ru.rep.Elapsed = time.Since(began)
	return ru.rep
}

// acquireSlot reports whether one more request may be in flight, and counts it.
func (ru *Runner) acquireSlot() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.inFlight >= ru.mix.MaxInFlight {
		return false
	}
	ru.inFlight++
	return true
}

func (ru *Runner) releaseSlot() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.inFlight--
}

func (ru *Runner) record(re Result) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.rep.add(re)
}

// sendUntilDone sends a request, with retries, until its outcome is final or its deadline has
// passed.
func (ru *Runner) sendUntilDone(ctx context.Context, ca *call, ar Arrival, due time.Time) Result {
	limit := time.Duration(ca.kind.Deadline)
	ctx, cancel := context.WithDeadline(ctx, due.Add(limit))
	defer cancel()
	key := sessionKey{ar.Kind, ar.Session}
	if ar.Session > 0 {
		ca.session = fmt.Sprintf("load-%d-%d", ar.Kind, ar.Session)
	}
	re := Result{Arrival: ar}
	for {
		ca.pin = ru.pin(key)
		sent := time.Since(due)
		at := ru.snd.send(ctx, ca, limit-sent)
		re.Attempts++
		re.Outcome, re.Code, re.Version = at.Outcome, at.Code, at.Version
		ru.storePin(key, at.Pin)
		wait, retry := RetryDelay(at, re.Attempts, ru.mix.Retries, time.Until(due.Add(limit)), rand.Float64())
		if !retry || !sleep(ctx, wait) {
			re.FirstByte, re.Total = sent+at.FirstByte, time.Since(due)
			return re
		}
	}
}

func (ru *Runner) pin(key sessionKey) string {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.pins[key]
}

func (ru *Runner) storePin(key sessionKey, pin string) {
	if key.session == 0 || pin == "" {
		return
	}
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.pins[key] = pin
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// showProgress writes a progress line each second until the returned function is called.
func (ru *Runner) showProgress() func() {
	if ru.progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-done:
				fmt.Fprintln(ru.progress)
				return
			case <-tick.C:
				ru.mu.Lock()
				fmt.Fprintf(ru.progress, "\r%d done, %d in flight, %d whole   ", len(ru.rep.Results), ru.inFlight, ru.rep.Count(Complete))
				ru.mu.Unlock()
			}
		}
	}()
	return func() { close(done) }
}
