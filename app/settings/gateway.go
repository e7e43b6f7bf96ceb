package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"skylarkstand/core"
	"skylarkstand/core/mechanism"
)

// Gateway holds the settings of a gateway, an entry that calls upstreams without agents.
type Gateway struct {
	// Listen is the address for callers, as IP:port.
	Listen string `json:"listen"`
	// Readiness is the address of the readiness probe of the balancer, as IP:port, and ReadinessPath
	// is its URL path.
	Readiness     string `json:"readiness"`
	ReadinessPath string `json:"readiness-path"`
	// Siblings is the address for other gateways, as IP:port.
	Siblings string `json:"siblings"`
	// Seeds are the addresses of up to a few gateways that a starting one gets its first copy of the store
	// from, as IP:port, and SeedListen is the address at which this gateway serves as one. Without seeds,
	// a starting gateway lists the store itself.
	Seeds      []string `json:"seeds,omitempty"`
	SeedListen string   `json:"seed-listen,omitempty"`
	// Admin is the address of the metrics for collectors, as IP:port.
	Admin string `json:"admin,omitempty"`
	// Zone is the availability zone that the process runs in.
	Zone core.Zone `json:"zone"`
	// Regions maps each availability zone to its region.
	Regions map[core.Zone]core.Region `json:"regions"`
	// Store is the address of the platform's key-value service, as IP:port.
	Store string `json:"store"`
	// SessionGap is how long after its last request a session counts as active.
	SessionGap Duration `json:"session-gap,omitempty"`
	// Exposure is the share of a service's requests that a bad version may receive during its
	// roll-out.
	Exposure float64 `json:"exposure,omitempty"`
	// ExposureSlack is the number of requests that a bad version may receive beyond that share, over
	// all gateways.
	ExposureSlack int `json:"exposure-slack,omitempty"`
	// RetryBudget bounds the retries and escalations at a service, that is, the arrivals beyond the
	// first of each request.
	RetryBudget RetryBudget `json:"repeats"`
	// WarmUp bounds the requests per second to a cold upstream, over all gateways.
	WarmUp WarmUp `json:"warm-up"`
	// DrainLimit is the time from the termination signal until the process must have exited.
	DrainLimit Duration `json:"drain-limit,omitempty"`
	// Memory bounds the memory of the process, in MB; 0 sets no bound.
	Memory int64 `json:"memory,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log-level,omitempty"`
	// DisabledMechanisms names mechanisms to disable, to measure their benefit.
	DisabledMechanisms []string `json:"without,omitempty"`
}

// RetryBudget is the retry budget in a sliding window, over all gateways.
type RetryBudget struct {
	// Window is the length of the sliding window.
	Window Duration `json:"window,omitempty"`
	// Ratio is the number of retries allowed per request.
	Ratio float64 `json:"ratio,omitempty"`
	// Slack is the number of additional retries allowed for all gateways together.
	Slack float64 `json:"slack,omitempty"`
}

// WarmUp is the limit on the request rate to a cold upstream, relative to the rate that its service
// declares.
type WarmUp struct {
	// Overshoot is the factor applied to the declared rate, and Slack the number of additional
	// requests allowed.
	Overshoot float64 `json:"overshoot,omitempty"`
	Slack     float64 `json:"slack,omitempty"`
}

// DefaultGateway returns the default settings of a gateway, which the settings file overrides.
func DefaultGateway() Gateway {
	return Gateway{
		ReadinessPath: "/readyz", SessionGap: Duration(5 * time.Second), Exposure: 0.1,
		RetryBudget: RetryBudget{Window: Duration(10 * time.Second), Ratio: 0.5, Slack: 20},
		WarmUp:      WarmUp{Overshoot: 1}, DrainLimit: Duration(30 * time.Second), LogLevel: "info",
	}
}

// LoadGateway reads and validates a gateway's settings. All faults are returned at once. Unlike for
// the other roles, it decodes without a JSON schema: compiling one takes as much processor time as
// the rest of a gateway's start.
func LoadGateway(path string) (Gateway, error) {
	set := DefaultGateway()
	raw, err := os.ReadFile(path)
	if err != nil {
		return set, eris.Wrap(err, "the settings could not be read")
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return set, eris.Wrapf(err, "settings %s are not JSON with comments", path)
	}
	var fa Faults
	fa.unknownField(std, &set)
	if err := json.Unmarshal(std, &set); err != nil {
		fa = append(fa, err.Error())
	}
	fa.checkGateway(set)
	return set, fa.err(path)
}

// unknownField reports the first unknown field: a misspelt one would silently leave the default in
// force.
func (fa *Faults) unknownField(std []byte, set any) {
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(set); err != nil {
		*fa = append(*fa, err.Error())
	}
}

func (fa *Faults) checkGateway(set Gateway) {
	fa.address("listen", set.Listen)
	fa.address("readiness", set.Readiness)
	fa.address("siblings", set.Siblings)
	fa.address("store", set.Store)
	for _, addr := range set.Seeds {
		fa.address("seeds", addr)
	}
	if set.SeedListen != "" {
		fa.address("seed-listen", set.SeedListen)
	}
	if set.Admin != "" {
		fa.address("admin", set.Admin)
	}
	fa.required("zone", string(set.Zone))
	if set.Regions[set.Zone] == "" {
		fa.add("regions", "does not name the region of zone %q; add it", set.Zone)
	}
	fa.positive("session-gap", set.SessionGap, "sessions would switch between versions")
	if set.Exposure <= 0 || set.Exposure > 1 {
		fa.add("exposure", "%g is not a share of all requests; give more than 0 and at most 1", set.Exposure)
	}
	if set.ExposureSlack < 0 {
		fa.add("exposure-slack", "%d must not be below 0", set.ExposureSlack)
	}
	fa.positive("repeats.window", set.RetryBudget.Window, "retries would have no bound")
	if set.RetryBudget.Ratio < 0 || set.RetryBudget.Slack < 0 {
		fa.add("repeats", "ratio %g and slack %g must not be below 0", set.RetryBudget.Ratio, set.RetryBudget.Slack)
	}
	if set.WarmUp.Overshoot < 0 || set.WarmUp.Slack < 0 {
		fa.add("warm-up", "overshoot %g and slack %g must not be below 0", set.WarmUp.Overshoot, set.WarmUp.Slack)
	}
	fa.positive("drain-limit", set.DrainLimit, "a graceful shutdown would cut off requests")
	fa.atLeast("memory", set.Memory, 0, "a bound cannot be negative")
	fa.logLevel(set.LogLevel)
	if _, err := mechanism.Parse(set.DisabledMechanisms); err != nil {
		fa.add("without", "%s", err)
	}
}

// Changed lists the fields that differ between two settings, for the log line of a reload.
func (set Gateway) Changed(next Gateway) []string {
	var out []string
	old, updated := jsonFields(set), jsonFields(next)
	for name, val := range updated {
		if !bytes.Equal(old[name], val) {
			out = append(out, fmt.Sprintf("%s: %s to %s", name, old[name], val))
		}
	}
	return out
}

func jsonFields(set Gateway) map[string]json.RawMessage {
	var out map[string]json.RawMessage
	if raw, err := json.Marshal(set); err == nil {
		_ = json.Unmarshal(raw, &out) // The output of Marshal always decodes.
	}
	return out
}
