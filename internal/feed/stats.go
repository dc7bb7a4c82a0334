package feed

// Stats counts what a Source has done since its start.
type Stats struct {
	// SentBytes are the bytes sent to followers, FullStates the full states among them.
	SentBytes, FullStates uint64
	// ConfigurationBytes are the bytes of configurations sent to other daemons. RefusedTransfers are
	// the requests for one that came while there was too much to send.
	ConfigurationBytes, RefusedTransfers uint64
	// BrokenStreams are the streams from other daemons that broke, FailedTransfers the transfers of a
	// configuration from them.
	BrokenStreams, FailedTransfers uint64
	// Searches counts how often the store was not heard of in time, so that this daemon looked for
	// other readers.
	Searches uint64
}

// Stats returns the counts. Any goroutine may call it.
func (s *Source) Stats() Stats {
	return Stats{
		SentBytes: s.hub.sentBytes.Load(), FullStates: s.hub.fullStates.Load(),
		ConfigurationBytes: s.configurations.sentBytes.Load(), RefusedTransfers: s.configurations.refused.Load(),
		BrokenStreams: s.brokenStreams.Load(), FailedTransfers: s.failedTransfers.Load(), Searches: s.searches.Load(),
	}
}
