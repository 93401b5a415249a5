// Package processtest tests hosts as separate processes, which are killed,
// frozen, stopped and partitioned under load.
package processtest
