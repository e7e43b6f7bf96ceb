package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"skylarkstand/io/limited"
)

// ErrRefused reports that the engine refused an order.
var ErrRefused = errors.New("engine: the order was refused")

// maxOrderAnswer is the maximum size of an answer to an order in bytes.
const maxOrderAnswer = 1 << 20

// Order sends an order with its fencing number to the engine, as {"fence": 7, "order": …}.
func (eng *Engine) Order(ctx context.Context, fence uint64, body []byte) error {
	raw, err := json.Marshal(struct {
		Fence uint64          `json:"fence"`
		Order json.RawMessage `json:"order"`
	}{fence, body})
	if err != nil {
		return eris.Wrap(err, "order")
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, eng.url+"/orders", bytes.NewReader(raw))
	if err != nil {
		return eris.Wrap(err, "order")
	}
	rs, err := eng.cli.Do(rq)
	if err != nil {
		return eris.Wrap(err, "order")
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrRefused, "the engine answered %s", rs.Status)
	}
	if _, err := limited.ReadAll(rs.Body, maxOrderAnswer); err != nil {
		return eris.Wrap(err, "order")
	}
	return nil
}
