package settings

// defaults returns the settings of a file without keys.
func defaults() *Settings {
	return &Settings{
		HeartbeatMS: 1200,
		Limits:      Limits{CPUFraction: 0.25, Cores: 1, MemoryMB: 256, Descriptors: 1024, LinkMbps: 100},
		FaultBudget: FaultBudget{Hosts: 1},
		Bounds: Bounds{
			SeedStaleS:    3,
			AddressReuseS: 2,
			ContactMS:     4000,
			AckByMS:       5000,
			SyncS:         4,
			DrainMS:       4000,
			GraceS:        8,
			LossSlackMS:   200,
			ApplyMS:       2500,
			RevertSlackMS: 250,
			StretchMS:     6000,
			RetryRatio:    0.2,
			RetryWindowS:  10,
			RetryExtra:    10,
			WarmExcess:    1,
			EvacuateMS:    5000,
			HealS:         12,
			PassMS:        300,
			TTLMaxS:       5,
			RetainS:       20,
		},
		CloudAPI: CloudAPI{Rate: 10, MaxLagMS: 1000},
	}
}
