package front

import (
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkstand/core"
)

// A request that may have run is refused with a status that promises the contrary: its caller would send it again.
func TestStatusPromisesNotRunOnlyIfThatIsTrue(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	codes := []core.Code{core.CodeUpstream, core.CodeOutcomeLost, core.CodeCrashed, core.CodeCallerGone, core.CodeOverloaded, core.CodeNoUpstream,
		core.CodeLeaving, core.CodeSuspected, core.CodeDeadline, core.CodeNoConfig, core.CodeStaleConfig, core.CodeInternalError, "unknown"}
	for code := range refusals {
		codes = append(codes, code)
	}
	for _, code := range codes {
		for _, ran := range []core.Ran{core.RanUnknown, core.RanFailed, ""} {
			st := status(&core.Failure{Code: code, Ran: ran})
			assert.Check(t, !slices.Contains(promises, st), "%s, %q: %d", code, ran, st)
		}
	}
	assert.Equal(t, status(core.Refuse(core.CodeOverloaded, 0, "")), http.StatusServiceUnavailable)
}
