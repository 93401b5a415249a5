// Package load measures a running tier. It generates open-loop load, measures
// latency from the intended send time, injects faults at set times, and compares
// the chosen policies with the naive baseline.
package load
