package main

import (
	"runtime"
	"syscall"
	"time"

	"skylarkstand/test/fleet"
)

// usage is the resource usage of a process: processor time in seconds since its start, and resident
// memory in bytes.
type usage struct{ processor, resident float64 }

func usageOf(pr *fleet.Process) (usage, error) {
	us, err := pr.Usage()
	return usage{us.Processor.Seconds(), float64(us.Resident)}, err
}

// ownProcessorTime returns the processor time that this process has used, in seconds.
func ownProcessorTime() float64 {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return float64(ru.Utime.Nano()+ru.Stime.Nano()) / float64(time.Second)
}

// liveHeap returns the live heap of this process in bytes, after collecting the garbage of earlier
// sections.
func liveHeap() float64 {
	time.Sleep(deliveryTime)
	for range 3 { // A sync.Pool is emptied only by the second collection.
		runtime.GC()
	}
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}
