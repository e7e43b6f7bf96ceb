package sibling

import (
	"encoding/binary"
	"math"

	"skylarkstand/core/balance"
)

func appendBudgets(data []byte, budgets []balance.RetryBudget) []byte {
	for _, bu := range budgets {
		data = binary.BigEndian.AppendUint64(data, bu.Service)
		left := int16(math.Floor(min(max(bu.Left, math.MinInt16), math.MaxInt16)))
		data = binary.BigEndian.AppendUint16(data, uint16(left)) //nolint:gosec // Two's complement, as decodeBudgets reads it.
	}
	return data
}

func decodeBudgets(data []byte) []balance.RetryBudget {
	var out []balance.RetryBudget
	for row := data; len(row) > 0; row = row[budgetSize:] {
		left := int16(binary.BigEndian.Uint16(row[8:])) //nolint:gosec // As above.
		out = append(out, balance.RetryBudget{Service: binary.BigEndian.Uint64(row), Left: float64(left)})
	}
	return out
}
