// Package telemetry provides the structured log of a daemon. A message is a short sentence with the
// name of the daemon's part in front. Log volume is bounded: a sentence about the same subject,
// which is its first key-value pair, is written a limited number of times per interval, and lines
// about single requests share a rate limit. RingWriter decouples the log from a slow reader.
package telemetry
