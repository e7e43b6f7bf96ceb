package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"skylarkstand/core"
	"skylarkstand/core/declaration"
	"skylarkstand/test/fleet"
)

const (
	// rollOutShare is the percentage of new sessions that get the new version.
	rollOutShare = 20
	// rollOutSessions limits the sessions of the step. The guard needs about 25 answers of
	// the bad version to halt it, so this is several times what is needed.
	rollOutSessions = 1500
	// maxExposed is the number of sessions that the bad version may reach.
	maxExposed = 100
)

// rollOut rolls out a version that answers much worse than the stable one, and sends
// requests until the guard has halted it.
func (de *demo) rollOut() error {
	fmt.Printf("\ndesk@v2 is rolled out to %d %% of new sessions, and its answers are bad:\n", rollOutShare)
	if err := de.startRollOut(); err != nil {
		return err
	}
	first, last, exposed := 0, 0, 0
	for i := 1; i <= rollOutSessions && !de.halted(); i++ {
		version, err := de.newSession(de.entry1, i)
		if err != nil {
			return err
		}
		if version == "desk@v2" {
			exposed++
			last = i
			if first == 0 {
				first = i
			}
		}
	}
	de.expect(de.halted(), "the guard has halted desk@v2")
	de.expect(exposed > 0 && exposed <= maxExposed, "it reached %d sessions, the first was session %d, the last session %d", exposed, first, last)
	if err := de.awaitHalt(de.entry2, last); err != nil {
		return err
	}
	exposedAfterHalt := 0
	for i := range 60 {
		pr := de.entry1
		if i%2 == 1 {
			pr = de.entry2
		}
		version, err := de.newSession(pr, rollOutSessions+i)
		if err != nil {
			return err
		}
		if version == "desk@v2" {
			exposedAfterHalt++
		}
	}
	de.expect(exposedAfterHalt == 0, "of 60 more sessions at both entries, %d got desk@v2", exposedAfterHalt)
	return de.showHalt()
}

// startRollOut starts the new version's engine and applies the roll-out.
func (de *demo) startRollOut() error {
	err := putJSON(de.fl.PlatformURL+"/v1/quality", map[string]float64{"desk@v1": 0.7, "desk@v2": 0.25, "drafter@v1": 0.95})
	if err != nil {
		return err
	}
	mv := core.ModelVersion{Model: "desk", Version: "v2"}
	if err := de.fl.StartEngine("desk-v2", mv, fleet.Location{Zone: "muc-a", Region: "muc"}); err != nil {
		return err
	}
	raw, err := os.ReadFile(filepath.Join("test", "demo", "landesamt.jsonc"))
	if err != nil {
		return err
	}
	doc, err := declaration.Parse(raw)
	if err != nil {
		return err
	}
	doc.RollOuts = []declaration.RollOut{{Model: "desk", Version: "v2", Percent: rollOutShare}}
	if raw, err = json.MarshalIndent(doc, "", "  "); err != nil {
		return err
	}
	path := filepath.Join("out", "demo", "roll-out.jsonc")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	out, err := de.fl.Command("apply", path, "--store", de.fl.StoreURL, "--why", "roll out desk v2", "--who", "demo")
	fmt.Print("  $ skylarkstand apply roll-out.jsonc --why 'roll out desk v2'\n  ", out)
	if err != nil {
		return err
	}
	return de.awaitRollOut()
}

// awaitRollOut starts sessions until one gets the new version, for up to 10 s. This shows
// that its engine is linked and that the configuration is in force.
func (de *demo) awaitRollOut() error {
	deadline := time.Now().Add(10 * time.Second)
	for i := 0; ; i++ {
		version, err := de.newSession(de.entry1, -i)
		if err != nil || version == "desk@v2" {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no session got desk@v2 within 10 s; see the logs of desk-v2 and the entries")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitHalt sends requests in a session that got the new version, without its pin, until the
// entry assigns it the stable version, for up to 5 s. This shows that the entry has received
// the halt.
func (de *demo) awaitHalt(pr *fleet.Process, i int) error {
	deadline := time.Now().Add(5 * time.Second)
	for {
		version, err := de.newSession(pr, i)
		if err != nil || version == "desk@v1" {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s has not received the halt within 5 s", pr.Name)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// newSession sends one request in session i, without a pin, and returns the version that
// answered.
func (de *demo) newSession(pr *fleet.Process, i int) (string, error) {
	re, err := fleet.Chat(pr.URL, "schools-key", "desk", fmt.Sprintf("roll-out question %d #words=2 ", i), false,
		map[string]string{"Skylarkstand-Session": fmt.Sprintf("roll-out-%d", i)})
	if err != nil {
		return "", err
	}
	if re.Complete {
		de.complete++
	}
	return re.Header.Get("Skylarkstand-Version"), nil
}

// halted reports whether the configuration in the store contains the halt.
func (de *demo) halted() bool {
	out, err := de.fl.Command("status", "--store", de.fl.StoreURL)
	return err == nil && strings.Contains(out, "were rated badly")
}

// showHalt prints the guard's changes from the history and stops the bad version.
func (de *demo) showHalt() error {
	out, err := de.fl.Command("history", "--store", de.fl.StoreURL)
	if err != nil {
		return err
	}
	for _, line := range strings.Split(out, "\n") {
		if strings.Contains(line, declaration.GuardName) {
			fmt.Println("  ", line)
		}
	}
	err = de.fl.Process("desk-v2").Stop()
	de.expect(err == nil, "desk-v2 ended with %v", exitText(err))
	return nil
}

func putJSON(url string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	rq, err := http.NewRequest(http.MethodPut, url, strings.NewReader(string(raw)))
	if err != nil {
		return err
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return err
	}
	return rs.Body.Close()
}
