package splitmix

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The generator SplitMix64 adds the golden ratio to its state and mixes the sum. The test compares with the known first
// numbers of the generator from the seed 0.
func TestMixIsThatOfTheGenerator(t *testing.T) {
	const goldenRatio = uint64(0x9e3779b97f4a7c15)
	state := uint64(0)
	for _, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		state += goldenRatio
		require.Equal(t, want, Mix(state))
	}
}
