package placement

// Stats holds the counters of a Placer since its creation.
type Stats struct {
	Attempts              uint64                 // attempts opened
	Seeded                uint64                 // picks that seed a speed estimate or are a trial after an ejection
	Drawn                 uint64                 // picks by softmax
	Walked                uint64                 // picks by the sorted walk
	WarmingUp             uint64                 // attempts at servers that were warming up
	OtherRegion           uint64                 // attempts in another region
	Ejections             uint64                 // ejections of servers
	AnnouncementsReceived uint64                 // announcements received from other proxies
	FailureReports        uint64                 // failure reports received from other proxies
	TooLate               uint64                 // requests that could not be answered in the time of their client
	Waited                uint64                 // requests that waited for a server
	InTime                uint64                 // requests answered in time
	Late                  uint64                 // requests answered late or not at all
	NoServer              [ReasonFull + 1]uint64 // picks without a server, by reason
	Outcomes              [NotSent + 1]uint64    // attempts by outcome
}

// Stats returns a copy of the current counters.
func (p *Placer) Stats() Stats { return p.stats }
