// Package settings reads and checks the YAML settings file of a daemon. It reports all issues of
// the file at once, each with its line and field.
package settings
