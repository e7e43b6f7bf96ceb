package link_test

import (
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/io/frame"
	"skylarkstand/io/link"
)

// peer is the remote end of a link. It announces a generation and counts the requests for it.
type peer struct {
	conn      net.Conn
	requested atomic.Int64
}

func newPeer(t *testing.T, inf *declaration.InForce, gen uint64) *peer {
	local, remote := net.Pipe()
	pe := &peer{conn: remote}
	go func() { _ = link.NewControl(core.NewDeps(), inf, local, link.Handlers{}).Serve(t.Context()) }()
	go func() {
		rd := frame.NewReader(remote)
		for {
			fr, err := rd.Read()
			if err != nil {
				return
			}
			if fr.GetWant() != nil {
				pe.requested.Add(1)
			}
		}
	}()
	err := frame.NewWriter(remote).Write(&frame.Frame{Body: &frame.Frame_Notice{Notice: &frame.Notice{Generation: gen}}})
	assert.NilError(t, err)
	return pe
}

// Two peers announce a new configuration to a process, which requests it from the first. That peer
// disconnects without responding. If the process did not request it from the second peer then, it
// would keep the old configuration until the next change, and a withdrawn version would stay in
// service.
func TestSecondPeerIsRequestedWhenFirstDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inf := declaration.NewInForce()
		first := newPeer(t, inf, 5)
		synctest.Wait()
		second := newPeer(t, inf, 5)
		synctest.Wait()
		assert.Equal(t, first.requested.Load(), int64(1))
		assert.Equal(t, second.requested.Load(), int64(0))
		first.conn.Close()
		time.Sleep(2 * declaration.FetchRetryDelay)
		synctest.Wait()
		assert.Assert(t, second.requested.Load() >= 1)
		second.conn.Close()
		synctest.Wait()
	})
}
