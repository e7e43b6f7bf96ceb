package app

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/core/suspect"
	"skylarkstand/io/agent"
	"skylarkstand/io/limited"
)

// statusPage serves an entry's view of the system as JSON for `skylarkstand status`.
type statusPage struct {
	deps core.Deps
	inf  *declaration.InForce
	pool *agent.Pool
	reg  *suspect.Registry
}

// entryStatus is the content of the status page.
type entryStatus struct {
	Process    core.ProcessID  `json:"process"`
	Zone       core.Zone       `json:"zone"`
	Generation core.Generation `json:"generation"`
	// ConfirmedAgo is the time since the generation was last confirmed to be the newest, in seconds;
	// negative if it was never confirmed.
	ConfirmedAgo float64          `json:"heard-seconds-ago"`
	Upstreams    []upstreamStatus `json:"upstreams"`
	Suspects     []suspectStatus  `json:"suspects"`
}

type upstreamStatus struct {
	ID      core.UpstreamID `json:"id"`
	Serves  string          `json:"serves"`
	Zone    core.Zone       `json:"zone"`
	State   string          `json:"state"`
	Running int             `json:"running"`
	Queued  int             `json:"queued"`
	Slots   int             `json:"slots"`
}

type suspectStatus struct {
	Fingerprint string    `json:"fingerprint"`
	Quarantined bool      `json:"quarantined"`
	Until       time.Time `json:"until"`
}

// ServeHTTP implements [http.Handler].
func (sp *statusPage) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(sp.status(time.Now()))
}

func (sp *statusPage) status(now time.Time) entryStatus {
	es := entryStatus{Process: sp.deps.Self, Zone: sp.deps.Zone, Generation: sp.inf.Number(), ConfirmedAgo: -1}
	if confirmed := sp.inf.ConfirmedAt(); !confirmed.IsZero() {
		es.ConfirmedAgo = now.Sub(confirmed).Seconds()
	}
	for _, up := range sp.pool.All() {
		es.Upstreams = append(es.Upstreams, describe(up))
	}
	for _, re := range sp.reg.List(now) {
		es.Suspects = append(es.Suspects, suspectStatus{
			Fingerprint: fmt.Sprintf("%016x", uint64(re.Fingerprint)), Quarantined: re.State == suspect.Quarantined, Until: re.Until,
		})
	}
	return es
}

func describe(up core.Upstream) upstreamStatus {
	us := upstreamStatus{
		ID: up.Host.ID, Serves: up.Host.ModelVersion().String(), Zone: up.Host.Zone, State: "up",
		Running: up.Load.Running, Queued: up.Load.Queued, Slots: up.Load.Slots,
	}
	if up.Host.Service != "" {
		us.Serves = string(up.Host.Service)
	}
	switch {
	case up.Leaving:
		us.State = "leaving"
	case !up.Connected:
		us.State = "down"
	}
	return us
}

// printEntry fetches an entry's status page and prints it in readable form.
func printEntry(ctx context.Context, base string) error {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/status", http.NoBody)
	if err != nil {
		return eris.Wrap(err, "the URL of the entry is invalid")
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return eris.Wrap(err, "the entry does not answer; check that this is its admin address")
	}
	defer rs.Body.Close()
	var es entryStatus
	if err := limited.DecodeJSON(rs.Body, &es); err != nil {
		return eris.Wrap(err, "the entry's status cannot be decoded; check that this is its admin address")
	}
	fmt.Printf("entry %s in %s: generation %d in force, confirmed %.1f s ago\n", es.Process, es.Zone, es.Generation, es.ConfirmedAgo)
	for _, us := range es.Upstreams {
		fmt.Printf("  upstream %-16s %-20s %-10s %-8s running %d, queued %d, slots %d\n", us.ID, us.Serves, us.Zone, us.State, us.Running, us.Queued, us.Slots)
	}
	for _, su := range es.Suspects {
		state := "suspected, runs alone"
		if su.Quarantined {
			state = "quarantined"
		}
		fmt.Printf("  request %s %s until %s\n", su.Fingerprint, state, su.Until.Format(time.RFC3339))
	}
	return nil
}
