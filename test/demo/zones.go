package main

import (
	"fmt"
	"strings"
	"time"

	"skylarkstand/test/fleet"
)

// inForceLimit is the time within which a configuration change must be in force.
const inForceLimit = 8 * time.Second

// zones shows the refusal of a workspace that is restricted to a region without upstreams,
// and the evacuation of the only availability zone with upstreams.
func (de *demo) zones() error {
	fmt.Println("\nA workspace that is restricted to region nue, which has no engine:")
	re, err := fleet.Chat(de.entry1.URL, "courts-key", "desk", "hello", false, nil)
	if err != nil {
		return err
	}
	de.expect(re.Error.Code == "no-allowed-region" && re.Error.Ran == "not-run", "%s", re)

	fmt.Println("\nAvailability zone muc-a, with all engines, is evacuated and restored:")
	if err := de.evacuate("--why", "power works"); err != nil {
		return err
	}
	if err := de.waitFor("refused", func(re *fleet.Reply) bool { return !re.Complete && re.Error.Ran == "not-run" }); err != nil {
		return err
	}
	if err := de.evacuate("--end", "--why", "power works are over"); err != nil {
		return err
	}
	return de.waitFor("answered", func(re *fleet.Reply) bool { return re.Complete })
}

func (de *demo) evacuate(args ...string) error {
	args = append([]string{"evacuate", "muc-a", "--store", de.fl.StoreURL, "--who", "demo"}, args...)
	out, err := de.fl.Command(args...)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	de.expect(err == nil, "%s: %s", strings.Join(args[:2], " "), lines[len(lines)-1])
	return err
}

// waitFor sends requests to each entry until the reply satisfies wanted. The check fails
// after inForceLimit.
func (de *demo) waitFor(what string, wanted func(*fleet.Reply) bool) error {
	began := time.Now()
	for _, pr := range []*fleet.Process{de.entry1, de.entry2} {
		for {
			re, err := de.send(pr, "desk", "Is anybody there?", false)
			if err != nil {
				return err
			}
			if wanted(re) {
				de.expect(true, "%s: %s", pr.Name, what)
				break
			}
			if time.Since(began) > inForceLimit {
				de.expect(false, "%s: not %s: %s", pr.Name, what, re)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
