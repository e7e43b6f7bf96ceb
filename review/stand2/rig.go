// Stand2 runs the scripted cases of the second review. Each case starts gateways as processes with the command of the
// deploy file, in front of stand-ins for the platform's store, its runners and its clients, which live in this process.
//
// # Usage
//
//	stand2 CASE FOLDER   // exit code 1: the rule was broken, 0: it held, 2: the case could not run
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"skylarkstand/standin/kv"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// object is a JSON object.
type object = map[string]any

// rig is a small deployment.
type rig struct {
	dir     string
	trouble bool
	began   time.Time
	store   *kv.Store
	// storeAddr is the address of the store.
	storeAddr string
	memoryMB  int
	gateways  []*gateway

	mu     sync.Mutex
	record *bufio.Writer
	seq    int
}

// newRig starts a store. The returned function ends all processes and closes the record.
func newRig(folder string, memoryMB int) (*rig, func(), error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, nil, err
	}
	rg := &rig{
		dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), store: kv.New(), memoryMB: memoryMB, record: bufio.NewWriter(file),
	}
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	rg.storeAddr = li.Addr().String()
	go func() { _ = http.Serve(li, rg.store) }()
	return rg, func() {
		for _, gw := range rg.gateways {
			gw.end()
		}
		rg.mu.Lock()
		defer rg.mu.Unlock()
		_ = rg.record.Flush()
		file.Close()
		os.RemoveAll(dir)
	}, nil
}

// note writes a line to the record, with the time since the start.
func (rg *rig) note(format string, args ...any) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	fmt.Fprintf(rg.record, "%8.3f  %s\n", time.Since(rg.began).Seconds(), fmt.Sprintf(format, args...))
}

// nextID returns the id of a new request.
func (rg *rig) nextID() string {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.seq++
	return fmt.Sprintf("%016x", rg.seq)
}

// gateway is a process of the product.
type gateway struct {
	rg                        *rig
	name, listen, ready, logs string
	settings                  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
	starts  int
}

func freeAddr() (string, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer li.Close()
	return li.Addr().String(), nil
}

// addGateway writes the settings of a gateway, as the template of the deploy file yields them for a machine of the
// site, and starts it.
func (rg *rig) addGateway(name, zone string, extra object) (*gateway, error) {
	var addrs [5]string
	for i := range addrs {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	set := object{
		"listen": addrs[0], "readiness": addrs[1], "readiness-path": "/-/readyz", "siblings": addrs[2], "seeds": []string{}, "seed-listen": addrs[3],
		"admin": addrs[4], "zone": zone, "regions": object{"sapporo-a": "doo-central", "otaru-b": "doo-central", "kushiro-a": "doto-east"},
		"store": rg.storeAddr, "session-gap": "5s", "exposure": 0.15, "exposure-slack": 30, "drain-limit": "8s",
		"repeats": object{"window": "10s", "ratio": 0.9, "slack": 54}, "warm-up": object{}, "memory": rg.memoryMB,
	}
	for key, val := range extra {
		set[key] = val
	}
	raw, err := json.Marshal(set)
	if err != nil {
		return nil, err
	}
	gw := &gateway{
		rg: rg, name: name, listen: addrs[0], ready: addrs[1], settings: filepath.Join(rg.dir, name+".jsonc"), logs: filepath.Join(rg.dir, name+".log"),
	}
	if err := os.WriteFile(gw.settings, raw, 0o600); err != nil {
		return nil, err
	}
	rg.gateways = append(rg.gateways, gw)
	return gw, gw.start()
}

// start starts the process by the command of the deploy file.
func (gw *gateway) start() error {
	out, err := os.OpenFile(gw.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/skylarkstand", "gateway", "--settings", gw.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	gw.mu.Lock()
	gw.cmd, gw.done = cmd, done
	gw.starts++
	gw.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(done)
	}()
	gw.rg.note("%s started, process %d, callers at %s", gw.name, cmd.Process.Pid, gw.listen)
	return nil
}

// signal sends a signal to the process.
func (gw *gateway) signal(sig syscall.Signal) {
	gw.mu.Lock()
	defer gw.mu.Unlock()
	gw.rg.note("%s gets %s", gw.name, sig)
	_ = gw.cmd.Process.Signal(sig)
}

// end ends the process for good.
func (gw *gateway) end() {
	gw.mu.Lock()
	gw.stopped = true
	cmd, done := gw.cmd, gw.done
	gw.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}

// isReady asks the readiness address as the platform does.
func (gw *gateway) isReady() bool {
	cl := http.Client{Timeout: time.Second}
	rs, err := cl.Get("http://" + gw.ready + "/-/readyz")
	if err != nil {
		return false
	}
	rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// awaitReady waits until a gateway is ready.
func (gw *gateway) awaitReady() error {
	for range 200 {
		if gw.isReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("a gateway did not get ready")
}

// residentMB returns the private memory of the process in MB: pages of its own, without those of files.
func (gw *gateway) residentMB() float64 {
	gw.mu.Lock()
	pid := gw.cmd.Process.Pid
	gw.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// client is a caller that keeps its connection.
type client struct {
	rg   *rig
	addr string
	nc   net.Conn
	br   *bufio.Reader
}

// request is one request of a client.
type request struct {
	id, method, path, key string
	header                http.Header
	body                  []byte
	deadline              time.Duration
}

// answer is what a client got. err is set if no whole answer came; kept is set if the connection had carried a request
// before.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	kept   bool
}

// send sends a request and reads the whole answer.
func (cl *client) send(rq request) answer {
	ans := answer{kept: cl.nc != nil}
	if cl.nc == nil {
		nc, err := net.DialTimeout("tcp", cl.addr, time.Second)
		if err != nil {
			ans.err = err
			return ans
		}
		cl.nc, cl.br = nc, bufio.NewReader(nc)
	}
	_ = cl.nc.SetDeadline(time.Now().Add(rq.deadline + time.Second))
	if _, err := cl.nc.Write(rq.bytes()); err != nil {
		cl.close()
		ans.err = err
		return ans
	}
	rs, err := http.ReadResponse(cl.br, &http.Request{Method: rq.method})
	if err != nil {
		cl.close()
		ans.err = err
		return ans
	}
	defer rs.Body.Close()
	var buf bytes.Buffer
	_, err = buf.ReadFrom(rs.Body)
	ans.status, ans.header, ans.body, ans.err = rs.StatusCode, rs.Header, buf.Bytes(), err
	if err != nil || rs.Close {
		cl.close()
	}
	return ans
}

func (rq *request) bytes() []byte {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Skylarkstand-Attempt-Id: %s\r\nX-Skylarkstand-Deadline-Ms: %d\r\n", rq.method, rq.path, rq.id, rq.deadline.Milliseconds())
	if rq.key != "" {
		fmt.Fprintf(&buf, "X-Skylarkstand-Key: %s\r\n", rq.key)
	}
	_ = rq.header.Write(&buf)
	if rq.method == http.MethodPost {
		fmt.Fprintf(&buf, "Content-Length: %d\r\n", len(rq.body))
	}
	buf.WriteString("\r\n")
	buf.Write(rq.body)
	return buf.Bytes()
}

func (cl *client) close() {
	if cl.nc != nil {
		cl.nc.Close()
		cl.nc = nil
	}
}
