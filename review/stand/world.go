package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"skylarkstand/standin/kv"
)

type object = map[string]any

// Bounds of the small deployment whose settings the gateways have.
const (
	contactTime     = 4 * time.Second
	configApplyTime = 3 * time.Second
	rollbackTime    = 5 * time.Second
)

// world holds the store, the runners and the gateways of a case.
type world struct {
	program string
	// dir is for the settings, and logs for the gateways' logs.
	dir, logs  string
	crashAfter time.Duration
	start      time.Time
	st         *kv.Store
	store      string
	servers    []*http.Server

	mu     sync.Mutex
	record *os.File
	closed bool
	gws    []*gateway
	// processes are the other processes of the case.
	processes []*exec.Cmd
}

// gateway is a gateway process.
type gateway struct {
	name, addr, readiness string
	cmd                   *exec.Cmd
}

// options are the options of a case.
type options struct {
	// program is the program under test, record the file for the record, and logs the folder for the gateways' logs.
	program, record, logs string
	// crashAfter is the time after which a poisonous request crashes its runner.
	crashAfter time.Duration
}

func newWorld(opts options) (*world, error) {
	program, err := filepath.Abs(opts.program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program under test is missing; build it as the deploy file says: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	fi, err := os.Create(opts.record)
	if err != nil {
		return nil, err
	}
	wo := &world{program: program, dir: dir, start: time.Now(), st: kv.New(), record: fi, logs: cmp.Or(opts.logs, dir), crashAfter: opts.crashAfter}
	wo.store, err = wo.serve("127.0.0.1", wo.st)
	return wo, err
}

// serve starts an HTTP server at a free port of an address.
func (wo *world) serve(ip string, ha http.Handler) (string, error) {
	li, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: ha, ReadHeaderTimeout: 10 * time.Second}
	wo.servers = append(wo.servers, srv)
	go func() { _ = srv.Serve(li) }()
	return li.Addr().String(), nil
}

// logf writes a line to the record.
func (wo *world) logf(format string, args ...any) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if !wo.closed {
		fmt.Fprintf(wo.record, "%8.3f "+format+"\n", append([]any{time.Since(wo.start).Seconds()}, args...)...)
	}
}

// addProcess adds a process that ends with the case.
func (wo *world) addProcess(cmd *exec.Cmd) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.processes = append(wo.processes, cmd)
}

// close ends all processes and servers that the case has started.
func (wo *world) close() {
	for _, gw := range wo.gws {
		_ = gw.cmd.Process.Kill()
		_ = gw.cmd.Wait()
	}
	wo.mu.Lock()
	processes := wo.processes
	wo.mu.Unlock()
	for _, cmd := range processes {
		_ = cmd.Process.Kill()
	}
	for _, srv := range wo.servers {
		_ = srv.Close()
	}
	wo.endRecord()
	_ = os.RemoveAll(wo.dir)
}

// endRecord closes the record.
func (wo *world) endRecord() {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	if !wo.closed {
		wo.closed = true
		_ = wo.record.Close()
	}
}

// freeAddr returns an address whose port is free for TCP and UDP.
func freeAddr(ip string) (string, error) {
	li, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer li.Close()
	pc, err := net.ListenPacket("udp", li.Addr().String())
	if err != nil {
		return "", err
	}
	defer pc.Close()
	return li.Addr().String(), nil
}

// startGateways starts one gateway in each of the zones, as the deploy file does, with settings as
// deploy/gateway.jsonc renders them for the small deployment lichtquote.
func (wo *world) startGateways(zones ...string) error {
	var seeds, seedListens []string
	for i := range zones {
		addr, err := freeAddr(fmt.Sprintf("127.0.1.%d", i+1))
		if err != nil {
			return err
		}
		seedListens = append(seedListens, addr)
	}
	seeds = seedListens[:min(3, len(seedListens))]
	for i, zone := range zones {
		ip := fmt.Sprintf("127.0.1.%d", i+1)
		set := object{
			"readiness-path": "/-/readyz", "seeds": seeds, "seed-listen": seedListens[i], "zone": zone,
			"regions": object{"muc-a": "muc", "muc-b": "muc", "nue-a": "nue"}, "store": wo.store,
			"session-gap": "5s", "exposure": 0.15, "exposure-slack": 30, "drain-limit": "8s",
			"repeats": object{"window": "10s", "ratio": 0.9, "slack": 52}, "warm-up": object{}, "memory": 284,
		}
		for _, field := range []string{"listen", "readiness", "siblings", "admin"} {
			addr, err := freeAddr(ip)
			if err != nil {
				return err
			}
			set[field] = addr
		}
		if err := wo.startGateway(fmt.Sprintf("edge-%s-%d", zone, i+1), set); err != nil {
			return err
		}
	}
	return wo.awaitReady()
}

func (wo *world) startGateway(name string, set object) error {
	raw, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(wo.dir, name+".jsonc")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(wo.logs, name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(wo.program, "gateway", "--settings", path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	wo.gws = append(wo.gws, &gateway{name: name, addr: set["listen"].(string), readiness: set["readiness"].(string), cmd: cmd})
	wo.logf("started %s at %s", name, set["listen"])
	return nil
}

// awaitReady waits until all gateways are ready, and then until they count as in touch.
func (wo *world) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, gw := range wo.gws {
		for !gw.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", gw.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	for _, gw := range wo.gws {
		if !gw.ready() {
			return fmt.Errorf("%s is not ready any more", gw.name)
		}
	}
	wo.logf("all gateways are ready and in touch")
	return nil
}

// ready asks as the platform's balancer does.
func (gw *gateway) ready() bool {
	cl := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := cl.Get("http://" + gw.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	defer rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// configure writes a configuration as the operator does.
func (wo *world) configure(version int, tenants, routes []object, services ...string) {
	var list []object
	for _, sv := range services {
		list = append(list, object{"name": sv, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false})
	}
	wo.st.Put("op/config", object{
		"version": version, "routes": routes, "services": list, "tenants": tenants,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	wo.logf("operator: configuration %d is acknowledged, tenants %v", version, tenants)
}
