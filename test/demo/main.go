// Demo runs a small fleet on loopback and shows what callers receive: streamed answers, a
// cascade, an operation that runs at most once, refusals, an evacuation, the loss of an
// agent, a roll-out that is halted, and the bills. It exits non-zero if a check fails.
//
// # Usage
//
//	make demo
package main

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"skylarkstand/core"
	"skylarkstand/test/fleet"
)

func main() {
	bin, dir := "bin", filepath.Join("out", "demo")
	_ = os.RemoveAll(dir)
	fl, cleanup, err := fleet.New(bin, dir)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	de := &demo{fl: fl}
	if err := de.run(); err != nil {
		fmt.Println("demo:", err)
		de.failed++
	}
	cleanup()
	if de.failed > 0 {
		fmt.Printf("\n%d check(s) BROKEN; logs are in %s\n", de.failed, dir)
		os.Exit(1)
	}
	fmt.Println("\nAll promises held.")
}

type demo struct {
	fl *fleet.Fleet
	// failed is the number of failed checks.
	failed int
	// complete is the number of complete answers so far, each of which must be billed.
	complete int
	entry1   *fleet.Process
	entry2   *fleet.Process
}

// expect prints the outcome of a check and counts it if it failed.
func (de *demo) expect(ok bool, format string, args ...any) {
	mark := "ok    "
	if !ok {
		mark = "BROKEN"
		de.failed++
	}
	fmt.Printf("  %s %s\n", mark, fmt.Sprintf(format, args...))
}

func (de *demo) run() error {
	if err := de.start(); err != nil {
		return err
	}
	steps := []func() error{de.chat, de.cascade, de.atMostOnce, de.refusals, de.zones, de.order, de.noisyNeighbour, de.killAgent, de.rollOut, de.stop, de.bill}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (de *demo) start() error {
	fmt.Println("Starting stand-ins for the platform, three engines, a plain service and two entries …")
	muc, nue := fleet.Location{Zone: "muc-a", Region: "muc"}, fleet.Location{Zone: "nue-a", Region: "nue"}
	desk, drafter := core.ModelVersion{Model: "desk", Version: "v1"}, core.ModelVersion{Model: "drafter", Version: "v1"}
	fl := de.fl
	err := fl.StartPlatform(map[string]float64{"desk@v1": 0.7, "drafter@v1": 0.95})
	for _, start := range []func() error{
		func() error { return fl.StartEngine("desk-1", desk, muc) },
		func() error { return fl.StartEngine("desk-2", desk, muc) },
		func() error { return fl.StartEngine("drafter-1", drafter, muc, "--words", "60") },
		func() error { return fl.StartService("subsidy-1", "subsidy", muc) },
		func() (err error) { de.entry1, err = fl.StartEntry("entry-1", muc, nil); return },
		func() (err error) { de.entry2, err = fl.StartEntry("entry-2", nue, nil); return },
	} {
		if err == nil {
			err = start()
		}
	}
	if err != nil {
		return err
	}
	out, err := fl.Command("apply", filepath.Join("test", "demo", "landesamt.jsonc"), "--store", fl.StoreURL, "--why", "first set-up", "--who", "demo", "--hosts", fl.PlatformURL)
	fmt.Print("  $ skylarkstand apply landesamt.jsonc --why 'first set-up'\n  ", out)
	if err != nil {
		return err
	}
	return de.ready()
}

// ready waits until both entries answer, for up to 10 s.
func (de *demo) ready() error {
	for _, pr := range []*fleet.Process{de.entry1, de.entry2} {
		deadline := time.Now().Add(10 * time.Second)
		for {
			re, err := fleet.Chat(pr.URL, "schools-key", "drafter", "ready?", false, nil)
			if err != nil {
				return err
			}
			if re.Status == 200 {
				de.complete++
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after 10 s: %s", pr.Name, re)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// send requests a completion for the workspace schools and counts complete answers.
func (de *demo) send(pr *fleet.Process, model, prompt string, stream bool) (*fleet.Reply, error) {
	re, err := fleet.Chat(pr.URL, "schools-key", model, prompt, stream, nil)
	if err == nil && re.Complete {
		de.complete++
	}
	return re, err
}

func (de *demo) chat() error {
	fmt.Println("\nA quick question, streamed through either entry:")
	for _, pr := range []*fleet.Process{de.entry1, de.entry2} {
		re, err := de.send(pr, "desk", "Which lamp replaces a T8 tube?", true)
		if err != nil {
			return err
		}
		de.expect(re.Complete && len(strings.Fields(re.Text)) == 16, "%s: %s", pr.Name, re)
	}
	return nil
}

func (de *demo) cascade() error {
	fmt.Println("\nTwelve questions to the cascade desk -> drafter; hard ones go on to the drafter:")
	versions := map[string]int{}
	for i := range 12 {
		re, err := de.send(de.entry1, "quick", fmt.Sprintf("question %d", i), i%2 == 0)
		if err != nil {
			return err
		}
		if !re.Complete {
			de.expect(false, "question %d: %s", i, re)
		}
		versions[re.Header.Get("Skylarkstand-Version")]++
	}
	de.expect(versions["desk@v1"] > 0 && versions["drafter@v1"] > 0, "answered by %s", describe(versions))
	return nil
}

// describe lists how often each outcome was seen.
func describe(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d times", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}

func (de *demo) atMostOnce() error {
	fmt.Println("\nOne subsidy claim, sent six times at once with one key over both entries:")
	var wg sync.WaitGroup
	got := make([]*fleet.Reply, 6)
	for i := range got {
		wg.Go(func() {
			pr := de.entry1
			if i%2 == 1 {
				pr = de.entry2
			}
			got[i], _ = fleet.Call(pr.URL, "schools-key", "subsidy/claim", "school-17-2026", []byte(`{"lamps":120}`))
		})
	}
	wg.Wait()
	for _, re := range got {
		if re == nil {
			return errors.New("a call of subsidy/claim got no reply; see the logs of the entries")
		}
		if re.Complete {
			de.complete++
		}
	}
	retried, err := fleet.Call(de.entry2.URL, "schools-key", "subsidy/claim", "school-17-2026", []byte(`{"lamps":120}`))
	if err != nil {
		return err
	}
	if retried.Complete {
		de.complete++
	}
	var runs []struct{ Operation, Key string }
	if err := fleet.GetJSON(de.fl.Process("subsidy-1-service").URL+"/journal", &runs); err != nil {
		return err
	}
	de.expect(len(runs) == 1, "the service ran the claim %d time(s)", len(runs))
	de.expect(retried.Status == 200, "sent again later: %d %s", retried.Status, strings.TrimSpace(string(retried.Body)))
	other, err := fleet.Call(de.entry1.URL, "schools-key", "subsidy/claim", "school-17-2026", []byte(`{"lamps":7}`))
	if err != nil {
		return err
	}
	de.expect(other.Error.Code == "key-reused" && other.Error.Ran == "not-run", "same key, other body: %s", other)
	return nil
}

func (de *demo) refusals() error {
	fmt.Println("\nRequests that are refused and not billed:")
	for _, rq := range []struct{ key, model, code string }{
		{"districts-key", "drafter", "not-allowed"},
		{"nobody", "desk", "unauthorized"},
		{"schools-key", "dsek", "unknown-model"},
	} {
		re, err := fleet.Chat(de.entry1.URL, rq.key, rq.model, "hello", false, nil)
		if err != nil {
			return err
		}
		de.expect(re.Error.Code == rq.code && re.Error.Ran == "not-run", "%s", re)
	}
	return nil
}

func (de *demo) order() error {
	fmt.Println("\nAn order to an engine that ignores fencing numbers, through its agent:")
	out, err := de.fl.Command("order", "desk-2", `{"load":"desk@v2"}`, "--store", de.fl.StoreURL, "--hosts", de.fl.PlatformURL)
	de.expect(err == nil, "%s", strings.TrimSpace(out))
	return nil
}

func (de *demo) killAgent() error {
	fmt.Println("\nForty questions while the agent desk-1 is killed in the middle:")
	var mu sync.Mutex
	outcomes := map[string]int{}
	var wg sync.WaitGroup
	for i := range 40 {
		if i == 20 {
			de.fl.Process("desk-1").Kill()
		}
		wg.Go(func() {
			re, err := fleet.Chat(de.entry1.URL, "schools-key", "desk", fmt.Sprintf("kill %d", i), true, nil)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				outcomes["no reply"]++
			case re.Complete && len(strings.Fields(re.Text)) == 16:
				outcomes["whole answer"]++
				de.complete++
			case re.Complete:
				outcomes["cut answer that looks complete"]++
			case re.Error.Ran != "":
				outcomes["failed, ran: "+re.Error.Ran]++
			default:
				outcomes["cut without an error"]++
			}
		})
		time.Sleep(3 * time.Millisecond)
	}
	wg.Wait()
	de.expect(outcomes["cut answer that looks complete"]+outcomes["cut without an error"]+outcomes["no reply"] == 0, "%s", describe(outcomes))
	return nil
}

func (de *demo) stop() error {
	fmt.Println("\nA planned stop with a long answer in flight:")
	var wg sync.WaitGroup
	var re *fleet.Reply
	wg.Go(func() { re, _ = de.send(de.entry1, "drafter", "a long draft #words=600 ", true) })
	time.Sleep(300 * time.Millisecond)
	err := de.entry1.Stop()
	wg.Wait()
	de.expect(re != nil && re.Complete && len(strings.Fields(re.Text)) == 600, "the answer in flight: %v", re)
	de.expect(err == nil, "entry-1 ended with %v", exitText(err))
	for _, name := range []string{"entry-2", "drafter-1", "desk-2", "subsidy-1"} {
		err := de.fl.Process(name).Stop()
		de.expect(err == nil, "%s ended with %v", name, exitText(err))
	}
	return nil
}

func exitText(err error) string {
	if err == nil {
		return "exit 0"
	}
	return err.Error()
}

func (de *demo) bill() error {
	fmt.Println("\nThe bill:")
	out, err := de.fl.Command("bill", "--store", de.fl.StoreURL, "--list")
	lines := strings.Split(strings.TrimSpace(out), "\n")
	bills := 0
	for _, line := range lines {
		if strings.HasPrefix(line, "{") {
			bills++
		} else {
			fmt.Println("  ", line)
		}
	}
	de.expect(err == nil, "no request is billed twice")
	de.expect(bills == de.complete, "%d complete answers, %d bills", de.complete, bills)
	return nil
}
