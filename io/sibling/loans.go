package sibling

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/balance"
)

// A datagram that asks for a retry consists of a format byte, a number and the hash of the service; the
// reply that lends it, or refuses to, of a format byte and the same number.
const (
	askLoanFormat = 0x8f
	loanFormat    = 0x90
	noLoanFormat  = 0x91
	askLoanSize   = 1 + 8 + 8
	loanSize      = 1 + 8
	// loanWait is how long the answers may take within a region, and maxLenders how many entries are asked.
	loanWait   = 20 * time.Millisecond
	maxLenders = 3
	// reportTTL is how long a report of the retries left counts.
	reportTTL = 3 * time.Second
	// minReported is the least number of retries left for which an entry is asked.
	minReported = 1
)

// loans holds what is known of the other entries' retry budgets, and the loans that are asked for.
type loans struct {
	mu      sync.Mutex
	pc      net.PacketConn
	reports map[string]budgetReport
	asked   map[uint64]chan bool
}

// budgetReport is what an entry reported as left, by service.
type budgetReport struct {
	at   time.Time
	left map[uint64]float64
}

func (lo *loans) open(pc net.PacketConn) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	lo.pc, lo.reports, lo.asked = pc, map[string]budgetReport{}, map[uint64]chan bool{}
}

func (lo *loans) recordReport(now time.Time, addr string, budgets []balance.RetryBudget) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	re := budgetReport{now, map[uint64]float64{}}
	for _, bu := range budgets {
		re.left[bu.Service] = bu.Left
	}
	lo.reports[addr] = re
	maps.DeleteFunc(lo.reports, func(_ string, re budgetReport) bool { return now.Sub(re.at) > reportTTL })
}

// lender returns the address of the entry that has most left, and takes one off its report. It returns an
// empty address if none has enough.
func (lo *loans) lender(now time.Time, service uint64) string {
	best := ""
	for addr, re := range lo.reports {
		if left := re.left[service]; now.Sub(re.at) <= reportTTL && left >= minReported && (best == "" || left > lo.reports[best].left[service]) {
			best = addr
		}
	}
	if best != "" {
		lo.reports[best].left[service]--
	}
	return best
}

// ask registers a request for a loan, and returns the address to send it to. The address is empty if no entry
// has any left.
func (lo *loans) ask(now time.Time, service uint64) (number uint64, given chan bool, addr string) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if lo.pc == nil {
		return 0, nil, ""
	}
	if addr = lo.lender(now, service); addr != "" {
		number, given = rand.Uint64(), make(chan bool, 1)
		lo.asked[number] = given
	}
	return number, given, addr
}

// recordRefusal records that an entry has no retry left to lend, in spite of its report.
func (lo *loans) recordRefusal(addr string, service uint64) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if re, ok := lo.reports[addr]; ok {
		re.left[service] = 0
	}
}

func (lo *loans) end(number uint64) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	delete(lo.asked, number)
}

func (lo *loans) receive(number uint64, lent bool) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	select {
	case lo.asked[number] <- lent:
	default: // Nobody waits for it any more.
	}
}

// BorrowRetry asks some entries of the region, one after the other, for a retry at a service, and reports
// whether it was lent.
func (gs *Gossiper) BorrowRetry(sv core.ServiceID) bool {
	service := balance.Hash(sv)
	ti := time.NewTimer(gs.loanWait)
	defer ti.Stop()
	for range maxLenders {
		number, given, addr := gs.loans.ask(time.Now(), service)
		if addr == "" {
			return false
		}
		defer gs.loans.end(number)
		data := binary.BigEndian.AppendUint64([]byte{askLoanFormat}, number)
		sendDatagrams(gs.loans.pc, []string{addr}, binary.BigEndian.AppendUint64(data, service))
		select {
		case lent := <-given:
			if lent {
				return true
			}
			gs.loans.recordRefusal(addr, service)
		case <-ti.C:
			return false
		}
	}
	return false
}

// receiveLoan processes a datagram about loans. It returns false for any other datagram.
func (gs *Gossiper) receiveLoan(data []byte, addr string) bool {
	switch {
	case len(data) == askLoanSize && data[0] == askLoanFormat:
		format := byte(noLoanFormat)
		if gs.ld.LendRetry(binary.BigEndian.Uint64(data[9:])) {
			format = loanFormat
		}
		gs.reply(append([]byte{format}, data[1:9]...), addr)
	case len(data) == loanSize && (data[0] == loanFormat || data[0] == noLoanFormat):
		gs.loans.receive(binary.BigEndian.Uint64(data[1:]), data[0] == loanFormat)
	default:
		return false
	}
	return true
}
