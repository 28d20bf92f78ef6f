package policy_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/policy"
)

func TestEveryMechanismHasAName(t *testing.T) {
	seen := map[string]bool{}
	for _, name := range policy.Names() {
		require.NotEmpty(t, name)
		require.False(t, seen[name], name)
		seen[name] = true
	}
}

func TestEachNameSwitchesItsMechanismAlone(t *testing.T) {
	for _, name := range policy.Names() {
		switches, err := policy.Parse([]string{name})
		require.NoError(t, err)
		require.Equal(t, name, switches.String())
	}
}

func TestNothingIsOffByDefault(t *testing.T) {
	var switches policy.Switches
	require.Empty(t, switches.String())
	require.False(t, switches.Off(policy.Spill))
	withoutSpill, err := policy.Parse([]string{policy.Spill.String()})
	require.NoError(t, err)
	require.True(t, switches.Union(withoutSpill).Off(policy.Spill))
}

func TestNamesOfRetiredMechanismsStayValid(t *testing.T) {
	for _, name := range []string{"trickle"} {
		switches, err := policy.Parse([]string{name, policy.Spill.String()})
		require.NoError(t, err)
		require.Equal(t, policy.Spill.String(), switches.String())
		require.NotContains(t, policy.Names(), name)
	}
}

func TestUnknownNamesAreRejected(t *testing.T) {
	_, err := policy.Parse([]string{"spill", "spil"})
	var unknown *policy.UnknownError
	require.True(t, errors.As(err, &unknown))
	require.Equal(t, "spil", unknown.Name)
	require.ErrorContains(t, err, "spil;")
}
