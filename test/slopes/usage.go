package main

import (
	"bytes"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"skylarkstand/test/fleet"
)

// usage is what a process has used: processor time in seconds since its start,
// and resident memory in bytes.
type usage struct{ processor, resident float64 }

// clockTick is the kernel's unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

func usageOf(pr *fleet.Process) (usage, error) {
	var us usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pr.PID()))
	if err != nil {
		return us, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, at := range []int{11, 12} {
		ticks, err := strconv.ParseInt(fields[at], 10, 64)
		if err != nil {
			return us, err
		}
		us.processor += float64(ticks) * clockTick.Seconds()
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pr.PID()))
	if err != nil {
		return us, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	us.resident = float64(pages * int64(os.Getpagesize()))
	return us, err
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
