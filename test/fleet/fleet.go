// Package fleet runs skylarkstand and its stand-ins as separate processes on
// loopback, for the demo, the end-to-end tests and the measurements.
//
// # Usage
//
//	fl, cleanup, err := fleet.New(binDir, logDir)
//	defer cleanup()
//	err = fl.StartPlatform(map[string]float64{"desk@v1": 0.8})
//	err = fl.StartEngine("desk-1", core.ModelVersion{Model: "desk", Version: "v1"}, fleet.Location{Zone: "muc-a", Region: "muc"})
//	entry, err := fl.StartEntry("entry-1", fleet.Location{Zone: "muc-a", Region: "muc"}, nil)
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"skylarkstand/core"
)

// Location is an availability zone with its region.
type Location struct {
	Zone   core.Zone
	Region core.Region
}

// Fleet is a set of processes. Its methods are not safe for concurrent use, except
// Start, Process and Command.
type Fleet struct {
	bin, dir string

	mu    sync.Mutex
	procs map[string]*Process
	hosts []core.Host

	StoreURL, PlatformURL string
	// AgentSettings are added to the settings of agents that are started afterwards.
	AgentSettings map[string]any
	// UseRelays puts a relay in front of each agent, and between each entry and its store
	// and host list.
	UseRelays bool
	relays    map[string]*Relay
	cleanup   []func()
}

// PinSecret is the secret with which the entries sign session tokens.
const PinSecret = "fleet"

// New returns an empty fleet that runs the programs in bin and writes logs and settings
// to dir. The cleanup function kills the processes that still run.
func New(bin, dir string) (*Fleet, func(), error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, eris.Wrap(err, "the directory for logs and settings could not be created")
	}
	fl := &Fleet{bin: bin, dir: dir, procs: map[string]*Process{}, relays: map[string]*Relay{}}
	return fl, fl.killAll, nil
}

// Start starts a program of the fleet, with its output in a log file.
func (fl *Fleet) Start(name, program string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(fl.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, name)
	}
	defer logFile.Close()
	pr := &Process{Name: name, cmd: exec.Command(filepath.Join(fl.bin, program), args...), done: make(chan struct{})}
	pr.cmd.Stdout, pr.cmd.Stderr = logFile, logFile
	if err := pr.cmd.Start(); err != nil {
		return nil, eris.Wrap(err, name)
	}
	go func() {
		pr.err = pr.cmd.Wait()
		close(pr.done)
	}()
	fl.mu.Lock()
	fl.procs[name] = pr
	fl.mu.Unlock()
	return pr, nil
}

func (fl *Fleet) startHTTP(name, program, addr, probe string, args ...string) (*Process, error) {
	pr, err := fl.Start(name, program, args...)
	if err != nil {
		return nil, err
	}
	pr.URL = "http://" + addr
	return pr, fl.awaitReady(pr, probe)
}

const startLimit = 15 * time.Second

// awaitReady polls until a process answers, or has ended.
func (fl *Fleet) awaitReady(pr *Process, probe string) error {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	return Poll(ctx, "start of "+pr.Name, func() (bool, error) {
		select {
		case <-pr.done:
			return false, eris.Errorf("%s exited during startup; see %s.log", pr.Name, pr.Name)
		default:
		}
		rs, err := http.Get(pr.URL + probe)
		if err != nil {
			return false, nil
		}
		rs.Body.Close()
		return rs.StatusCode < http.StatusInternalServerError, nil
	})
}

// Poll calls fn until it reports true or an error, or the context ends.
func Poll(ctx context.Context, what string, fn func() (bool, error)) error {
	for {
		ok, err := fn()
		if ok || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return eris.Errorf("timed out waiting for: %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// StartPlatform starts the stand-ins for the store, the host list and the rater.
func (fl *Fleet) StartPlatform(quality map[string]float64) error {
	addr, err := FreeAddr()
	if err != nil {
		return err
	}
	pr, err := fl.startHTTP("store", "standin", addr, "/counts", "--listen", addr, "store")
	if err != nil {
		return err
	}
	fl.StoreURL = pr.URL
	if addr, err = FreeAddr(); err != nil {
		return err
	}
	args := []string{"--listen", addr, "platform"}
	for name, q := range quality {
		args = append(args, "--quality", fmt.Sprintf("%s=%g", name, q))
	}
	pr, err = fl.startHTTP("platform", "standin", addr, "/v1/hosts", args...)
	if err != nil {
		return err
	}
	fl.PlatformURL = pr.URL
	return nil
}

// StartEngine starts an engine with its agent and adds it to the host list.
func (fl *Fleet) StartEngine(id string, mv core.ModelVersion, lo Location, args ...string) error {
	addr, err := FreeAddr()
	if err != nil {
		return err
	}
	eng, err := fl.startHTTP(id+"-engine", "standin", addr, "/load", append([]string{"--listen", addr, "engine"}, args...)...)
	if err != nil {
		return err
	}
	return fl.StartAgent(id, mv, lo, eng.URL)
}

// StartService starts a plain service with its agent and adds it to the host list.
func (fl *Fleet) StartService(id string, sv core.ServiceID, lo Location, args ...string) error {
	addr, err := FreeAddr()
	if err != nil {
		return err
	}
	svc, err := fl.startHTTP(id+"-service", "standin", addr, "/journal", append([]string{"--listen", addr, "service"}, args...)...)
	if err != nil {
		return err
	}
	return fl.startAgent(id, lo, core.Host{Service: sv}, map[string]any{"service-url": svc.URL, "service": sv})
}

// StartAgent starts an agent beside an upstream that is already running, or that no
// request will reach, and adds it to the host list.
func (fl *Fleet) StartAgent(id string, mv core.ModelVersion, lo Location, engineURL string) error {
	return fl.startAgent(id, lo, core.Host{Model: mv.Model, Version: mv.Version}, map[string]any{
		"engine": engineURL, "model": mv.Model, "version": mv.Version,
	})
}

// Hosts returns the host list as last published.
func (fl *Fleet) Hosts() []core.Host { return fl.hosts }

func (fl *Fleet) startAgent(id string, lo Location, ho core.Host, set map[string]any) error {
	listen, err := FreeAddr()
	if err != nil {
		return err
	}
	admin, err := FreeAddr()
	if err != nil {
		return err
	}
	set["listen"], set["admin"], set["upstream"] = listen, admin, id
	set["zone"], set["region"], set["store"] = lo.Zone, lo.Region, fl.StoreURL
	maps.Copy(set, fl.AgentSettings)
	path, err := fl.writeSettings(id, set)
	if err != nil {
		return err
	}
	pr, err := fl.startHTTP(id, "skylarkstand", admin, "/healthz", "agent", "--settings", path)
	if err != nil {
		return err
	}
	pr.Addr = listen
	if listen, err = fl.relayTo(id, listen); err != nil {
		return err
	}
	ho.Role, ho.ID, ho.Addr, ho.Zone, ho.Region = core.RoleAgent, core.UpstreamID(id), listen, lo.Zone, lo.Region
	fl.hosts = append(fl.hosts, ho)
	return fl.PublishHosts()
}

// StartEntry starts an entry. It becomes ready once it has received a configuration.
func (fl *Fleet) StartEntry(name string, lo Location, extra map[string]any) (*Process, error) {
	listen, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	peer, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	set := map[string]any{
		"listen": listen, "peer-listen": peer, "zone": lo.Zone, "region": lo.Region,
		"store": fl.StoreURL, "hosts": fl.PlatformURL, "rater": fl.PlatformURL,
		"pin-secret": PinSecret, "ledger-pace": "200ms",
	}
	for _, to := range []string{"store", "hosts"} {
		addr, err := fl.relayTo(name+"-"+to, strings.TrimPrefix(set[to].(string), "http://"))
		if err != nil {
			return nil, err
		}
		set[to] = "http://" + addr
	}
	maps.Copy(set, extra)
	path, err := fl.writeSettings(name, set)
	if err != nil {
		return nil, err
	}
	pr, err := fl.startHTTP(name, "skylarkstand", listen, "/healthz", "entry", "--settings", path)
	if err != nil {
		return nil, err
	}
	pr.Addr = peer
	fl.hosts = append(fl.hosts, core.Host{Role: core.RoleEntry, Addr: peer, Zone: lo.Zone, Region: lo.Region})
	return pr, fl.PublishHosts()
}

// relayTo starts a relay to addr and returns its address, or returns addr if UseRelays
// is not set.
func (fl *Fleet) relayTo(name, addr string) (string, error) {
	if !fl.UseRelays {
		return addr, nil
	}
	re, cleanup, err := NewRelay(addr)
	if err != nil {
		return "", err
	}
	fl.relays[name] = re
	fl.cleanup = append(fl.cleanup, cleanup)
	return re.Addr, nil
}

// Relay returns the relay in front of an agent, by the agent's id, or between an entry
// and its store or host list, by a name such as "entry-1-store".
func (fl *Fleet) Relay(name string) *Relay { return fl.relays[name] }

// StartGateway starts a gateway that uses the store at an address, and waits until it is
// ready. The settings in extra are added to the required ones, and replace those of the
// same name.
func (fl *Fleet) StartGateway(name, store string, lo Location, extra map[string]any) (*Process, error) {
	set := map[string]any{
		"store": store, "zone": lo.Zone, "regions": map[core.Zone]core.Region{lo.Zone: lo.Region},
		"readiness-path": "/ready", "drain-limit": "4s",
	}
	for _, field := range []string{"listen", "readiness", "siblings", "admin"} {
		addr, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		set[field] = addr
	}
	for field, val := range extra {
		set[field] = val
	}
	path, err := fl.writeSettings(name, set)
	if err != nil {
		return nil, err
	}
	pr, err := fl.Start(name, "skylarkstand", "gateway", "--settings", path)
	if err != nil {
		return nil, err
	}
	pr.Addr = set["listen"].(string)
	pr.URL = "http://" + set["readiness"].(string)
	return pr, fl.awaitReady(pr, "/ready")
}

func (fl *Fleet) writeSettings(name string, set map[string]any) (string, error) {
	raw, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return "", eris.Wrap(err, name)
	}
	path := filepath.Join(fl.dir, name+".jsonc")
	return path, eris.Wrap(os.WriteFile(path, raw, 0o600), name)
}

// PublishHosts publishes the fleet's hosts in the host list.
func (fl *Fleet) PublishHosts() error {
	raw, err := json.Marshal(fl.hosts)
	if err != nil {
		return eris.Wrap(err, "the host list could not be published")
	}
	rq, err := http.NewRequest(http.MethodPut, fl.PlatformURL+"/v1/hosts", strings.NewReader(string(raw)))
	if err != nil {
		return eris.Wrap(err, "the host list could not be published")
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return eris.Wrap(err, "the host list could not be published")
	}
	return rs.Body.Close()
}

// Command runs an operator command to its end and returns its output.
func (fl *Fleet) Command(args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(fl.bin, "skylarkstand"), args...).CombinedOutput()
	return string(out), err
}

// Process returns the process with a name, or nil.
func (fl *Fleet) Process(name string) *Process {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.procs[name]
}

func (fl *Fleet) killAll() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, pr := range fl.procs {
		select {
		case <-pr.done:
		default:
			pr.Kill()
		}
	}
	for _, cleanup := range fl.cleanup {
		cleanup()
	}
}
