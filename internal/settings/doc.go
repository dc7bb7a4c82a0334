// Package settings reads the YAML settings file of a daemon and reports all faults of the file at once.
package settings
