// Package settings defines the settings of the processes, read from JSON with comments, with one
// struct per role. The reference page and the JSON schemas are generated from the structs.
//
// # Usage
//
//	set, err := settings.LoadEntry(path)   // all faults at once
package settings

import (
	"encoding/json"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/placement"
)

// Entry holds the settings of an entry process.
type Entry struct {
	// Listen is the address for callers, as IP:port.
	Listen string `json:"listen"`
	// Admin is the address of healthz, metrics and the status page for operators, as IP:port.
	// Callers should not be able to reach it.
	Admin string `json:"admin,omitempty"`
	// PeerListen is the address for other entries, as IP:port.
	PeerListen string `json:"peer-listen,omitempty"`
	// Zone is the availability zone that the process runs in.
	Zone core.Zone `json:"zone"`
	// Region is the region that contains the zone.
	Region core.Region `json:"region"`
	// Store is the base URL of the platform's key-value service.
	Store string `json:"store"`
	// Hosts is the base URL of the platform's host list.
	Hosts string `json:"hosts"`
	// Rater is the base URL of the rating service.
	Rater string `json:"rater"`
	// PinSecret is the key that signs the tokens of sticky sessions, which keep sessions on their
	// versions. All entries share it.
	PinSecret string `json:"pin-secret"`
	// MaxBody bounds the body of a caller's request, in bytes.
	MaxBody int64 `json:"max-body,omitempty"`
	// MaxHeader bounds the header of a caller's request, in bytes; a longer one is refused with 431.
	MaxHeader int `json:"max-header,omitempty"`
	// MaxInFlight bounds the requests in flight in the process.
	MaxInFlight int64 `json:"max-in-flight,omitempty"`
	// MaxWait bounds how long a request without a deadline waits for a full pool.
	MaxWait Duration `json:"max-wait,omitempty"`
	// MaxQueue bounds the requests that wait for one pool of upstreams. One workspace may use at
	// most a sixteenth of it.
	MaxQueue int `json:"max-queue,omitempty"`
	// CrossingBudget is how many bytes per second this process may send and receive for attempts
	// over the link between regions. All entries share the link with the store's traffic; 0
	// disables cross-region attempts.
	CrossingBudget int64 `json:"crossing-budget,omitempty"`
	// Freshness bounds the time since the configuration was last confirmed to be the newest. Beyond
	// it, versions under roll-out get no new sessions.
	Freshness Duration `json:"freshness,omitempty"`
	// LedgerWrites bounds the store writes per second of the ledgers of all entries together; 0 sets
	// no bound.
	LedgerWrites float64 `json:"ledger-writes,omitempty"`
	// LedgerPace is the minimum time between two ledger segments.
	LedgerPace Duration `json:"ledger-pace,omitempty"`
	// DrainLimit bounds a graceful shutdown. It must be longer than the longest response.
	DrainLimit Duration `json:"drain-limit,omitempty"`
	// Processors bounds the cores that the process uses at once. With more cores, most of the added
	// processor time goes to waking each other for every token.
	Processors int `json:"processors,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log-level,omitempty"`
}

// Agent holds the settings of an agent process.
type Agent struct {
	// Listen is the address for entries, as IP:port.
	Listen string `json:"listen"`
	// Admin is the address of healthz and metrics, as IP:port.
	Admin string `json:"admin,omitempty"`
	// Upstream is the id, in the host list, of the upstream beside the agent.
	Upstream core.UpstreamID `json:"upstream"`
	// Zone is the availability zone that the process runs in.
	Zone core.Zone `json:"zone"`
	// Region is the region that contains the zone.
	Region core.Region `json:"region"`
	// Engine is the base URL of the model engine beside the agent.
	Engine string `json:"engine,omitempty"`
	// Model is the id of the model that the engine runs.
	Model core.ModelID `json:"model,omitempty"`
	// Version is the version of the model that the engine runs.
	Version core.VersionID `json:"version,omitempty"`
	// ServiceURL is the base URL of the plain service beside the agent, instead of an engine.
	ServiceURL string `json:"service-url,omitempty"`
	// Service is the id of the plain service.
	Service core.ServiceID `json:"service,omitempty"`
	// Store is the base URL of the platform's key-value service, for claims.
	Store string `json:"store"`
	// ClaimRetention is how long the response of an at-most-once operation is kept. A time-ordered
	// idempotency key (UUIDv7) older than this is refused; a retry with a key of another form may
	// run again after this time. All agents of a service should have the same value.
	ClaimRetention Duration `json:"claim-retention,omitempty"`
	// ClaimWrites is how many store writes per second this agent may use for claims. The sum over
	// all agents must stay below the capacity of the store; under load, claims wait longer and are
	// batched into one write.
	ClaimWrites float64 `json:"claim-writes,omitempty"`
	// Slots is how many attempts the upstream runs at once.
	Slots int `json:"slots,omitempty"`
	// Queue is how many attempts may wait for a slot.
	Queue int `json:"queue,omitempty"`
	// DrainLimit bounds a graceful shutdown. It must be longer than the longest response.
	DrainLimit Duration `json:"drain-limit,omitempty"`
	// Processors bounds the cores that the process uses at once. With more cores, most of the added
	// processor time goes to waking each other for every token.
	Processors int `json:"processors,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log-level,omitempty"`
}

// defaultProcessors is enough for more than an entry's share of the design load, 20,000 tokens a
// second, and leaves the other cores of an agent's host to its upstream.
const defaultProcessors = 4

// defaultMaxHeader is above the headers that browsers and proxies in front of an entry send, which
// are commonly limited to 8 kB. Each connection may use this much memory.
const defaultMaxHeader = 32 << 10

// DefaultEntry returns the default settings of an entry, which the settings file overrides.
func DefaultEntry() Entry {
	return Entry{
		MaxBody: 4 << 20, MaxHeader: defaultMaxHeader, MaxInFlight: 4096, Freshness: Duration(20 * time.Second),
		MaxWait: Duration(30 * time.Second), MaxQueue: 4096, CrossingBudget: placement.DefaultCrossRegionBudget,
		LedgerWrites: 100, LedgerPace: Duration(2 * time.Second), DrainLimit: Duration(time.Minute), Processors: defaultProcessors, LogLevel: "info",
	}
}

// DefaultAgent returns the default settings of an agent, which the settings file overrides.
func DefaultAgent() Agent {
	return Agent{
		ClaimRetention: Duration(24 * time.Hour), ClaimWrites: 30,
		Slots: 16, Queue: 32, DrainLimit: Duration(time.Minute), Processors: defaultProcessors, LogLevel: "info",
	}
}

// Duration is a duration in settings, written as a string such as "1.5s".
type Duration time.Duration

// MarshalJSON implements [json.Marshaler].
func (du Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(du).String()) }

// UnmarshalJSON implements [json.Unmarshaler].
func (du *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	*du = Duration(d)
	return err
}
