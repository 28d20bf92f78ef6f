package register

import (
	"math"

	pb "fieldrelay/api/fieldrelay/v1"
)

// MaxRegisters is the maximum number of registers of a system. At the limit, no register with a new name can be
// written.
const MaxRegisters = 65536

// Limits bound the registers that one machine stores, in bytes of their approximate encoded size; 0 means no limit.
// They keep a machine that lost its disk able to collect all registers in time. The values that other machines propose
// are accepted regardless of the limits.
type Limits struct {
	Bytes      int // all registers together, from which on puts are refused
	ValueBytes int // one register
}

// reservedForNames is the part of Limits.Bytes that registers with new names may take in addition: the puts of some
// applications must not keep others from new locks and counters, which are small.
const reservedForNames = 1.0 / 8

func (l Limits) acceptsNewNames(bytes int) bool {
	return l.Bytes == 0 || bytes < l.Bytes+int(float64(l.Bytes)*reservedForNames)
}

// hasCapacity reports whether the named register exists or may be added.
func (r *Replica) hasCapacity(name string) bool {
	if r.registers[name] != nil {
		return true
	}
	return len(r.registers) < MaxRegisters && r.limits.acceptsNewNames(r.bytes)
}

// freeBytes returns the number of bytes by which a value may still grow; it may be negative.
func (r *Replica) freeBytes(value *pb.RegisterValue) int {
	free := math.MaxInt
	if r.limits.Bytes > 0 {
		free = r.limits.Bytes - r.bytes
	}
	if r.limits.ValueBytes > 0 {
		free = min(free, r.limits.ValueBytes-valueBytes(value))
	}
	return free
}
