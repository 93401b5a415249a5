package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// residentKB returns the current and the highest resident memory of a process in KB.
func residentKB(pid int) (now, highest int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	value := func(line string) int {
		fields := strings.Fields(line)
		kb, _ := strconv.Atoi(fields[1]) // always a number
		return kb
	}
	for scanner := bufio.NewScanner(bytes.NewReader(data)); scanner.Scan(); {
		switch line := scanner.Text(); {
		case strings.HasPrefix(line, "VmRSS:"):
			now = value(line)
		case strings.HasPrefix(line, "VmHWM:"):
			highest = value(line)
		}
	}
	return now, highest
}

// processorSeconds returns the processor time that a process has used. A tick of the clock
// in /proc is a hundredth of a second.
func processorSeconds(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64) // always a number
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100
}
