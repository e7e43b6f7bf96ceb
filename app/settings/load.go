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
	"skylarkstand/core/suggest"
)

// Faults lists all faults of a settings file.
type Faults []string

// Error implements error.
func (fa Faults) Error() string { return strings.Join(fa, "\n") }

// LoadEntry reads and validates an entry's settings. All faults are returned at once.
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
	fa.required("zone", string(set.Zone))
	fa.required("region", string(set.Region))
	fa.required("pin-secret", set.PinSecret)
	fa.atLeast("max-body", set.MaxBody, 1, "every request would be refused")
	fa.atLeast("max-header", int64(set.MaxHeader), 1, "every request would be refused")
	fa.atLeast("max-in-flight", set.MaxInFlight, 1, "every request would be refused")
	fa.positive("max-wait", set.MaxWait, "every request would be refused while its pool is full")
	fa.atLeast("max-queue", int64(set.MaxQueue), 1, "every request would be refused while its pool is full")
	fa.atLeast("crossing-budget", set.CrossingBudget, 0, "a budget cannot be negative")
	fa.positive("ledger-pace", set.LedgerPace, "the ledger would be written without a pause")
	fa.positive("drain-limit", set.DrainLimit, "a graceful shutdown would cut off requests")
	fa.atLeast("processors", int64(set.Processors), 1, "the process could not run")
	fa.logLevel(set.LogLevel)
	return set, fa.err(path)
}

// LoadAgent reads and validates an agent's settings. All faults are returned at once.
func LoadAgent(path string) (Agent, error) {
	set := DefaultAgent()
	fa, err := load(path, schema.Agent, &set)
	if err != nil {
		return set, err
	}
	fa.address("listen", set.Listen)
	fa.url("store", set.Store)
	fa.required("upstream", string(set.Upstream))
	fa.required("zone", string(set.Zone))
	fa.required("region", string(set.Region))
	if (set.Engine == "") == (set.ServiceURL == "") {
		fa.add("engine, service-url", "exactly one must be set; an agent serves one upstream")
	}
	if set.Engine != "" {
		fa.url("engine", set.Engine)
		fa.required("model", string(set.Model))
		fa.required("version", string(set.Version))
	}
	if set.ServiceURL != "" {
		fa.url("service-url", set.ServiceURL)
		fa.required("service", string(set.Service))
	}
	fa.atLeast("slots", int64(set.Slots), 1, "the upstream would get no work")
	fa.atLeast("queue", int64(set.Queue), 0, "a queue length cannot be negative")
	fa.positive("drain-limit", set.DrainLimit, "a graceful shutdown would cut off requests")
	fa.positive("claim-retention", set.ClaimRetention, "a retried operation would run again")
	if set.ClaimWrites <= 0 {
		fa = append(fa, "claim-writes: must be above 0, or claims are never written")
	}
	fa.atLeast("processors", int64(set.Processors), 1, "the process could not run")
	fa.logLevel(set.LogLevel)
	return set, fa.err(path)
}

// load reads a file into settings that hold the defaults. Schema violations are returned as faults,
// so that the content checks can add theirs: otherwise an operator who sets up a process by hand
// would have to start it once per fault.
func load(path string, kd schema.Kind, out any) (Faults, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "the settings could not be read")
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s are not JSON with comments", path)
	}
	list, err := schema.Validate(kd, std)
	if err != nil {
		return nil, eris.Wrapf(err, "settings %s could not be validated", path)
	}
	var fa Faults
	for _, el := range list {
		fa = append(fa, el.String())
	}
	return fa, eris.Wrapf(decode(std, list, out), "settings %s could not be decoded", path)
}

// decode decodes the valid fields. Fields of another type than declared are skipped: the decoder
// stops at some of them, and the fields after them would be reported as missing.
func decode(std []byte, list []schema.Fault, out any) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(std, &fields); err != nil {
		if len(list) > 0 {
			return nil // Not an object, which is already reported as a fault.
		}
		return err
	}
	for _, el := range list {
		if el.WrongType {
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

// has reports whether a field already has a fault. Only the first fault of a field is reported,
// since a second one about the same field would confuse the operator.
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

func (fa *Faults) required(name, val string) {
	if val == "" {
		fa.add(name, "is missing; set it")
	}
}

func (fa *Faults) atLeast(name string, val, least int64, consequence string) {
	if val < least {
		fa.add(name, "%d is too small, %s; give at least %d", val, consequence, least)
	}
}

func (fa *Faults) positive(name string, du Duration, consequence string) {
	if du <= 0 {
		fa.add(name, "%s is too short, %s; give more, such as \"2s\"", time.Duration(du), consequence)
	}
}

// logLevel refuses unknown levels: with a fallback to the default, an operator who sets "verbose"
// would look for lines that are never logged.
func (fa *Faults) logLevel(val string) {
	levels := []string{"debug", "info", "warn", "error"}
	if slices.Contains(levels, val) {
		return
	}
	remedy := "choose one of " + strings.Join(levels, ", ")
	if near, ok := suggest.Nearest(val, levels); ok {
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
