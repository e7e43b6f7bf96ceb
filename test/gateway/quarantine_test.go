package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/standin/upstream"
	"skylarkstand/test/fleet"
)

const (
	poison = "poison"
	// poisonousPart is a part of a prompt that ends the upstream that begins to write an answer on it.
	poisonousPart = "bad:40"
	// relistDelay is the time from a crash to the start of the next incarnation.
	relistDelay = 500 * time.Millisecond
)

// crashingUpstreams are upstreams of a service that end when they run a poisonous request.
type crashingUpstreams struct {
	fx              *fixture
	service         string
	starts, crashes atomic.Int64
}

// start starts an upstream and adds it to the list in the store.
func (cu *crashingUpstreams) start() {
	fx, id := cu.fx, fmt.Sprint("i-crashing-", cu.starts.Add(1))
	up := upstream.New(id, cu.service, "v1")
	up.SetUnframed()
	srv := new(httptest.Server)
	crash := func() {
		cu.crashes.Add(1)
		srv.Listener.Close()
		srv.CloseClientConnections()
		time.Sleep(relistDelay)
		fx.st.Remove("servers/" + id)
		cu.start()
	}
	*srv = *httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		body, err := io.ReadAll(rq.Body)
		if err != nil {
			return
		}
		if string(body) == poison {
			go crash()
			<-rq.Context().Done()
			return
		}
		if strings.Contains(rq.Header.Get("X-Skylarkstand-Prefix-Hash"), poisonousPart) {
			up.SetCut(upstream.Cut{After: int(cu.starts.Load()) * 3 % 20})
			go crash()
		}
		rq.Body = io.NopCloser(bytes.NewReader(body))
		up.ServeHTTP(w, rq)
	}))
	srv.Start()
	fx.t.Cleanup(srv.Close)
	fx.st.Put("servers/"+id, up.HostEntry(strings.TrimPrefix(srv.URL, "http://"), "muc-a", "ready"))
}

// replace takes the upstreams of a fixture's service off the list, in favor of crashing ones.
func (cu *crashingUpstreams) replace(ups []*upstream.Upstream, count int) {
	for range count {
		cu.start()
	}
	for _, up := range ups {
		up.SetMode(upstream.Overloaded) // Gateways use it for a while after its removal.
		cu.fx.st.Remove("servers/" + up.ID())
	}
}

// isQuarantined reports whether a gateway refuses the poisonous request as such.
func (fx *fixture) isQuarantined(gateway int) bool {
	rs := fx.send(request{gateway: gateway, path: "/lookup/1", body: poison})
	return rs.status == http.StatusServiceUnavailable && strings.Contains(rs.body, "quarantined") && rs.header.Get("Retry-After") != ""
}

// A request ends each upstream that runs it, and its caller sends it to one gateway after the other. All
// gateways must refuse it soon, also one that has started since, and serve the requests beside it.
func TestGatewaysQuarantineARequestThatCrashesUpstreams(t *testing.T) {
	fx := newFixture(t, 3)
	cu := &crashingUpstreams{fx: fx, service: "desk"}
	cu.replace(fx.desks, 4)
	for gw := range fx.gws {
		fx.waitFor("answers of the new upstreams", func() bool {
			rs := fx.send(request{gateway: gw, path: "/lookup/1", body: "good"})
			return rs.status == http.StatusOK && strings.HasPrefix(rs.body, "i-crashing")
		})
	}
	for gw := range fx.gws {
		fx.waitFor("the quarantine", func() bool { return fx.isQuarantined(gw) })
	}
	crashes := cu.crashes.Load()
	assert.Assert(t, crashes >= 3)
	for range 50 {
		for gw := range fx.gws {
			assert.Assert(t, fx.isQuarantined(gw))
		}
	}
	assert.Equal(t, cu.crashes.Load(), crashes)
	fx.waitFor("answers after the crashes", func() bool {
		return fx.send(request{path: "/lookup/1", body: "good"}).status == http.StatusOK
	})
	started, err := fx.fl.StartGateway("gateway-new", fx.store, fleet.Location{Zone: "muc-a", Region: "muc"}, nil)
	assert.NilError(t, err)
	fx.gws = append(fx.gws, started)
	fx.waitFor("the quarantine at a gateway that has just started", func() bool { return fx.isQuarantined(3) })
}

// Requests of which no two are alike share a part of their prompts, which ends each upstream that begins to
// write an answer. All gateways must refuse them soon, also one that has started since, and serve those that
// share their key and their other parts.
func TestGatewaysQuarantineAPartThatCrashesUpstreams(t *testing.T) {
	fx := newFixture(t, 3)
	cu := &crashingUpstreams{fx: fx, service: "lm"}
	cu.replace(fx.lms, 6)
	n := 0
	prompt := func(gateway int, parts string) response {
		n++
		return fx.send(request{gateway: gateway, path: "/draft/1", model: "*", body: fmt.Sprint("prompt ", n), parts: fmt.Sprintf("%s,%x:10", parts, n)})
	}
	serves := func(gateway int) bool {
		rs := prompt(gateway, "aa:80,cc:20")
		return rs.err == nil && rs.status == http.StatusOK && rs.body == wholeStream()
	}
	refuses := func(gateway int) bool {
		rs := prompt(gateway, "aa:80,"+poisonousPart)
		return rs.status == http.StatusServiceUnavailable && strings.Contains(rs.body, "quarantined") && rs.header.Get("Retry-After") != ""
	}
	for gw := range fx.gws {
		fx.waitFor("answers of the new upstreams", func() bool { return serves(gw) })
	}
	for gw := range fx.gws {
		fx.waitFor("the quarantine", func() bool { return refuses(gw) })
	}
	crashes := cu.crashes.Load()
	t.Logf("%d upstreams crashed", crashes)
	assert.Assert(t, crashes >= 3)
	started, err := fx.fl.StartGateway("gateway-new", fx.store, fleet.Location{Zone: "muc-a", Region: "muc"}, nil)
	assert.NilError(t, err)
	fx.gws = append(fx.gws, started)
	fx.waitFor("the quarantine at a gateway that has just started", func() bool { return refuses(3) })
	fx.waitFor("answers of all gateways after the crashes", func() bool { return serves(0) && serves(1) && serves(2) && serves(3) })
	for range 20 {
		for gw := range fx.gws {
			assert.Assert(t, refuses(gw))
			assert.Assert(t, serves(gw))
		}
	}
	assert.Equal(t, cu.crashes.Load(), crashes)
}
