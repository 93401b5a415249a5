package load

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/fleet"
)

// clockTick is the unit of processor time in the proc file system.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat, counted from 0 behind the command's name.
const (
	userTimeField      = 11
	systemTimeField    = 12
	residentPagesField = 21
)

// usage is what a process has used so far.
type usage struct {
	cpuTime       time.Duration
	residentBytes int64 // bytes
}

// Cost is what the hosts used during the measurement.
type Cost struct {
	// ProcessorPerSubQueryUs is processor time of all hosts over the attempts
	// that the upstreams saw, in microseconds.
	ProcessorPerSubQueryUs float64 `json:"processor_per_sub_query_us"`
	// ProcessorCores is how many cores one host kept busy on average.
	ProcessorCores float64 `json:"processor_cores"`
	// ResidentMB is the largest resident memory of a host, in megabytes.
	ResidentMB float64 `json:"resident_mb"`
}

func readUsage(pid int) (usage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	_, afterName, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	if !found || len(fields) <= residentPagesField {
		return usage{}, fmt.Errorf("process %d: unexpected stat", pid)
	}
	var values [3]int64
	for i, field := range []int{userTimeField, systemTimeField, residentPagesField} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return usage{}, err
		}
	}
	return usage{
		cpuTime:       time.Duration(values[0]+values[1]) * clockTick,
		residentBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}

// totalUsage adds up the hosts that run; the memory is the largest.
func totalUsage(hosts []*fleet.Host) usage {
	var sum usage
	for _, h := range hosts {
		one, err := readUsage(h.PID())
		if err != nil {
			continue // the host has ended
		}
		sum.cpuTime += one.cpuTime
		sum.residentBytes = max(sum.residentBytes, one.residentBytes)
	}
	return sum
}

// computeCost works the cost out from two readings.
func computeCost(before, after usage, hosts, subQueries int, elapsed time.Duration) Cost {
	cpuTime := after.cpuTime - before.cpuTime
	cost := Cost{
		ProcessorCores: cpuTime.Seconds() / elapsed.Seconds() / float64(hosts),
		ResidentMB:     float64(after.residentBytes) / (1 << 20),
	}
	if subQueries > 0 {
		cost.ProcessorPerSubQueryUs = float64(cpuTime.Microseconds()) / float64(subQueries)
	}
	return cost
}
