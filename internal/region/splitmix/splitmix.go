// Package splitmix mixes the bits of hashes, for rendezvous hashing and for hashes of sequences. It is not a
// cryptographic hash, and not a source of random numbers.
package splitmix

// Mix is the finalizer of SplitMix64 (Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators", 2014): a
// bijection in which each bit of the result depends on each bit of value.
func Mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
