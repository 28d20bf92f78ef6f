package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/limits"
	"fieldrelay/internal/region/policy"
	"fieldrelay/internal/region/route"
)

// The zones and regions of the tests: two zones in the west, one in the east.
const (
	zoneA = "zone-a"
	zoneB = "zone-b"
	zoneE = "zone-e"
	west  = "west"
	east  = "east"
)

var regions = map[string]string{zoneA: west, zoneB: west, zoneE: east}

const (
	modelService = "lm"
	plainService = "plain"
)

// Routes of the tests, by name.
const (
	routeSummary  = "summary"  // less urgent
	routeHelp     = "help"     // urgent
	routeGreeting = "greeting" // least urgent
	routeEast     = "east"     // restricted to the east
	routeBalance  = "balance"  // to the plain service
)

func testTable(t testing.TB) *route.Table {
	t.Helper()
	body := func(service, kind string, target, prio int, homes string) string {
		return fmt.Sprintf(`{"vhost":"h","path-prefix":"/","route-kind":%q,"backend":%q,"deadline-ms":5000,"target-ms":%d,
			"prio":%d,"tries":2,"home-regions":%s}`, kind, service, target, prio, homes)
	}
	item := func(kind, name, body string) *pb.Item { return &pb.Item{Kind: kind, Name: name, Body: []byte(body)} }
	table, faults := route.FromItems([]*pb.Item{
		item(catalog.KindRoutes, routeSummary, body(modelService, "streaming", 800, 1, "[]")),
		item(catalog.KindRoutes, routeHelp, body(modelService, "streaming", 600, 0, "[]")),
		item(catalog.KindRoutes, routeGreeting, body(modelService, "streaming", 500, 2, "[]")),
		item(catalog.KindRoutes, routeEast, body(modelService, "streaming", 800, 1, `["east"]`)),
		item(catalog.KindRoutes, routeBalance, body(plainService, "idempotent", 200, 2, "[]")),
		item(catalog.KindBackends, modelService, `{"max-conns":360,"warmup-s":3,"warm-rate-s":9.2,
			"runtime":{"capacity":64,"kv-cap":230000,"stride":4}}`),
		item(catalog.KindBackends, plainService, `{"max-conns":100,"warmup-s":0,"warm-rate-s":0}`),
	})
	require.Empty(t, faults)
	return table
}

// fixture is a Placer in zoneA with a server list, and a clock that the test advances.
type fixture struct {
	t     testing.TB
	p     *Placer
	table *route.Table
	now   time.Duration
	list  []*pb.Server
}

const members = 7

func hostName(i int) string { return fmt.Sprintf("edge-%d", i) }

func testShares() *pb.QuotaMembers {
	shares := &pb.QuotaMembers{Proxies: members}
	for i := range members {
		shares.Members = append(shares.Members, &pb.Neighbour{
			Host: hostName(i), Region: []string{west, west, east}[i%3],
		})
	}
	return shares
}

func newFixture(t testing.TB, host int, servers []*pb.Server) *fixture {
	t.Helper()
	f := &fixture{t: t, table: testTable(t), now: time.Minute, list: servers}
	f.p = New(Config{
		Host: hostName(host), Zone: zoneA, Regions: regions, Seed: uint64(host) + 1,
		SlowStart: limits.SlowStartConfig{Excess: 1.5, Extra: 5},
	})
	f.p.SetTable(f.now, f.table)
	f.p.SetQuotaMembers(0, testShares())
	f.relist()
	return f
}

func (f *fixture) relist() { f.p.SetServers(f.now, f.list, 0) }

func listed(service string, number int, zone string) *pb.Server {
	return &pb.Server{
		Id:       fmt.Sprintf("%s-%s-%d", service, zone, number),
		Service:  service,
		Address:  fmt.Sprintf("10.0.0.%d:80", number),
		Zone:     zone,
		Capacity: 64,
	}
}

// westAndEast returns a list of six model servers in the west and four in the east.
func westAndEast() []*pb.Server {
	var servers []*pb.Server
	for i := range 3 {
		servers = append(servers, listed(modelService, i, zoneA), listed(modelService, i, zoneB))
	}
	for i := range 4 {
		servers = append(servers, listed(modelService, i, zoneE))
	}
	return servers
}

func (f *fixture) request(routeName string, chunks ...PromptChunk) *Request {
	found, ok := f.table.Route(routeName)
	require.True(f.t, ok)
	tokens := 0
	for _, chunk := range chunks {
		tokens += chunk.Tokens
	}
	return &Request{
		Route: found, Service: found.Split[0].Service, Model: "m", Chunks: chunks, PromptTokens: tokens,
		Deadline: f.now + found.Deadline,
	}
}

// summary returns a request with a long shared chunk that depends on a subject.
func (f *fixture) summary(subject, own int) *Request {
	return f.request(routeSummary, PromptChunk{ID: 1, Tokens: 800}, PromptChunk{ID: 100 + uint64(subject), Tokens: 5500},
		PromptChunk{ID: 10_000 + uint64(own), Tokens: 2890})
}

func (f *fixture) greeting(own int) *Request {
	return f.request(routeGreeting, PromptChunk{ID: 2, Tokens: 172}, PromptChunk{ID: 20_000 + uint64(own), Tokens: 543})
}

func (f *fixture) pick(request *Request) Decision {
	f.t.Helper()
	decision, err := f.p.Pick(f.now, request)
	require.NoError(f.t, err)
	return decision
}

// serve picks a server for a request, reports its answer after a multiple of the predicted time, and returns its id.
func (f *fixture) serve(request *Request, times func(server string) float64) string {
	f.t.Helper()
	decision := f.pick(request)
	cost := f.p.attempts[decision.Attempt].nominalLatency
	f.now += time.Duration(float64(cost) * times(decision.ServerID))
	f.p.Started(f.now, decision.Attempt)
	f.p.Finished(f.now, decision.Attempt, Done)
	f.p.RequestDone(f.now, request, true, f.now-arrivalOf(request))
	return decision.ServerID
}

func asPredicted(string) float64 { return 1 }

// warm seeds the speed estimates of all servers that this proxy uses.
func (f *fixture) warm() {
	for i := range 60 {
		f.serve(f.greeting(i), asPredicted)
	}
}

// serverKey returns the key that identifies a server in announcements.
func serverKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// switchedOff returns the switches with one mechanism off.
func switchedOff(t *testing.T, mechanism policy.Mechanism) policy.Switches {
	t.Helper()
	switches, err := policy.Parse([]string{mechanism.String()})
	require.NoError(t, err)
	return switches
}

// arrivalOf returns when a request of a client that waits for as long as its route allows arrived.
func arrivalOf(request *Request) time.Duration { return request.Deadline - request.Route.Deadline }
