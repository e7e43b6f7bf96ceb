package entry

import (
	"context"

	"skylarkstand/core/event"
	"skylarkstand/core/order"
	"skylarkstand/io/frame"
)

// handleOrder forwards an order to the engine if its fencing number is the newest. This also
// protects engines that ignore fencing numbers.
func (srv *Server) handleOrder(ctx context.Context, wr *frame.Writer, or *frame.Order) {
	done := &frame.OrderDone{}
	err := srv.gate.Pass(ctx, order.FencingNumber(or.Fence), func(ctx context.Context) error {
		return srv.ex.Order(ctx, or.Fence, or.Body)
	})
	if err != nil {
		done.Error = err.Error()
		event.Log(srv.deps.Log, event.OrderRefused, "fence", or.Fence, "error", err)
	} else {
		event.Log(srv.deps.Log, event.OrderPassed, "fence", or.Fence)
	}
	_ = wr.Write(&frame.Frame{Body: &frame.Frame_OrderDone{OrderDone: done}})
}
