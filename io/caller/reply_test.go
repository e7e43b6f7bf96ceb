package caller

import (
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

// A request is refused after an attempt of it may have run: its caller was told 503, and sent it again.
func TestStatusPromisesNotRunOnlyIfThatIsTrue(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	codes := []core.Code{core.CodeUpstream, core.CodeOutcomeLost, core.CodeCrashed, core.CodeCallerGone, "unknown"}
	for code := range statuses {
		codes = append(codes, code)
	}
	for _, code := range codes {
		for _, ran := range []core.Ran{core.RanUnknown, core.RanFailed, ""} {
			st := status(&core.Failure{Code: code, Ran: ran})
			assert.Check(t, !slices.Contains(promises, st), "%s, %q: %d", code, ran, st)
		}
	}
	assert.Equal(t, status(core.Refuse(core.CodeOverloaded, 0, "")), http.StatusServiceUnavailable)
	assert.Equal(t, status(&core.Failure{Code: core.CodeDeadline, Ran: core.RanUnknown}), http.StatusGatewayTimeout)
}
