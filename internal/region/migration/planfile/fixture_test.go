package planfile

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/plan"
	"fieldrelay/internal/region/settings"
)

const exampleFile = `name = "rack-b"
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
		Loads: []capacity.Load{{Region: "west", Group: capacity.Group{Kind: capacity.Server, Service: "lm"}}},
	}
}

// parseExampleFile returns the example file and the planner's input from it and the inventory.
func parseExampleFile(t *testing.T) (*File, plan.Input) {
	t.Helper()
	file, err := Parse([]byte(exampleFile))
	require.NoError(t, err)
	input, err := file.Input(inventory(t))
	require.NoError(t, err)
	return file, input
}

// planExampleFile returns the example file, the planner's input and the plan for it.
func planExampleFile(t *testing.T) (*File, plan.Input, *plan.Plan) {
	t.Helper()
	file, input := parseExampleFile(t)
	migrationPlan, err := plan.Make(input)
	require.NoError(t, err)
	return file, input, migrationPlan
}
