// Package ctl implements the operators' command-line client: its commands, the
// failover from one host to the next, and the exit codes for scripts.
package ctl
