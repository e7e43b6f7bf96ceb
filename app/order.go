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

// orderLimit bounds the wait for an engine; loading a version takes minutes,
// but an engine takes the order for it at once.
const orderLimit = 30 * time.Second

func (cmd *orderCmd) run(ctx context.Context) error {
	if !json.Valid([]byte(cmd.Order)) {
		return &exitError{ExitUsage, eris.New("the order is not JSON")}
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
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
		return eris.Wrap(err, "nothing was ordered")
	}
	if err := sendOrder(ctx, list[at].Addr, &frame.Order{Fence: uint64(fence), Body: []byte(cmd.Order)}); err != nil {
		return err
	}
	fmt.Printf("order %d was taken by %s\n", fence, cmd.Upstream)
	return nil
}

// sendOrder hands an order to an agent and waits for its word.
func sendOrder(ctx context.Context, addr string, or *frame.Order) error {
	ses, _, err := link.Dial(ctx, addr)
	if err != nil {
		return eris.Wrap(err, "nothing was ordered: the agent cannot be reached")
	}
	defer ses.Close()
	stop := context.AfterFunc(ctx, func() { ses.Close() })
	defer stop()
	st, err := ses.OpenStream()
	if err != nil {
		return eris.Wrap(err, "nothing was ordered: the agent cannot be reached")
	}
	if err := frame.NewWriter(st).Write(&frame.Frame{Body: &frame.Frame_Order{Order: or}}); err != nil {
		return &exitError{ExitUncertain, eris.Wrap(err, "it is not known whether the engine took the order")}
	}
	fr, err := frame.NewReader(st).Read()
	if err != nil || fr.GetOrderDone() == nil {
		return &exitError{ExitUncertain, eris.New("it is not known whether the engine took the order; give it again, a new number replaces it")}
	}
	if msg := fr.GetOrderDone().Error; msg != "" {
		return eris.New(msg)
	}
	return nil
}
