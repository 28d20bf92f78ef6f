package planfile

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
	"fieldrelay/internal/settings"
)

const wholeFile = `name = "rack-b"
begin = "21:30"
window = "6h"

[room]
margin = 0.2
hosts-lost = 1
zones-lost = 0
regions-lost = 0

[[place]]
zone = "hall-a"
kind = "server"
free = 1

[[capacity]]
kind = "edge"
slots = 400

[[capacity]]
kind = "server"
service = "lm"
reading = 38700

[[capacity]]
kind = "server"
service = "lm"
new = true
slots = 96

[[replace]]
kind = "server"
old = "10.1.0.9:80"
new = "10.1.1.9:80"
beside = true
start = "20s"

[[replace]]
kind = "server"
old = "i-2"
new = "10.1.1.10:80"
beside = false

[[replace]]
kind = "core"
old = "core-1"
new = "core-9"
beside = true

[[replace]]
kind = "edge"
old = "edge-1"
new = "edge-9"
beside = true

[[period]]
from = "00:00"
until = "22:00"
[[period.load]]
region = "west"
kind = "server"
service = "lm"
slots = 130
[[period]]
from = "22:00"
until = "24:00"
[[period.load]]
region = "west"
kind = "server"
service = "lm"
slots = 60
memory = 1000
writing = 99
[[period.load]]
region = "west"
kind = "edge"
slots = 200
`

func TestFaultsNameKeyAndLine(t *testing.T) {
	cases := map[string]struct {
		content string
		want    []string
	}{
		"not TOML":       {"name = \n", []string{"line 1"}},
		"nothing":        {"", []string{"begin: cannot be blank", "name: cannot be blank", "replace: cannot be blank"}},
		"a key unknown":  {wholeFile + "[[replace]]\nkind=\"core\"\nold=\"a\"\nnew=\"b\"\nbesides = true\n", []string{"line 82: replace[4].besides: is not known"}},
		"of wrong types": {"name = 3\nbegin = true\n" + wholeFile[len("name = \"rack-b\"\nbegin = \"21:30\"\n"):], []string{"line 1: name: ", "line 2: begin: "}},
		"a wrong value and a wrong type": {
			wholeFile[:len(wholeFile)-len("slots = 200\n")] + "slots = \"many\"\n[[stage]]\nbegin = \"x\"\nlasts = \"1s\"\nreplace = [\"i-2\", \"i-2\", \"zz\"]\n",
			[]string{
				`line 33: replace[0].old: "10.1.0.9:80" is in no stage`,
				`line 46: replace[2].old: "core-1" is in no stage`,
				`line 52: replace[3].old: "edge-1" is in no stage`,
				"line 77: period[1].load[1].slots: ",
				"line 79: stage[0].begin: must be a time such as 21:30:00",
				`line 81: stage[0].replace: "i-2" is replaced twice`,
				`line 81: stage[0].replace: "zz" is not among what is to be replaced`,
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
				"line 12: replace[0].zone: must not be told",
			},
		},
		"periods with a gap": {
			"name = \"x\"\nbegin = \"1:00\"\n[[replace]]\nkind = \"core\"\nold = \"a\"\nnew = \"b\"\n[[period]]\nfrom = \"1:00\"\nuntil = \"2:00\"\n[[period]]\nfrom = \"3:00\"\nuntil = \"3:00\"\n[[period.load]]\nregion = \"r\"\nkind = \"server\"\n",
			[]string{
				"line 8: period[0].from: must be where",
				"line 11: period[1].from: must be where",
				"line 12: period[1].until: must be after from",
				"line 12: period[1].until: must be 24:00",
				"line 13: period[1].load[0].service: must be named",
			},
		},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(one.content))
			var faults *FaultsError
			require.True(t, errors.As(err, &faults), "%v", err)
			require.Len(t, faults.Faults, len(one.want), "%v", err)
			for index, want := range one.want {
				require.Contains(t, faults.Faults[index].Error(), want)
			}
		})
	}
}

// inventory is a small deployment: three servers, two edge machines and three core machines.
func inventory(t *testing.T) *Inventory {
	t.Helper()
	change, err := catalog.PrepareReplace(catalog.Empty(), 0, []byte(`{"gen":1,"routes":[
		{"name":"r","vhost":"h","path-prefix":"/a/","deadline-ms":5000,"backend":"lm"},
		{"name":"q","vhost":"h","path-prefix":"/b/","deadline-ms":9000,"backend":"plain"}],
		"backends":[{"name":"lm","max-conns":360,"warmup-s":3.0,"warm-rate-s":9.0,
			"runtime":{"capacity":64,"kv-cap":230413,"models":[{"name":"m"}]}},{"name":"plain"}]}`))
	require.NoError(t, err)
	snapshot, err := catalog.Empty().Apply(change)
	require.NoError(t, err)
	return &Inventory{
		Settings: &settings.Settings{
			Zones:       map[string]string{"hall-a": "west", "hall-b": "west", "hall-c": "east"},
			FaultBudget: settings.FaultBudget{Hosts: 1, Zones: 1},
			Bounds:      settings.Bounds{GraceS: 8, DrainMS: 4000, TTLMaxS: 5, SyncS: 4},
			CloudAPI:    settings.CloudAPI{MaxLagMS: 800},
		},
		Snapshot: snapshot,
		Servers: []*pb.Server{
			{Id: "i-1", Service: "lm", Address: "10.1.0.9:80", Zone: "hall-a", Models: []string{"m"}},
			{Id: "i-2", Service: "lm", Address: "10.1.0.10:80", Zone: "hall-a", Models: []string{"m"}},
			{Id: "i-3", Service: "lm", Address: "10.1.0.11:80", Zone: "hall-b", Models: []string{"m"}},
			{Id: "i-4", Service: "lm", Address: "10.1.0.12:80", Zone: "hall-b", Draining: true},
		},
		Agents: []*pb.AgentRecord{
			{Host: "edge-1", Zone: "hall-a", Region: "west"}, {Host: "edge-2", Zone: "hall-b", Region: "west"},
		},
		View: &pb.View{Voters: []*pb.Replica{
			{Host: "core-1", Zone: "hall-a", Region: "west"},
			{Host: "core-2", Zone: "hall-b", Region: "west"},
			{Host: "core-3", Zone: "hall-c", Region: "east"},
		}},
		Loads: []room.Load{{Region: "west", Group: room.Group{Kind: room.Server, Service: "lm"}}},
	}
}

func TestInput(t *testing.T) {
	file, err := Parse([]byte(wholeFile))
	require.NoError(t, err)
	input, err := file.Input(inventory(t))
	require.NoError(t, err)

	require.Len(t, input.Nodes, 8)
	require.Equal(t, plan.Core{Hosts: 1, Zones: 1, Voters: []plan.Voter{{ID: "core-1", Zone: "hall-a"}, {ID: "core-2", Zone: "hall-b"}, {ID: "core-3", Zone: "hall-c"}}}, input.Core)
	require.Equal(t, 21*time.Hour+30*time.Minute, input.Begin)
	require.Equal(t, 6*time.Hour, input.Window)
	require.Equal(t, map[plan.SurgePool]int{{Zone: "hall-a", Kind: room.Server}: 1}, input.SurgeCapacity)

	server := input.Replacements[0]
	require.Equal(t, "i-1", server.Old.ID)
	require.Equal(t, room.Amount{room.Slots: 64, room.Memory: 230413, room.Prefill: 38700, room.Connections: 360}, server.Old.Capacity)
	require.Equal(t, 96.0, server.New.Capacity[room.Slots])
	require.Equal(t, "west", server.New.Region)
	require.Equal(t, plan.Times{
		Start: 20 * time.Second, Warm: 3 * time.Second, Drain: 5 * time.Second, Linger: time.Second, Stop: 4800 * time.Millisecond,
	}, server.Times)
	require.Equal(t, "i-2", input.Replacements[1].Old.ID)
	require.Equal(t, 4*time.Second, input.Replacements[2].Times.Warm)
	require.Equal(t, 9*time.Second, input.Replacements[3].Times.Drain)
	require.Equal(t, 16*time.Second, input.Replacements[3].Times.Linger)

	late := input.Demand.Periods[1].Loads[0]
	require.Equal(t, room.Amount{room.Slots: 60, room.Memory: 1000}, late.Required, "how fast servers write is not told")

	file.Periods = nil
	input, err = file.Input(inventory(t))
	require.NoError(t, err)
	require.Equal(t, time.Duration(0), input.Demand.Cycle)

	file.Replacements[0].Old = "nowhere"
	_, err = file.Input(inventory(t))
	var contradiction *plan.InputError
	require.True(t, errors.As(err, &contradiction), "%v", err)
	require.Equal(t, "nowhere", contradiction.Node)
}

func TestPlanIsWrittenReadAndVerified(t *testing.T) {
	file, err := Parse([]byte(wholeFile))
	require.NoError(t, err)
	input, err := file.Input(inventory(t))
	require.NoError(t, err)
	made, err := plan.Make(input)
	require.NoError(t, err)

	planned := file.WithPlan(made)
	content, err := planned.Write(made)
	require.NoError(t, err)
	t.Logf("%s", content)
	again, err := Parse(content)
	require.NoError(t, err, "%s", content)
	require.Equal(t, planned, again)
	first, err := planned.Digest()
	require.NoError(t, err)
	second, err := again.Digest()
	require.NoError(t, err)
	require.Equal(t, first, second)

	checked, err := again.Plan(input)
	require.NoError(t, err)
	require.Len(t, checked.Stages, len(made.Stages))
	for index, stage := range checked.Stages {
		require.Equal(t, made.Stages[index].Replacements, stage.Replacements)
		require.InDelta(t, made.Stages[index].Begin, stage.Begin, float64(time.Second))
	}

	// the server that goes before its replacement comes is put into the busy hours
	for index := range again.Stages {
		if again.Stages[index].Replace[0] == "i-2" {
			again.Stages[0], again.Stages[index] = again.Stages[index], again.Stages[0]
		}
	}
	again.Stages[0].Begin = "21:30"
	_, err = again.Plan(input)
	var refusal *plan.InfeasibleError
	require.True(t, errors.As(err, &refusal), "%v", err)
	require.Equal(t, plan.ConstraintCapacity, refusal.Violated)
	require.Equal(t, "i-2", refusal.Node)
}

func TestTimesOfDay(t *testing.T) {
	for value, want := range map[string]time.Duration{"0:00": 0, "21:30": 21*time.Hour + 30*time.Minute, "25:00:01": 25*time.Hour + time.Second} {
		got, err := parseTimeOfDay(value)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	for _, value := range []string{"", "21", "21:60", "-1:00", "1:00:00:00", "a:b"} {
		_, err := parseTimeOfDay(value)
		require.Error(t, err, value)
	}
	require.Equal(t, "25:00:02", formatTime(25*time.Hour+1500*time.Millisecond))
}
