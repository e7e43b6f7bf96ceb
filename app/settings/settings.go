// Package settings holds the settings of the processes: JSON with comments,
// one struct a role. The reference page and the JSON schema are generated from
// the structs.
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

// Entry is the settings of an entry process.
type Entry struct {
	// Listen is the address for callers, as IP:port.
	Listen string `json:"listen"`
	// Admin is the address of healthz, metrics and the status page for
	// operators, as IP:port. Callers should not reach it.
	Admin string `json:"admin,omitempty"`
	// PeerListen is the address for other entries, as IP:port.
	PeerListen string `json:"peer-listen,omitempty"`
	// Zone is the availability zone that the process stands in.
	Zone core.Zone `json:"zone"`
	// Region holds the zone.
	Region core.Region `json:"region"`
	// Store is the base URL of the platform's key-value service.
	Store string `json:"store"`
	// Hosts is the base URL of the platform's host list.
	Hosts string `json:"hosts"`
	// Rater is the base URL of the rating service.
	Rater string `json:"rater"`
	// PinSecret signs the tokens that keep sessions on their versions. All
	// entries share it.
	PinSecret string `json:"pin-secret"`
	// MaxBody bounds a caller's body, in bytes.
	MaxBody int64 `json:"max-body,omitempty"`
	// MaxHeader bounds a caller's request header, in bytes; a longer one gets 431.
	MaxHeader int `json:"max-header,omitempty"`
	// MaxInFlight bounds the requests in the process.
	MaxInFlight int64 `json:"max-in-flight,omitempty"`
	// MaxWait bounds the wait for a full pool of a request without a deadline.
	MaxWait Duration `json:"max-wait,omitempty"`
	// MaxQueue bounds the requests that wait for one pool of upstreams. A
	// workspace may take a sixteenth of it.
	MaxQueue int `json:"max-queue,omitempty"`
	// CrossingBudget is the bytes per second that this process may send and
	// receive for attempts over the link between regions. All entries share
	// the link with the store's traffic; 0 crosses never.
	CrossingBudget int64 `json:"crossing-budget,omitempty"`
	// Freshness is how old the last word of the newest configuration may be
	// before versions under roll-out get no new sessions.
	Freshness Duration `json:"freshness,omitempty"`
	// LedgerWrites is how many writes a second the ledgers of all entries
	// together may take of the store. 0 sets no bound.
	LedgerWrites float64 `json:"ledger-writes,omitempty"`
	// LedgerPace is the shortest time between two ledger segments.
	LedgerPace Duration `json:"ledger-pace,omitempty"`
	// DrainLimit bounds a planned stop. It must be above the longest answer.
	DrainLimit Duration `json:"drain-limit,omitempty"`
	// Processors is how many cores the process uses at once, at most. More of
	// them wake each other for every token and do little besides.
	Processors int `json:"processors,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log-level,omitempty"`
}

// Agent is the settings of an agent process.
type Agent struct {
	// Listen is the address for entries, as IP:port.
	Listen string `json:"listen"`
	// Admin is the address of healthz and metrics, as IP:port.
	Admin string `json:"admin,omitempty"`
	// Upstream is the id of the upstream beside the agent, as the host list
	// has it.
	Upstream core.UpstreamID `json:"upstream"`
	// Zone is the availability zone that the process stands in.
	Zone core.Zone `json:"zone"`
	// Region holds the zone.
	Region core.Region `json:"region"`
	// Engine is the base URL of the model engine beside the agent.
	Engine string `json:"engine,omitempty"`
	// Model is what the engine runs, with Version.
	Model core.ModelID `json:"model,omitempty"`
	// Version of the model.
	Version core.VersionID `json:"version,omitempty"`
	// ServiceURL is the base URL of the plain service beside the agent, in
	// place of an engine.
	ServiceURL string `json:"service-url,omitempty"`
	// Service is the id of the plain service.
	Service core.ServiceID `json:"service,omitempty"`
	// Store is the base URL of the platform's key-value service, for claims.
	Store string `json:"store"`
	// ClaimRetention is how long the answer of an operation that runs at most
	// once is kept. A time-ordered key (UUIDv7) older than it is refused; a
	// key of another form that is repeated later may run again. All agents of
	// a service should have the same.
	ClaimRetention Duration `json:"claim-retention,omitempty"`
	// ClaimWrites is this agent's share of the store's writes for claims, in a
	// second. The shares of all agents together must stay below what the store
	// takes; under load claims wait longer and share a write.
	ClaimWrites float64 `json:"claim-writes,omitempty"`
	// Slots is how many attempts the upstream runs at once.
	Slots int `json:"slots,omitempty"`
	// Queue is how many attempts may wait for a slot.
	Queue int `json:"queue,omitempty"`
	// DrainLimit bounds a planned stop. It must be above the longest answer.
	DrainLimit Duration `json:"drain-limit,omitempty"`
	// Processors is how many cores the process uses at once, at most. More of
	// them wake each other for every token and do little besides.
	Processors int `json:"processors,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"log-level,omitempty"`
}

// defaultProcessors carries more than an entry's part of the load that is
// designed for, 20,000 tokens a second, and leaves an agent's host to its
// upstream.
const defaultProcessors = 4

// defaultHeader is above what browsers and gateways before an entry send, which
// commonly stop at 8 kB. Each connection may hold as much in memory.
const defaultHeader = 32 << 10

// DefaultEntry returns an entry's settings before the file is read.
func DefaultEntry() Entry {
	return Entry{
		MaxBody: 4 << 20, MaxHeader: defaultHeader, MaxInFlight: 4096, Freshness: Duration(20 * time.Second),
		MaxWait: Duration(30 * time.Second), MaxQueue: 4096, CrossingBudget: placement.DefaultCrossing,
		LedgerWrites: 100, LedgerPace: Duration(2 * time.Second), DrainLimit: Duration(time.Minute), Processors: defaultProcessors, LogLevel: "info",
	}
}

// DefaultAgent returns an agent's settings before the file is read.
func DefaultAgent() Agent {
	return Agent{
		ClaimRetention: Duration(24 * time.Hour), ClaimWrites: 30,
		Slots: 16, Queue: 32, DrainLimit: Duration(time.Minute), Processors: defaultProcessors, LogLevel: "info",
	}
}

// Duration is a time in settings, written as "1.5s".
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
