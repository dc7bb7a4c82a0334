// Package contract defines the configuration documents that operators write: contracts, services,
// VMs and data centres. It checks them, encodes them as values of the platform's configuration
// service, and merges values into the configuration that a daemon applies. A contract is the only
// source of the limits on a customer's traffic.
//
// Terms of this package:
//
//   - A document has a kind, a name and a generation. The operator raises the generation with each
//     change.
//   - A value is a named list of documents in the platform's configuration service. The service's
//     store gives each value a revision, which grows with each change.
//   - A document is in force while a daemon applies it. That can differ from what the value holds,
//     because a faulty or outdated document does not replace one in force.
//   - A residue is that difference. Daemons exchange residues so that all apply the same documents.
//   - A tombstone records that a document was deleted, and its last generation.
//   - A claim records since when a document lists an identifier that another document lists too.
package contract
