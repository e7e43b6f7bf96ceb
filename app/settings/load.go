package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// Faults is all that is wrong with a settings file.
type Faults []string

// Error implements error.
func (fa Faults) Error() string { return strings.Join(fa, "\n") }

// LoadEntry reads and checks an entry's settings.
func LoadEntry(path string) (Entry, error) {
	set := DefaultEntry()
	if err := load(path, &set); err != nil {
		return set, err
	}
	var fa Faults
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
	if err := load(path, &set); err != nil {
		return set, err
	}
	var fa Faults
	fa.address("listen", set.Listen)
	fa.url("store", set.Store)
	fa.present("upstream", string(set.Upstream))
	fa.present("zone", string(set.Zone))
	fa.present("region", string(set.Region))
	if (set.Engine == "") == (set.ServiceURL == "") {
		fa = append(fa, "engine, service-url: exactly one must be set; an agent stands beside one upstream")
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
		fa = append(fa, "slots: must be at least 1, or the upstream gets no work")
	}
	if set.ClaimRetention <= 0 {
		fa = append(fa, "claim-retention: must be above 0, or a repeated call runs again")
	}
	if set.ClaimWrites <= 0 {
		fa = append(fa, "claim-writes: must be above 0, or no claim is ever written")
	}
	return set, fa.err(path)
}

func load(path string, out any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "settings")
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return eris.Wrapf(err, "settings %s are not JSON with comments", path)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	return eris.Wrapf(dec.Decode(out), "settings %s", path)
}

func (fa *Faults) address(name, val string) {
	if _, _, err := net.SplitHostPort(val); err != nil {
		*fa = append(*fa, fmt.Sprintf("%s: %q is not an address; write IP:port", name, val))
	}
}

func (fa *Faults) url(name, val string) {
	ur, err := url.Parse(val)
	if err != nil || ur.Scheme == "" || ur.Host == "" {
		*fa = append(*fa, fmt.Sprintf("%s: %q is not a base URL; write http://IP:port", name, val))
	}
}

func (fa *Faults) present(name, val string) {
	if val == "" {
		*fa = append(*fa, fmt.Sprintf("%s: is missing; set it", name))
	}
}

func (fa *Faults) err(path string) error {
	if len(*fa) == 0 {
		return nil
	}
	return eris.Wrapf(*fa, "settings %s", path)
}
