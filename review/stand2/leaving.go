package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"skylarkstand/standin/kv"
)

const (
	// regionDelay is the time between two regions, one way.
	regionDelay = 30 * time.Millisecond
	// outage is how long the store is down, and contactTime is contact_ms: a store is stable that long after it.
	outage      = time.Second
	contactTime = 4 * time.Second
	// drainTime is drain_ms.
	drainTime = 3 * time.Second
)

// silentStore is a store that can fall silent: calls that arrive or wait meanwhile never get an answer.
type silentStore struct {
	kv     *kv.Store
	silent atomic.Bool

	mu    sync.Mutex
	lulls chan struct{}
}

// ServeHTTP implements http.Handler.
func (ss *silentStore) ServeHTTP(w http.ResponseWriter, rq *http.Request) {
	ss.mu.Lock()
	lull := ss.lulls
	ss.mu.Unlock()
	if ss.silent.Load() {
		<-rq.Context().Done()
		return
	}
	rec := &laterWriter{header: http.Header{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		ss.kv.ServeHTTP(rec, rq)
	}()
	select {
	case <-done:
	case <-lull:
		<-rq.Context().Done()
		return
	}
	for name, vals := range rec.header {
		w.Header()[name] = vals
	}
	if rec.status != 0 {
		w.WriteHeader(rec.status)
	}
	_, _ = w.Write(rec.body)
}

// fallSilent makes the store silent for a time.
func (ss *silentStore) fallSilent(du time.Duration) {
	ss.silent.Store(true)
	ss.mu.Lock()
	close(ss.lulls)
	ss.lulls = make(chan struct{})
	ss.mu.Unlock()
	time.Sleep(du)
	ss.silent.Store(false)
}

// laterWriter keeps a response.
type laterWriter struct {
	header http.Header
	status int
	body   []byte
}

func (lw *laterWriter) Header() http.Header { return lw.header }
func (lw *laterWriter) WriteHeader(st int)  { lw.status = st }
func (lw *laterWriter) Write(p []byte) (int, error) {
	lw.body = append(lw.body, p...)
	return len(p), nil
}

// delayed starts a proxy in front of an address that delays all bytes by regionDelay each way, and returns its address.
func delayed(target string) (string, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			in, err := li.Accept()
			if err != nil {
				return
			}
			go func() {
				out, err := net.Dial("tcp", target)
				if err != nil {
					in.Close()
					return
				}
				go delay(out, in)
				delay(in, out)
			}()
		}
	}()
	return li.Addr().String(), nil
}

// delay copies from one connection to another, later.
func delay(to, from net.Conn) {
	type chunk struct {
		at   time.Time
		data []byte
	}
	queue := make(chan chunk, 1024)
	go func() {
		defer to.Close()
		for ch := range queue {
			time.Sleep(time.Until(ch.at))
			if _, err := to.Write(ch.data); err != nil {
				return
			}
		}
	}()
	defer close(queue)
	for {
		buf := make([]byte, 32<<10)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{time.Now().Add(regionDelay), buf[:n]}
		}
		if err != nil {
			return
		}
	}
}

// leaving shows when a gateway in the region without the store stops using a runner whose entry is removed, some
// seconds after the store was down for one.
func leaving(folder string) (int, error) {
	rg, end, err := newRig(folder, memoryLimit)
	if err != nil {
		return cannot, err
	}
	defer end()
	ss := &silentStore{kv: rg.store, lulls: make(chan struct{})}
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return cannot, err
	}
	go func() { _ = http.Serve(li, ss) }()
	if rg.storeAddr, err = delayed(li.Addr().String()); err != nil {
		return cannot, err
	}
	rg.store.Put("op/config", configuration(1))
	for i := range 4 {
		if err := rg.addRunner(&runner{id: fmt.Sprint("i-lm-", i), service: "lm", version: "v1", work: 100 * time.Millisecond, events: 10, interval: 50 * time.Millisecond}, "kushiro-a"); err != nil {
			return cannot, err
		}
	}
	var orders []*runner
	for i := range 3 {
		ru := &runner{id: fmt.Sprint("i-orders-", i), service: "orders", version: "v1", work: 15 * time.Millisecond, quiet: true}
		if err := rg.addRunner(ru, "kushiro-a"); err != nil {
			return cannot, err
		}
		orders = append(orders, ru)
	}
	gw, err := rg.addGateway("edge-kushiro-a-1", "kushiro-a", nil)
	if err != nil {
		return cannot, err
	}
	if err := gw.awaitReady(); err != nil {
		return cannot, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 6 {
		callers.Go(func() { sendLookups(gw, stop) })
	}
	time.Sleep(2 * time.Second)
	late := 0
	for round := range 6 {
		late += leaveOnce(rg, ss, orders, round)
	}
	close(stop)
	callers.Wait()
	rg.note("requests that reached a runner later than %s after the store had acknowledged that it is gone: %d (none is allowed)", drainTime, late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// leaveOnce removes the entry of a runner, which goes on serving, and returns how many requests reached it too late.
func leaveOnce(rg *rig, ss *silentStore, orders []*runner, round int) int {
	// An entry changes just before the outage.
	rg.store.Put("servers/i-other-1", object{"service": "lm", "address": "127.0.0.1:9", "zone": "kushiro-a", "version": "v1", "slots": 64, "state": "draining", "sequence": 2 * round, "born": 1})
	time.Sleep(100 * time.Millisecond)
	if rg.trouble {
		rg.note("the store falls silent")
		ss.fallSilent(outage)
		rg.note("the store answers again")
	} else {
		time.Sleep(outage)
	}
	time.Sleep(contactTime + 300*time.Millisecond)
	// Two more entries change, and then the runner's own is removed: it never reported draining.
	for i := range 2 {
		rg.store.Put(fmt.Sprint("servers/i-other-", i+2), object{"service": "lm", "address": "127.0.0.1:9", "zone": "kushiro-a", "version": "v1", "slots": 64, "state": "draining", "sequence": 2*round + 1, "born": 1})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(60 * time.Millisecond)
	ru := orders[round%len(orders)]
	rg.store.Remove("servers/" + ru.id)
	acked := time.Now()
	rg.note("the store acknowledges that %s is gone", ru.id)
	time.Sleep(drainTime + 1500*time.Millisecond)
	late, last := ru.arrivalsAfter(acked.Add(drainTime))
	rg.note("%s: %d requests later than %s, the last one %.3f s after the acknowledgement", ru.id, late, drainTime, last.Sub(acked).Seconds())
	rg.list(ru, "kushiro-a", "ready")
	time.Sleep(1500 * time.Millisecond)
	return late
}

// sendLookups sends reads, one after the other on a kept connection.
func sendLookups(gw *gateway, stop <-chan struct{}) {
	cl := &client{rg: gw.rg, addr: gw.listen}
	defer cl.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		rq := request{id: gw.rg.nextID(), method: http.MethodGet, path: "/lookup/1", key: "key-usual", deadline: 2 * time.Second}
		if ans := cl.send(rq); ans.err != nil || ans.status != http.StatusOK {
			gw.rg.note("lookup %s: status %d, error %v", rq.id, ans.status, ans.err)
		}
	}
}
