package fleet

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Usage is the processor time that a process has consumed since its start, and its
// resident memory in bytes.
type Usage struct {
	Processor time.Duration
	Resident  int64
}

const (
	// clockTick is the kernel's unit of processor time in /proc: 100 per second on every
	// platform that Go supports under Linux.
	clockTick = 10 * time.Millisecond
	// Indexes of the fields of /proc/PID/stat, counted after the name, with the time in
	// user and in kernel mode, and of the field of statm with the resident pages.
	userTicks, systemTicks = 11, 12
	residentPages          = 1
)

// Usage reads the process's usage from /proc.
func (pr *Process) Usage() (Usage, error) {
	var us Usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pr.PID()))
	if err != nil {
		return us, eris.Wrap(err, pr.Name)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, at := range []int{userTicks, systemTicks} {
		ticks, err := strconv.ParseInt(fields[at], 10, 64)
		if err != nil {
			return us, eris.Wrap(err, pr.Name)
		}
		us.Processor += time.Duration(ticks) * clockTick
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pr.PID()))
	if err != nil {
		return us, eris.Wrap(err, pr.Name)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[residentPages], 10, 64)
	us.Resident = pages * int64(os.Getpagesize())
	return us, eris.Wrap(err, pr.Name)
}
