package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"skylarkstand/test/fleet"
)

const (
	noisyCallers = 300
	// noisyDeadline is shorter than 300 concurrent requests take, so that some cannot be
	// served in time and must be refused immediately.
	noisyDeadline = "200ms"
	quietRequests = 20
)

// noisyNeighbour sends hundreds of concurrent requests of one workspace, while another
// workspace sends its usual requests one after the other.
func (de *demo) noisyNeighbour() error {
	fmt.Printf("\nThe workspace districts sends %d concurrent requests with a deadline of %s;\nmeanwhile the workspace schools sends %d requests:\n", noisyCallers, noisyDeadline, quietRequests)
	var mu sync.Mutex
	var wg sync.WaitGroup
	outcomes := map[string]int{}
	for i := range noisyCallers {
		wg.Go(func() {
			re, err := fleet.Chat(de.entry1.URL, "districts-key", "desk", fmt.Sprintf("flood %d", i), false, map[string]string{"Skylarkstand-Deadline": noisyDeadline})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				outcomes["no reply"]++
			case re.Complete:
				outcomes["answered"]++
				de.complete++
			case re.Error.Ran == "not-run" && re.Error.RetryAfter > 0:
				outcomes["refused, not run, with a time to retry"]++
			default:
				outcomes[fmt.Sprintf("%s, ran: %s", re.Error.Code, re.Error.Ran)]++
			}
		})
	}
	complete, took := 0, make([]time.Duration, quietRequests)
	for i := range quietRequests {
		began := time.Now()
		re, err := de.send(de.entry1, "desk", fmt.Sprintf("usual question %d", i), true)
		if err != nil {
			return err
		}
		if re.Complete {
			complete++
		}
		took[i] = time.Since(began)
	}
	wg.Wait()
	slices.Sort(took)
	de.expect(complete == quietRequests, "schools: %d of %d answered completely, half of them within %s", complete, quietRequests, took[quietRequests/2].Round(time.Millisecond))
	de.expect(outcomes["no reply"] == 0, "districts: %s", describe(outcomes))
	return nil
}
