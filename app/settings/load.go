package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"skylarkstand/core/schema"
	"skylarkstand/core/spelling"
)

// Faults is all that is wrong with a settings file.
type Faults []string

// Error implements error.
func (fa Faults) Error() string { return strings.Join(fa, "\n") }

// LoadEntry reads and checks an entry's settings.
func LoadEntry(path string) (Entry, error) {
	set := DefaultEntry()
	fa, err := load(path, schema.Entry, &set)
	if err != nil {
		return set, err
	}
	fa.address("listen", set.Listen)
	fa.url("store", set.Store)
	fa.url("hosts", set.Hosts)
	fa.url("rater", set.Rater)
	fa.present("zone", string(set.Zone))
	fa.present("region", string(set.Region))
	fa.present("pin-secret", set.PinSecret)
	fa.atLeast("max-body", set.MaxBody, 1, "every request would be refused")
	fa.atLeast("max-header", int64(set.MaxHeader), 1, "every request would be refused")
	fa.atLeast("max-in-flight", set.MaxInFlight, 1, "every request would be refused")
	fa.some("max-wait", set.MaxWait, "every request would be refused while its pool is full")
	fa.atLeast("max-queue", int64(set.MaxQueue), 1, "every request would be refused while its pool is full")
	fa.atLeast("crossing-budget", set.CrossingBudget, 0, "a budget cannot be less than nothing")
	fa.some("ledger-pace", set.LedgerPace, "the ledger would be written without a pause")
	fa.some("drain-limit", set.DrainLimit, "a planned stop would cut off requests")
	fa.atLeast("processors", int64(set.Processors), 1, "the process could not run")
	fa.logLevel(set.LogLevel)
	return set, fa.err(path)
}

// LoadAgent reads and checks an agent's settings.
func LoadAgent(path string) (Agent, error) {
	set := DefaultAgent()
	fa, err := load(path, schema.Agent, &set)
	if err != nil {
		return set, err
	}
	fa.address("listen", set.Listen)
	fa.url("store", set.Store)
	fa.present("upstream", string(set.Upstream))
	fa.present("zone", string(set.Zone))
	fa.present("region", string(set.Region))
	if (set.Engine == "") == (set.ServiceURL == "") {
		fa.add("engine, service-url", "exactly one must be set; an agent stands beside one upstream")
	}
	if set.Engine != "" {
		fa.url("engine", set.Engine)
		fa.present("model", string(set.Model))
		fa.present("version", string(set.Version))
	}
	if set.ServiceURL != "" {
		fa.url("service-url", set.ServiceURL)
		fa.present("service", string(set.Service))
	}
	fa.atLeast("slots", int64(set.Slots), 1, "the upstream would get no work")
	fa.atLeast("queue", int64(set.Queue), 0, "a queue cannot be shorter than nothing")
	fa.some("drain-limit", set.DrainLimit, "a planned stop would cut off requests")
	fa.some("claim-retention", set.ClaimRetention, "a repeated call would run again")
	if set.ClaimWrites <= 0 {
		fa = append(fa, "claim-writes: must be above 0, or no claim is ever written")
	}
	fa.atLeast("processors", int64(set.Processors), 1, "the process could not run")
	fa.logLevel(set.LogLevel)
	return set, fa.err(path)
}

// load reads a file into settings that hold the defaults. What breaks the
// schema is returned as faults, so that the checks of content can add theirs:
// a process that is set up by hand would otherwise be started once a fault.
func load(path string, kd schema.Kind, out any) (Faults, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s are not JSON with comments", path)
	}
	list, err := schema.Validate(kd, std)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	var fa Faults
	for _, el := range list {
		fa = append(fa, el.String())
	}
	return fa, eris.Wrapf(decode(std, list, out), "settings %s", path)
}

// decode reads what is readable. Fields of another type than declared are left
// out: the decoder stops at some of them, and what stands behind them would
// count as not given.
func decode(std []byte, list []schema.Fault, out any) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(std, &fields); err != nil {
		if len(list) > 0 {
			return nil // No object at all, which is a fault already.
		}
		return err
	}
	for _, el := range list {
		if el.Shape {
			name, _, _ := strings.Cut(el.Place, ".")
			name, _, _ = strings.Cut(name, "[")
			delete(fields, name)
		}
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, out)
}

// has reports whether a field has a fault already; a second line about it
// would only confuse.
func (fa *Faults) has(name string) bool {
	for _, line := range *fa {
		if strings.HasPrefix(line, name+":") {
			return true
		}
	}
	return false
}

func (fa *Faults) add(name, format string, args ...any) {
	if !fa.has(name) {
		*fa = append(*fa, name+": "+fmt.Sprintf(format, args...))
	}
}

func (fa *Faults) address(name, val string) {
	if _, _, err := net.SplitHostPort(val); err != nil {
		fa.add(name, "%q is not an address; write IP:port", val)
	}
}

func (fa *Faults) url(name, val string) {
	ur, err := url.Parse(val)
	if err != nil || ur.Scheme == "" || ur.Host == "" {
		fa.add(name, "%q is not a base URL; write http://IP:port", val)
	}
}

func (fa *Faults) present(name, val string) {
	if val == "" {
		fa.add(name, "is missing; set it")
	}
}

func (fa *Faults) atLeast(name string, val, least int64, harm string) {
	if val < least {
		fa.add(name, "%d is too small, %s; give at least %d", val, harm, least)
	}
}

func (fa *Faults) some(name string, du Duration, harm string) {
	if du <= 0 {
		fa.add(name, "%s is too short, %s; give more, such as \"2s\"", time.Duration(du), harm)
	}
}

// logLevel refuses unknown levels: an operator who asks for "verbose" and gets
// the default looks for lines that are never written.
func (fa *Faults) logLevel(val string) {
	levels := []string{"debug", "info", "warn", "error"}
	if slices.Contains(levels, val) {
		return
	}
	remedy := "choose one of " + strings.Join(levels, ", ")
	if near, ok := spelling.Nearest(val, levels); ok {
		remedy = fmt.Sprintf("did you mean %q?", near)
	}
	fa.add("log-level", "there is no level %q; %s", val, remedy)
}

func (fa *Faults) err(path string) error {
	if len(*fa) == 0 {
		return nil
	}
	return fmt.Errorf("settings %s, faults: %d\n%w", path, len(*fa), *fa)
}
