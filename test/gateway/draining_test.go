package gateway_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// An upstream reports in its responses that it is draining, while the host list shows it as ready. A
// gateway may send it no request after its first response from there.
func TestUpstreamThatReportsDraining(t *testing.T) {
	fx := newFixture(t, 2)
	leaving := fx.desks[0]
	leaving.StartDraining()
	fx.waitFor("an answer of the draining upstream", func() bool {
		return fx.send(request{path: "/lookup/1"}).status == http.StatusOK && len(leaving.Arrivals()) > 0
	})
	fx.st.Put("servers/"+leaving.ID(), leaving.HostEntry(fx.addrs[leaving.ID()], "muc-a", "ready"))
	for range 100 {
		for gw := range fx.gws {
			assert.Equal(t, fx.send(request{gateway: gw, path: "/claim/1"}).status, http.StatusOK)
		}
	}
	assert.Assert(t, len(leaving.Arrivals()) <= len(fx.gws), "%d requests by %d gateways", len(leaving.Arrivals()), len(fx.gws))
}
