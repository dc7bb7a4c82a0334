// Package peerapi holds the messages between daemons, generated from proto/peer.proto. To regenerate them, build the tools
// of tools/go.mod into bin and run "buf generate" in proto.
package peerapi
