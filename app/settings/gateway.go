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

// Gateway is the settings of a gateway, an entry that calls upstreams without
// agents.
type Gateway struct {
	// Listen is the address for callers, as IP:port.
	Listen string `json:"listen"`
	// Readiness is the address that the balancer asks, as IP:port, and
	// ReadinessPath what it asks for.
	Readiness     string `json:"readiness"`
	ReadinessPath string `json:"readiness-path"`
	// Siblings is the address for other gateways, as IP:port.
	Siblings string `json:"siblings"`
	// Admin is the address of the metrics for collectors, as IP:port.
	Admin string `json:"admin,omitempty"`
	// Zone is the availability zone that the process stands in.
	Zone core.Zone `json:"zone"`
	// Regions holds the region of each availability zone.
	Regions map[core.Zone]core.Region `json:"regions"`
	// Store is the address of the platform's key-value service, as IP:port.
	Store string `json:"store"`
	// SessionGap is how long after its last request a session counts as under
	// way.
	SessionGap Duration `json:"session-gap,omitempty"`
	// Exposure is the part of a service's requests that a bad version may get
	// in the time of its roll-out.
	Exposure float64 `json:"exposure,omitempty"`
	// Repeats bounds the arrivals at a service beyond the first of each
	// request.
	Repeats Repeats `json:"repeats"`
	// WarmUp bounds the requests in one second at a cold upstream, over all gateways.
	WarmUp WarmUp `json:"warm-up"`
	// DrainLimit is the time from the request to stop until the process must
	// be gone.
	DrainLimit Duration `json:"drain-limit,omitempty"`
	// Memory is what the process may use, in MB; 0 is no bound.
	Memory int64 `json:"memory,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log-level,omitempty"`
	// Without names mechanisms that are switched off, to see what they are worth.
	Without []string `json:"without,omitempty"`
}

// Repeats is a bound on repeats in a sliding window, over all gateways.
type Repeats struct {
	// Window is its length.
	Window Duration `json:"window,omitempty"`
	// Ratio is how many repeats a request allows.
	Ratio float64 `json:"ratio,omitempty"`
	// Slack is how many are allowed besides, of all gateways together.
	Slack float64 `json:"slack,omitempty"`
}

// WarmUp says by how much a cold upstream may be asked beyond the rate that its
// service declares.
type WarmUp struct {
	// Overshoot is the factor on the rate, and Slack how many requests are allowed
	// besides.
	Overshoot float64 `json:"overshoot,omitempty"`
	Slack     float64 `json:"slack,omitempty"`
}

// DefaultGateway returns a gateway's settings before the file is read.
func DefaultGateway() Gateway {
	return Gateway{
		ReadinessPath: "/readyz", SessionGap: Duration(5 * time.Second), Exposure: 0.1,
		Repeats: Repeats{Window: Duration(10 * time.Second), Ratio: 0.5, Slack: 20},
		WarmUp:  WarmUp{Overshoot: 1}, DrainLimit: Duration(30 * time.Second), LogLevel: "info",
	}
}

// LoadGateway reads and checks a gateway's settings. All faults are returned at
// once. It decodes without the schema that the other roles' settings are held
// against: compiling that takes as much processor time as the rest of a
// gateway's start.
func LoadGateway(path string) (Gateway, error) {
	set := DefaultGateway()
	raw, err := os.ReadFile(path)
	if err != nil {
		return set, eris.Wrap(err, "settings")
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return set, eris.Wrapf(err, "settings %s are not JSON with comments", path)
	}
	var fa Faults
	fa.unknown(std, &set)
	if err := json.Unmarshal(std, &set); err != nil {
		fa = append(fa, err.Error())
	}
	fa.gateway(set)
	return set, fa.err(path)
}

// unknown reports the first field that does not exist: a misspelt one would
// leave its default in force unnoticed.
func (fa *Faults) unknown(std []byte, set any) {
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(set); err != nil {
		*fa = append(*fa, err.Error())
	}
}

func (fa *Faults) gateway(set Gateway) {
	fa.address("listen", set.Listen)
	fa.address("readiness", set.Readiness)
	fa.address("siblings", set.Siblings)
	fa.address("store", set.Store)
	if set.Admin != "" {
		fa.address("admin", set.Admin)
	}
	fa.present("zone", string(set.Zone))
	if set.Regions[set.Zone] == "" {
		fa.add("regions", "does not name the region of zone %q; add it", set.Zone)
	}
	fa.some("session-gap", set.SessionGap, "sessions would change between versions")
	if set.Exposure <= 0 || set.Exposure > 1 {
		fa.add("exposure", "%g is not a part of all requests; give more than 0 and at most 1", set.Exposure)
	}
	fa.some("repeats.window", set.Repeats.Window, "the bound on repeats would be none")
	if set.Repeats.Ratio < 0 || set.Repeats.Slack < 0 {
		fa.add("repeats", "ratio %g and slack %g must not be below 0", set.Repeats.Ratio, set.Repeats.Slack)
	}
	if set.WarmUp.Overshoot < 0 || set.WarmUp.Slack < 0 {
		fa.add("warm-up", "overshoot %g and slack %g must not be below 0", set.WarmUp.Overshoot, set.WarmUp.Slack)
	}
	fa.some("drain-limit", set.DrainLimit, "a planned stop would cut off requests")
	fa.atLeast("memory", set.Memory, 0, "a bound cannot be less than nothing")
	fa.logLevel(set.LogLevel)
	if _, err := mechanism.Parse(set.Without); err != nil {
		fa.add("without", "%s", err)
	}
}

// Changed lists the fields that differ, for the log of a reload.
func (set Gateway) Changed(next Gateway) []string {
	var out []string
	old, fresh := fields(set), fields(next)
	for name, val := range fresh {
		if !bytes.Equal(old[name], val) {
			out = append(out, fmt.Sprintf("%s: %s to %s", name, old[name], val))
		}
	}
	return out
}

func fields(set Gateway) map[string]json.RawMessage {
	var out map[string]json.RawMessage
	if raw, err := json.Marshal(set); err == nil {
		_ = json.Unmarshal(raw, &out) // What was just written can be read.
	}
	return out
}
