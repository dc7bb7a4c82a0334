// Package fleet runs a small fleet as separate processes on loopback: the stand-in for the
// platform, stand-ins for backend servers, and one daemon per VM. The local example, the scenario
// tests and measurements use it.
package fleet
