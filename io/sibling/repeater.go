package sibling

import "slices"

// repeater returns items in several gossip rounds, since datagrams may be lost.
type repeater[T any] struct {
	// rounds is the number of rounds of each item.
	rounds  int
	batches []repeatedBatch[T]
}

type repeatedBatch[T any] struct {
	items      []T
	roundsLeft int
}

// next adds items and returns all that are due in this round.
func (re *repeater[T]) next(items []T) []T {
	if len(items) > 0 {
		re.batches = append(re.batches, repeatedBatch[T]{items, re.rounds})
	}
	var out []T
	for i := range re.batches {
		out = append(out, re.batches[i].items...)
		re.batches[i].roundsLeft--
	}
	re.batches = slices.DeleteFunc(re.batches, func(ba repeatedBatch[T]) bool { return ba.roundsLeft == 0 })
	return out
}
