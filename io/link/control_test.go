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

// peer is the far end of a link that tells of a generation, and counts how
// often it is asked for it.
type peer struct {
	conn  net.Conn
	asked atomic.Int64
}

func newPeer(t *testing.T, inf *declaration.InForce, gen uint64) *peer {
	near, far := net.Pipe()
	pe := &peer{conn: far}
	go func() { _ = link.NewControl(core.NewDeps(), inf, near, link.Handlers{}).Serve(t.Context()) }()
	go func() {
		rd := frame.NewReader(far)
		for {
			fr, err := rd.Read()
			if err != nil {
				return
			}
			if fr.GetWant() != nil {
				pe.asked.Add(1)
			}
		}
	}()
	err := frame.NewWriter(far).Write(&frame.Frame{Body: &frame.Frame_Notice{Notice: &frame.Notice{Generation: gen}}})
	assert.NilError(t, err)
	return pe
}

// A process hears of a new configuration from two peers and asks the first one
// for it. That one goes without an answer. Were the second one not asked then,
// the process would work by the old configuration until the next change, and an
// operator would see a withdrawn version serve on.
func TestSecondPeerIsAskedWhenTheFirstGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inf := declaration.NewInForce()
		first := newPeer(t, inf, 5)
		synctest.Wait()
		second := newPeer(t, inf, 5)
		synctest.Wait()
		assert.Equal(t, first.asked.Load(), int64(1))
		assert.Equal(t, second.asked.Load(), int64(0))
		first.conn.Close()
		time.Sleep(2 * declaration.AskAgain)
		synctest.Wait()
		assert.Assert(t, second.asked.Load() >= 1)
		second.conn.Close()
		synctest.Wait()
	})
}
