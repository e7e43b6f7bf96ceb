package core

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Tokens counts model tokens, of the prompt or generated.
type Tokens int64

// maxTokens bounds the tokens of one answer.
const maxTokens = 1 << 30

// TokensWithin converts a number of a peer to the tokens of one answer.
func TokensWithin(n int64) Tokens { return Tokens(min(max(n, 0), maxTokens)) }

// Millicents is an amount of money: a thousandth of a cent.
type Millicents int64

// Rate is a number of requests a second.
type Rate float64

// ParseRate parses a decimal number of requests a second, as in a header. It returns false for
// anything else, including a negative number.
func ParseRate(val string) (Rate, bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(val), 64)
	if err != nil || !(n >= 0) || math.IsInf(n, 0) {
		return 0, false
	}
	return Rate(min(n, maxRate)), true
}

// maxRate bounds the rate that ParseRate returns, in requests a second.
const maxRate = 1e9

// MaxSlots bounds the slots that an upstream may have, and the requests that it may report.
const MaxSlots = 1 << 20

// DurationWithin converts a number of units to a duration from 0 to a limit; NaN is 0.
func DurationWithin(n float64, unit, limit time.Duration) time.Duration {
	if !(n > 0) {
		return 0
	}
	return time.Duration(min(n*float64(unit), float64(limit)))
}

// MaxRetryAfter bounds the Retry-After of a peer.
const MaxRetryAfter = time.Hour

// ParseRetryAfter parses a decimal number of seconds, as in a Retry-After header. It returns 0 for
// anything else, including a date, since the clocks of hosts differ.
func ParseRetryAfter(val string) time.Duration {
	n, err := strconv.ParseFloat(strings.TrimSpace(val), 64)
	if err != nil || !(n > 0) {
		return 0
	}
	return time.Duration(min(n, MaxRetryAfter.Seconds()) * float64(time.Second))
}

// Quality is the fraction of answers that are good enough, from 0 to 1, as rated by the rating
// service.
type Quality float64
