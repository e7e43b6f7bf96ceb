package app

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/order"
	"skylarkstand/io/frame"
	"skylarkstand/io/hosts"
	"skylarkstand/io/link"
)

type orderCmd struct {
	storeArgs
	Hosts    string          `arg:"--hosts,env:SKYLARKSTAND_HOSTS,required" help:"base URL of the platform's host list"`
	Upstream core.UpstreamID `arg:"positional,required" help:"the upstream's id in the host list"`
	Order    string          `arg:"positional,required" help:"the order as JSON, such as '{\"load\":\"desk@v2\"}'"`
}

// orderTimeout bounds the wait for an engine. Loading a version takes minutes, but an engine
// acknowledges the order immediately.
const orderTimeout = 30 * time.Second

func (cmd *orderCmd) run(ctx context.Context) error {
	if !json.Valid([]byte(cmd.Order)) {
		return &exitError{ExitUsage, eris.New(`the order is not valid JSON; write it as in '{"load":"desk@v2"}'`)}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	list, err := hosts.New(cmd.Hosts).List(ctx)
	if err != nil {
		return err
	}
	at := slices.IndexFunc(list, func(ho core.Host) bool { return ho.Role == core.RoleAgent && ho.ID == cmd.Upstream })
	if at < 0 {
		return &exitError{ExitUsage, eris.Errorf("the host list has no upstream %q", cmd.Upstream)}
	}
	fence, err := order.NewIssuer(cmd.open()).Next(ctx, cmd.Upstream)
	if err != nil {
		return eris.Wrap(err, "the order was not sent")
	}
	if err := sendOrder(ctx, list[at].Addr, &frame.Order{Fence: uint64(fence), Body: []byte(cmd.Order)}); err != nil {
		return err
	}
	fmt.Printf("order %d was taken by %s\n", fence, cmd.Upstream)
	return nil
}

// sendOrder sends an order to an agent and waits for its reply.
func sendOrder(ctx context.Context, addr string, or *frame.Order) error {
	ses, _, err := link.Dial(ctx, addr)
	if err != nil {
		return eris.Wrap(err, "the order was not sent: the agent is unreachable")
	}
	defer ses.Close()
	stop := context.AfterFunc(ctx, func() { ses.Close() })
	defer stop()
	st, err := ses.OpenStream()
	if err != nil {
		return eris.Wrap(err, "the order was not sent: the agent is unreachable")
	}
	if err := frame.NewWriter(st).Write(&frame.Frame{Body: &frame.Frame_Order{Order: or}}); err != nil {
		return &exitError{ExitOutcomeUnknown, eris.Wrap(err, "it is unknown whether the engine received the order")}
	}
	fr, err := frame.NewReader(st).Read()
	if err != nil || fr.GetOrderDone() == nil {
		return &exitError{ExitOutcomeUnknown, eris.New("it is unknown whether the engine received the order; send it again, a new fencing number supersedes this one")}
	}
	if msg := fr.GetOrderDone().Error; msg != "" {
		return eris.New(msg)
	}
	return nil
}
