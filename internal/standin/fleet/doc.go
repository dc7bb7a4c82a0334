// Package fleet runs a small fleet as separate processes on loopback, for the local example and the scenarios: a stand-in of
// the platform, stand-ins of backend servers, and one daemon per VM.
package fleet
