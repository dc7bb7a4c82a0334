// Package contract defines the documents that operators write: contracts, services, VMs and data centres. A contract is
// the only source of the limits that a customer's traffic meets.
package contract
