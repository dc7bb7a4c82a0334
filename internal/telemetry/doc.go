// Package telemetry makes the loggers and the metrics of a daemon. A log line is a short sentence behind the fixed prefix of
// its part, and a sentence that repeats about the same subject, its first key-value pair, is written a bounded number of times per
// interval.
package telemetry
