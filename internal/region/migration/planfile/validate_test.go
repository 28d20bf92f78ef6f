package planfile

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestFaultsNameKeyAndLine(t *testing.T) {
	cases := map[string]struct {
		content string
		want    []string
	}{
		"not TOML":    {"name = \n", []string{"line 1"}},
		"empty file":  {"", []string{"begin: cannot be blank", "name: cannot be blank", "replace: cannot be blank"}},
		"unknown key": {exampleFile + "[[replace]]\nkind=\"core\"\nold=\"a\"\nnew=\"b\"\nbesides = true\n", []string{"line 82: replace[4].besides: is not known"}},
		"wrong types": {"name = 3\nbegin = true\n" + exampleFile[len("name = \"rack-b\"\nbegin = \"21:30\"\n"):], []string{"line 1: name: ", "line 2: begin: "}},
		"a wrong value and a wrong type": {
			exampleFile[:len(exampleFile)-len("slots = 200\n")] + "slots = \"many\"\n[[stage]]\nbegin = \"x\"\nlasts = \"1s\"\nreplace = [\"i-2\", \"i-2\", \"zz\"]\n",
			[]string{
				`line 33: replace[0].old: "10.1.0.9:80" is in no stage`,
				`line 46: replace[2].old: "core-1" is in no stage`,
				`line 52: replace[3].old: "edge-1" is in no stage`,
				"line 77: period[1].load[1].slots: ",
				"line 79: stage[0].begin: must be a time such as 21:30:00",
				`line 81: stage[0].replace: "i-2" is replaced twice`,
				`line 81: stage[0].replace: "zz" is not the old node of any replacement`,
			},
		},
		"bounds": {
			"name = \"x\"\nbegin = \"24:01\"\nwindow = \"-1s\"\nshare = 1.5\n[room]\nmargin = -0.1\nhosts-lost = 9\n[[replace]]\nkind = \"rack\"\nold = \"a\"\nnew = \"a\"\nzone = \"z\"\n",
			[]string{
				"line 2: begin: must be a time of day",
				"line 3: window: must be a duration",
				"line 4: share: must be no greater than 1",
				"line 6: room.margin: must be no less than 0",
				"line 7: room.hosts-lost: must be no greater than 3",
				"line 9: replace[0].kind: must be a valid value",
				`line 11: replace[0].new: "a" is named twice`,
				"line 12: replace[0].zone: must be empty for an in-place replacement",
			},
		},
		"periods with a gap": {
			"name = \"x\"\nbegin = \"1:00\"\n[[replace]]\nkind = \"core\"\nold = \"a\"\nnew = \"b\"\n[[period]]\nfrom = \"1:00\"\nuntil = \"2:00\"\n[[period]]\nfrom = \"3:00\"\nuntil = \"3:00\"\n[[period.load]]\nregion = \"r\"\nkind = \"server\"\n",
			[]string{
				"line 8: period[0].from: must equal the end of the previous period",
				"line 11: period[1].from: must equal the end of the previous period",
				"line 12: period[1].until: must be after from",
				"line 12: period[1].until: must be 24:00",
				"line 13: period[1].load[0].service: is required for servers",
			},
		},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(testCase.content))
			var faults *FaultsError
			require.True(t, errors.As(err, &faults), "%v", err)
			require.Len(t, faults.Faults, len(testCase.want), "%v", err)
			for index, want := range testCase.want {
				require.Contains(t, faults.Faults[index].Error(), want)
			}
		})
	}
}
