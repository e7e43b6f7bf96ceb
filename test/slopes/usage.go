package main

import (
	"runtime"
	"syscall"
	"time"

	"skylarkstand/test/fleet"
)

// usage is what a process has used: processor time in seconds since its start,
// and resident memory in bytes.
type usage struct{ processor, resident float64 }

func usageOf(pr *fleet.Process) (usage, error) {
	us, err := pr.Usage()
	return usage{us.Processor.Seconds(), float64(us.Resident)}, err
}

// ownProcessor is the processor time of this process, in seconds.
func ownProcessor() float64 {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return float64(ru.Utime.Nano()+ru.Stime.Nano()) / float64(time.Second)
}

// heap is the live memory of this process in bytes, once what earlier sections
// left has been collected.
func heap() float64 {
	time.Sleep(flight)
	for range 3 { // Pools are emptied by the second one.
		runtime.GC()
	}
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}
