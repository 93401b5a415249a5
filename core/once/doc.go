// Package once runs requests that may be executed at most once.
//
// A request id that is a UUIDv7 (called a key) carries its issue time. The hash
// of the key selects a partition, and rendezvous hashing over the live hosts
// selects the home of the partition. The home reserves an interval of issue
// times by conditional writes to one platform object per partition and accepts
// only keys issued within it. The interval of the next holder starts where the
// recorded one ends. Two hosts therefore never accept the same key, regardless
// of clock skew and of pauses, and no platform write is needed per request.
//
// For each request id without an issue time, a claim object is created
// conditionally before the request runs.
package once
