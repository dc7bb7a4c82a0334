package registry

// A revision orders the writes of the store. A store that comes back from a copy has lost its latest
// writes and gives out their revisions again, so what orders two writes is the era of the store, which
// rises with each such return, and then the store's own revision. Both stand in one number, so that
// every comparison of revisions compares the era first.
const (
	// eraShift is the number of bits of the store's own revision: enough for a million writes a second
	// over half a year.
	eraShift     = 44
	maxEra       = 1<<(64-eraShift) - 1
	maxStoreRev  = 1<<eraShift - 1
	storeRevMask = uint64(maxStoreRev)
)

// MakeRevision returns the revision for the store's own revision in an era, and whether both are in
// range. A store without eras is in era 0.
func MakeRevision(era, storeRevision uint64) (revision uint64, ok bool) {
	if era > maxEra || storeRevision > maxStoreRev {
		return 0, false
	}
	return era<<eraShift | storeRevision, true
}

// EraOf returns the era of a revision.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// StoreRevisionOf returns the store's own revision.
func StoreRevisionOf(revision uint64) uint64 { return revision & storeRevMask }
