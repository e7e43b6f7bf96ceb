package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"skylarkstand/test/fleet"
)

const (
	hogCallers = 300
	// hogDeadline is below what 300 requests at once take, so that some cannot
	// be served in time and are told so at once.
	hogDeadline = "200ms"
	questions   = 20
)

// hog lets one workspace send hundreds of requests at once, while another asks
// its usual questions.
func (de *demo) hog() error {
	fmt.Printf("\nThe workspace districts sends %d requests at once that must be answered in %s;\nmeanwhile the schools ask %d questions:\n", hogCallers, hogDeadline, questions)
	var mu sync.Mutex
	var wg sync.WaitGroup
	kinds := map[string]int{}
	for i := range hogCallers {
		wg.Go(func() {
			re, err := fleet.Chat(de.one.URL, "districts-key", "desk", fmt.Sprintf("flood %d", i), false, map[string]string{"Skylarkstand-Deadline": hogDeadline})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				kinds["no reply"]++
			case re.Whole:
				kinds["answered"]++
				de.whole++
			case re.Error.Ran == "not-run" && re.Error.RetryAfter > 0:
				kinds["refused, not run, told when to come back"]++
			default:
				kinds[fmt.Sprintf("%s, ran: %s", re.Error.Code, re.Error.Ran)]++
			}
		})
	}
	whole, took := 0, make([]time.Duration, questions)
	for i := range questions {
		began := time.Now()
		re, err := de.ask(de.one, "desk", fmt.Sprintf("usual question %d", i), true)
		if err != nil {
			return err
		}
		if re.Whole {
			whole++
		}
		took[i] = time.Since(began)
	}
	wg.Wait()
	slices.Sort(took)
	de.expect(whole == questions, "schools: %d of %d answered whole, half of them within %s", whole, questions, took[questions/2].Round(time.Millisecond))
	de.expect(kinds["no reply"] == 0, "districts: %v", kinds)
	return nil
}
