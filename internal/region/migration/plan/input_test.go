package plan

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/migration/capacity"
)

func TestInputErrors(t *testing.T) {
	cases := map[string]func(*Input){
		"is listed twice":                     func(input *Input) { input.Nodes = append(input.Nodes, input.Nodes[0]) },
		"does not exist":                      func(input *Input) { input.Replacements[0].Old.ID = "absent" },
		"already exists":                      func(input *Input) { input.Replacements[0].New.ID = "old-01" },
		"is replaced twice":                   func(input *Input) { input.Replacements[1].Old = input.Replacements[0].Old },
		"replaces two nodes":                  func(input *Input) { input.Replacements[1].New.ID = input.Replacements[0].New.ID },
		"of another kind or service":          func(input *Input) { input.Replacements[0].New.Service = "plain" },
		"replaces a node of another zone":     func(input *Input) { input.Replacements[0].Surge, input.Replacements[0].New.Zone = false, "c" },
		"no expected replacement time":        func(input *Input) { input.Replacements[0].Times = Times{} },
		"consistent input, no surge capacity": func(input *Input) { input.SurgeCapacity = map[SurgePool]int{{"a", capacity.Server}: 0} },
	}
	for reason, change := range cases {
		t.Run(reason, func(t *testing.T) {
			input := smallSite(true)
			change(&input)
			_, err := Make(input)
			var inputError *InputError
			if reason == "consistent input, no surge capacity" {
				require.False(t, errors.As(err, &inputError))
				return
			}
			require.True(t, errors.As(err, &inputError), "%v", err)
			require.Contains(t, inputError.Error(), reason)
		})
	}
}
