package load

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/fleet"
)

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// Indices of fields in /proc/PID/stat, counted from 0 after the command name.
const (
	userTimeField      = 11
	systemTimeField    = 12
	residentPagesField = 21
)

// usage is the resource usage of one or more processes.
type usage struct {
	cpuTime       time.Duration
	residentBytes int64
}

// Cost is the resource usage of the hosts during the measurement.
type Cost struct {
	// ProcessorPerSubQueryUs is the CPU time of all hosts divided by the number
	// of requests that the upstreams received, in microseconds.
	ProcessorPerSubQueryUs float64 `json:"processor_per_sub_query_us"`
	// ProcessorCores is the average number of cores that one host kept busy.
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

// totalUsage returns the summed CPU time and the largest resident memory of the
// hosts that are running.
func totalUsage(hosts []*fleet.Host) usage {
	var sum usage
	for _, h := range hosts {
		one, err := readUsage(h.PID())
		if err != nil {
			continue // the host has exited
		}
		sum.cpuTime += one.cpuTime
		sum.residentBytes = max(sum.residentBytes, one.residentBytes)
	}
	return sum
}

// computeCost returns the cost of the time between two usage readings.
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
