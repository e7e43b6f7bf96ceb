package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"skylarkstand/core/schema"
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
	if set.Slots < 1 {
		fa.add("slots", "%d is too small, the upstream would get no work; give at least 1", set.Slots)
	}
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
	if err := json.Unmarshal(std, out); err != nil && len(fa) == 0 {
		return nil, eris.Wrapf(err, "settings %s", path)
	}
	return fa, nil
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

func (fa *Faults) err(path string) error {
	if len(*fa) == 0 {
		return nil
	}
	return fmt.Errorf("settings %s, faults: %d\n%w", path, len(*fa), *fa)
}
