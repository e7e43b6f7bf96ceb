package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// keysConfig returns the tenants and routes of the case keys.
func keysConfig(keys ...string) (tenants, routes []object) {
	if keys == nil {
		keys = []string{}
	}
	return []object{{"name": "hule930", "api_keys": keys, "priority": 1}}, []object{{
		"name": "r-book", "host": host, "prefix": "/book/", "route_type": "unsafe", "timeout_ms": 6000, "target_latency_ms": 400,
		"priority": 2, "service": "desk", "max_attempts": 1, "public": false,
	}}
}

// playKeys takes both keys of the only tenant away. From config_apply_ms on no request may run: neither one
// with a key that was dropped, nor one with a key that no configuration ever held.
func playKeys(wo *world, trouble bool) error {
	const first, second, unknown = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk", "zzzzzzzzzzzzzzzzzzzz"
	var runs atomic.Int64
	work := func(ru *runner, w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		time.Sleep(60 * time.Millisecond)
		_, _ = fmt.Fprint(w, "booked by ", ru.id)
	}
	tenants, routes := keysConfig(first, second)
	wo.configure(7, tenants, routes, "desk")
	for i, zone := range []string{"muc-a", "nue-a", "muc-b"} {
		if err := wo.startRunner(&runner{id: fmt.Sprint("i-desk-", i+1), service: "desk", version: "1", zone: zone, work: work}); err != nil {
			return err
		}
	}
	if err := wo.startGateways("muc-a", "muc-a", "nue-a", "muc-b"); err != nil {
		return err
	}
	seq := 0
	// send sends one request with each key to each gateway, and returns the statuses by key.
	send := func(keys ...string) map[string][]int {
		out := map[string][]int{}
		for _, gw := range wo.gws {
			for _, key := range keys {
				seq++
				an := wo.send(gw, request{id: fmt.Sprintf("a%04d", seq), path: "/book/2f", key: key, deadline: 6 * time.Second})
				out[key] = append(out[key], an.status)
			}
		}
		return out
	}
	before := send(first, second, unknown)
	wo.logf("before: %v", before)
	if fmt.Sprint(before[first], before[second]) != "[200 200 200 200] [200 200 200 200]" || runs.Load() != int64(2*len(wo.gws)) {
		return fmt.Errorf("the deployment does not serve its keys alone: %v", before)
	}
	// The operator takes both keys away, 1.5 s apart; without trouble, other routes change instead.
	left := [][]string{{second}, nil}
	if !trouble {
		left = [][]string{{first, second}, {first, second}}
	}
	for i, keys := range left {
		tenants, routes := keysConfig(keys...)
		routes[0]["target_latency_ms"] = 400 + i
		wo.configure(11+4*i, tenants, routes, "desk")
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(configApplyTime)
	runs.Store(0)
	after := send(first, second, unknown)
	wo.logf("from %s after the acknowledgement on: %v, %d runs", configApplyTime+1500*time.Millisecond, after, runs.Load())
	ran := runs.Load()
	if !trouble {
		if ran != int64(2*len(wo.gws)) {
			return fmt.Errorf("%d requests ran, not those with a key: %v", ran, after)
		}
		return nil
	}
	if ran > 0 {
		wo.logf("CONFIG, ROUTE: %d requests ran with a key that was dropped, or that no configuration ever held; the runners' record above shows their tenant as %s",
			ran, strings.Repeat(`"`, 2))
		return errBroken
	}
	return nil
}
