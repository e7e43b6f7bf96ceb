// Demo runs a small fleet on loopback and shows what callers get: streamed
// answers, a cascade, an operation that runs at most once, the loss of an
// agent in the middle, and the bills. It exits non-zero when a promise broke.
//
// # Usage
//
//	make demo
package main

import (
	"fmt"
	"os"
	"path/filepath"
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
		de.broken++
	}
	cleanup()
	if de.broken > 0 {
		fmt.Printf("\n%d promise(s) BROKEN; logs are in %s\n", de.broken, dir)
		os.Exit(1)
	}
	fmt.Println("\nAll promises held.")
}

type demo struct {
	fl     *fleet.Fleet
	broken int
	whole  int
	one    *fleet.Process
	two    *fleet.Process
}

func (de *demo) expect(ok bool, format string, args ...any) {
	mark := "ok    "
	if !ok {
		mark = "BROKEN"
		de.broken++
	}
	fmt.Printf("  %s %s\n", mark, fmt.Sprintf(format, args...))
}

func (de *demo) run() error {
	if err := de.start(); err != nil {
		return err
	}
	steps := []func() error{de.chat, de.cascade, de.atMostOnce, de.refusals, de.zones, de.order, de.hog, de.killAgent, de.rollOut, de.stop, de.bill}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (de *demo) start() error {
	fmt.Println("Starting the platform's stand-ins, three engines, a plain service and two entries …")
	muc, nue := fleet.Place{Zone: "muc-a", Region: "muc"}, fleet.Place{Zone: "nue-a", Region: "nue"}
	desk, drafter := core.ModelVersion{Model: "desk", Version: "v1"}, core.ModelVersion{Model: "drafter", Version: "v1"}
	fl := de.fl
	err := fl.StartPlatform(map[string]float64{"desk@v1": 0.7, "drafter@v1": 0.95})
	for _, start := range []func() error{
		func() error { return fl.StartEngine("desk-1", desk, muc) },
		func() error { return fl.StartEngine("desk-2", desk, muc) },
		func() error { return fl.StartEngine("drafter-1", drafter, muc, "--words", "60") },
		func() error { return fl.StartService("subsidy-1", "subsidy", muc) },
		func() (err error) { de.one, err = fl.StartEntry("entry-1", muc, nil); return },
		func() (err error) { de.two, err = fl.StartEntry("entry-2", nue, nil); return },
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

// ready waits until both entries answer.
func (de *demo) ready() error {
	for _, pr := range []*fleet.Process{de.one, de.two} {
		deadline := time.Now().Add(10 * time.Second)
		for {
			re, err := fleet.Chat(pr.URL, "schools-key", "drafter", "ready?", false, nil)
			if err != nil {
				return err
			}
			if re.Status == 200 {
				de.whole++
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready: %s", pr.Name, re)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (de *demo) ask(pr *fleet.Process, model, prompt string, stream bool) (*fleet.Reply, error) {
	re, err := fleet.Chat(pr.URL, "schools-key", model, prompt, stream, nil)
	if err == nil && re.Whole {
		de.whole++
	}
	return re, err
}

func (de *demo) chat() error {
	fmt.Println("\nA quick question, streamed through either entry:")
	for _, pr := range []*fleet.Process{de.one, de.two} {
		re, err := de.ask(pr, "desk", "Which lamp replaces a T8 tube?", true)
		if err != nil {
			return err
		}
		de.expect(re.Whole && len(strings.Fields(re.Text)) == 16, "%s: %s", pr.Name, re)
	}
	return nil
}

func (de *demo) cascade() error {
	fmt.Println("\nTwelve questions to the cascade desk -> drafter; hard ones go on to the drafter:")
	by := map[string]int{}
	for i := range 12 {
		re, err := de.ask(de.one, "quick", fmt.Sprintf("question %d", i), i%2 == 0)
		if err != nil {
			return err
		}
		if !re.Whole {
			de.expect(false, "question %d: %s", i, re)
		}
		by[re.Header.Get("Skylarkstand-Version")]++
	}
	de.expect(by["desk@v1"] > 0 && by["drafter@v1"] > 0, "answered by %v", by)
	return nil
}

func (de *demo) atMostOnce() error {
	fmt.Println("\nOne subsidy claim, sent six times at once with one key over both entries:")
	var wg sync.WaitGroup
	got := make([]*fleet.Reply, 6)
	for i := range got {
		wg.Go(func() {
			pr := de.one
			if i%2 == 1 {
				pr = de.two
			}
			got[i], _ = fleet.Call(pr.URL, "schools-key", "subsidy/claim", "school-17-2026", []byte(`{"lamps":120}`))
		})
	}
	wg.Wait()
	for _, re := range got {
		if re == nil {
			return fmt.Errorf("a call got no reply")
		}
		if re.Whole {
			de.whole++
		}
	}
	again, err := fleet.Call(de.two.URL, "schools-key", "subsidy/claim", "school-17-2026", []byte(`{"lamps":120}`))
	if err != nil {
		return err
	}
	if again.Whole {
		de.whole++
	}
	var runs []struct{ Operation, Key string }
	if err := fleet.GetJSON(de.fl.Process("subsidy-1-service").URL+"/journal", &runs); err != nil {
		return err
	}
	de.expect(len(runs) == 1, "the service ran the claim %d time(s)", len(runs))
	de.expect(again.Status == 200, "asked again later: %d %s", again.Status, strings.TrimSpace(string(again.Body)))
	other, err := fleet.Call(de.one.URL, "schools-key", "subsidy/claim", "school-17-2026", []byte(`{"lamps":7}`))
	if err != nil {
		return err
	}
	de.expect(other.Error.Code == "key-reused" && other.Error.Ran == "not-run", "same key, other body: %s", other)
	return nil
}

func (de *demo) refusals() error {
	fmt.Println("\nRequests that are refused, and are not billed:")
	for _, rq := range []struct{ key, model, code string }{
		{"districts-key", "drafter", "not-allowed"},
		{"nobody", "desk", "unauthorized"},
		{"schools-key", "dsek", "unknown-model"},
	} {
		re, err := fleet.Chat(de.one.URL, rq.key, rq.model, "hello", false, nil)
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
	kinds := map[string]int{}
	var wg sync.WaitGroup
	for i := range 40 {
		if i == 20 {
			de.fl.Process("desk-1").Kill()
		}
		wg.Go(func() {
			re, err := fleet.Chat(de.one.URL, "schools-key", "desk", fmt.Sprintf("kill %d", i), true, nil)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				kinds["no reply"]++
			case re.Whole && len(strings.Fields(re.Text)) == 16:
				kinds["whole answer"]++
				de.whole++
			case re.Whole:
				kinds["cut answer that looks whole"]++
			case re.Error.Ran != "":
				kinds["told: "+re.Error.Ran]++
			default:
				kinds["cut without a word"]++
			}
		})
		time.Sleep(3 * time.Millisecond)
	}
	wg.Wait()
	de.expect(kinds["cut answer that looks whole"]+kinds["cut without a word"]+kinds["no reply"] == 0, "%v", kinds)
	return nil
}

func (de *demo) stop() error {
	fmt.Println("\nA planned stop with a long answer in flight:")
	var wg sync.WaitGroup
	var re *fleet.Reply
	wg.Go(func() { re, _ = de.ask(de.one, "drafter", "a long draft #words=600 ", true) })
	time.Sleep(300 * time.Millisecond)
	err := de.one.Stop()
	wg.Wait()
	de.expect(re != nil && re.Whole && len(strings.Fields(re.Text)) == 600, "the answer in flight: %v", re)
	de.expect(err == nil, "entry-1 ended with %v", errText(err))
	for _, name := range []string{"entry-2", "drafter-1", "desk-2", "subsidy-1"} {
		err := de.fl.Process(name).Stop()
		de.expect(err == nil, "%s ended with %v", name, errText(err))
	}
	return nil
}

func errText(err error) string {
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
	de.expect(bills == de.whole, "%d whole answers, %d bills", de.whole, bills)
	return nil
}
