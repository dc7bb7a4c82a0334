package main

import (
	"errors"
	"time"
)

// Bounds of the site timaglas-mesh.
const (
	configBound = 2500 * time.Millisecond
	contact     = 3 * time.Second
	revokeBound = 5 * time.Second
)

const host = "ficu95.example"

// route returns a route of the operator's configuration.
func route(name, prefix, kind, service string, timeout string) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "Timeout": timeout, "Goal": "1200ms", "Priority": 1,
		"Service": service, "MaxAttempts": 2,
	}
}

// configuration returns a configuration of the operator with the limits of the pages' example.
func configuration(version int, idleTimeout string, services []string, routes ...map[string]any) map[string]any {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false})
	}
	return map[string]any{
		"Version": version, "Routes": routes, "Services": list,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": idleTimeout},
	}
}

var errNotServed = errors.New("a valid request was not served before the disruption")
