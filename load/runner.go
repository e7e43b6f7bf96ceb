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

// Runner drives a mix.
type Runner struct {
	mix      Mix
	snd      sender
	progress io.Writer

	mu       sync.Mutex
	pins     map[sessionKey]string
	rep      *Report
	inFlight int
}

// sender sends a call once. It is the HTTP client, but for tests.
type sender interface {
	try(ctx context.Context, ca *call, left time.Duration) Attempt
}

type sessionKey struct{ kind, session int }

// Option alters a runner.
type Option func(*Runner)

// WithProgress has a line written each second while the runner drives.
func WithProgress(wr io.Writer) Option { return func(ru *Runner) { ru.progress = wr } }

// New returns a runner of a mix.
func New(mix Mix, opts ...Option) *Runner {
	ru := &Runner{mix: mix, snd: newClient(), pins: map[sessionKey]string{}, rep: newReport(mix)}
	for _, opt := range opts {
		opt(ru)
	}
	return ru
}

// Run drives the mix to its end, or until the context ends, and returns what
// became of the requests that fell due.
func (ru *Runner) Run(ctx context.Context) *Report {
	var wg sync.WaitGroup
	defer ru.showProgress()()
	began := time.Now()
	n := 0
	for ar := range ru.mix.Arrivals() {
		if !sleep(ctx, time.Until(began.Add(ar.At))) {
			break
		}
		if !ru.enter() {
			ru.record(Result{Arrival: ar, Outcome: Unsent})
			continue
		}
		ca := newCall(&ru.mix.Requests[ar.Kind], ru.mix.Entries[n%len(ru.mix.Entries)], core.NewID())
		n++
		wg.Go(func() {
			defer ru.leave()
			ru.record(ru.follow(ctx, ca, ar, began.Add(ar.At)))
		})
	}
	wg.Wait()
	ru.rep.Took = time.Since(began)
	return ru.rep
}

func (ru *Runner) enter() bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.inFlight >= ru.mix.MaxInFlight {
		return false
	}
	ru.inFlight++
	return true
}

func (ru *Runner) leave() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.inFlight--
}

func (ru *Runner) record(re Result) {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.rep.add(re)
}

// follow sends a request until it is answered or given up.
func (ru *Runner) follow(ctx context.Context, ca *call, ar Arrival, due time.Time) Result {
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
		at := ru.snd.try(ctx, ca, limit-sent)
		re.Attempts++
		re.Outcome, re.Code, re.Version = at.Outcome, at.Code, at.Version
		ru.keepPin(key, at.Pin)
		wait, again := Again(at, re.Attempts, ru.mix.Retries, time.Until(due.Add(limit)), rand.Float64())
		if !again || !sleep(ctx, wait) {
			re.First, re.Total = sent+at.First, time.Since(due)
			return re
		}
	}
}

func (ru *Runner) pin(key sessionKey) string {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.pins[key]
}

func (ru *Runner) keepPin(key sessionKey, pin string) {
	if key.session == 0 || pin == "" {
		return
	}
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.pins[key] = pin
}

// sleep waits and reports false when the context ended first.
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

// showProgress writes a line a second until the returned function is called.
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
				fmt.Fprintf(ru.progress, "\r%d done, %d in flight, %d whole   ", len(ru.rep.Results), ru.inFlight, ru.rep.Count(Whole))
				ru.mu.Unlock()
			}
		}
	}()
	return func() { close(done) }
}
