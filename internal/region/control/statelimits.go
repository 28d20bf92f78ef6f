package control

import (
	"fieldrelay/internal/region/register"
	"fieldrelay/internal/region/ring"
	"fieldrelay/internal/region/settings"
)

// Parts of the resources of a machine that the registers may take.
const (
	bytesPerMB  = 1_000_000
	bitsPerByte = 8
	// linkFraction is the part of the time in which a machine that lost its disk must be back that the transfer of all
	// registers may take on its link. The rest is for the detection, the change of the voters and the writes.
	linkFraction = 1.0 / 3
	// memoryFraction is small because a snapshot that is encoded and another that is written are in memory, too.
	memoryFraction = 1.0 / 10
	// diskFraction allows for two files with a snapshot and the records after it.
	diskFraction = 0.19
	// ringDiskFraction is the part of the disk that the files of the ring may take together.
	ringDiskFraction = 7.0 / 8
	// minRegisterBytes is the limit on machines with less of everything.
	minRegisterBytes = 1 << 20
	// groupFraction is the part of all registers that a single one may take: a register is sent as one message.
	groupFraction = 1.0 / 4
)

// registerLimits derives the limits on the registers from the resources of the machine.
func registerLimits(own *settings.Settings) register.Limits {
	available := own.Limits.MemoryMB * bytesPerMB * memoryFraction
	available = min(available, diskBytes(own)*diskFraction)
	if own.Limits.LinkMbps > 0 {
		perSecond := own.Limits.LinkMbps * bytesPerMB / bitsPerByte
		available = min(available, perSecond*own.Bounds.SyncFor().Seconds()*linkFraction)
	}
	available = max(available, minRegisterBytes)
	return register.Limits{Bytes: int(available), ValueBytes: int(available * groupFraction)}
}

// maxRingBytes returns the limit on the files of the ring together.
func maxRingBytes(own *settings.Settings) int64 {
	return int64(diskBytes(own) * ringDiskFraction)
}

// diskBytes returns the size of the disk. If it is not set, it is the one for which a ring has its default size.
func diskBytes(own *settings.Settings) float64 {
	if own.Limits.DiskMB > 0 {
		return own.Limits.DiskMB * bytesPerMB
	}
	return ring.DefaultMaxBytes / ringDiskFraction
}
