package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestProfile(t *testing.T) {
	day := 24 * time.Hour
	profile := Profile{Cycle: day, Periods: []Period{
		{Begin: 0, End: 8 * time.Hour}, {Begin: 8 * time.Hour, End: 20 * time.Hour}, {Begin: 20 * time.Hour, End: day},
	}}
	cases := map[string]struct {
		begin, end time.Duration
		want       []int
	}{
		"within one":                       {time.Hour, 2 * time.Hour, []int{0}},
		"up to a boundary":                 {time.Hour, 8 * time.Hour, []int{0}},
		"across a boundary":                {7 * time.Hour, 9 * time.Hour, []int{0, 1}},
		"across midnight":                  {23 * time.Hour, 25 * time.Hour, []int{0, 2}},
		"on the next day":                  {day + 9*time.Hour, day + 10*time.Hour, []int{1}},
		"a day and more":                   {time.Hour, 2 * day, []int{0, 1, 2}},
		"begin equals end":                 {20 * time.Hour, 20 * time.Hour, []int{2}},
		"begin equals end on the next day": {day + 8*time.Hour, day + 8*time.Hour, []int{1}},
	}
	for name, testCase := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, testCase.want, profile.PeriodsDuring(testCase.begin, testCase.end))
		})
	}
	require.Equal(t, []time.Duration{9 * time.Hour, 20 * time.Hour, 24 * time.Hour, 32 * time.Hour}, profile.ChangesFrom(9*time.Hour))
	constant := Constant(nil)
	require.Equal(t, []int{0}, constant.PeriodsDuring(time.Hour, 30*time.Hour))
	require.Equal(t, []time.Duration{time.Hour}, constant.ChangesFrom(time.Hour))
}
