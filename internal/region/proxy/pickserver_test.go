package proxy

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/limits"
	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/route"
)

// waitingClient is a request for which no server has room.
type waitingClient struct {
	kind     string // the route's kind
	deadline int    // the route's deadline, in milliseconds
	target   int    // the route's latency target, in milliseconds; 0: none
	header   string // the client's X-Fieldrelay-Deadline-Ms; empty: none
}

// fullExchange returns the exchange of a client at a proxy whose only server has no room. It must run in a synctest bubble.
func fullExchange(t *testing.T, client waitingClient) (*exchange, *dispatcher, []placement.AttemptID) {
	t.Helper()
	target := ""
	if client.target > 0 {
		target = fmt.Sprintf(`"target-ms":%d,`, client.target)
	}
	table, faults := route.FromItems([]*pb.Item{
		{Kind: catalog.KindBackends, Name: "s", Body: []byte(`{"max-conns":100}`)},
		{Kind: catalog.KindRoutes, Name: "r", Body: fmt.Appendf(nil,
			`{"vhost":"h","path-prefix":"/","route-kind":%q,"backend":"s",%s"deadline-ms":%d,"tries":2}`, client.kind, target, client.deadline)},
	})
	require.Empty(t, faults)
	d := newDispatcher(placement.New(placement.Config{Host: "p", Zone: "z", Regions: map[string]string{"z": "r"}}), limits.NewRetryBudget(limits.RetryConfig{}, "p"))
	d.setTable(table)
	d.setServers(&pb.ServerList{Servers: []*pb.Server{{Id: "i-1", Service: "s", Address: "127.0.0.1:1", Zone: "z", Capacity: 8}}})
	matched, ok := table.Route("r")
	require.True(t, ok)
	header := http.Header{}
	if client.header != "" {
		header.Set(headerDeadline, client.header)
	}
	now := time.Now()
	request := (&http.Request{Header: header}).WithContext(t.Context())
	x := &exchange{
		handler: &handler{dispatcher: d}, request: request, route: matched,
		placement: placementRequest(header, matched, 0),
		arrivedAt: now, readyAt: now, deadline: now.Add(timeoutFor(header, matched)),
	}
	var running []placement.AttemptID
	for {
		full := placementRequest(header, matched, 0)
		decision, err := d.placer.(*placement.Placer).Pick(d.now(), &full)
		if err != nil {
			return x, d, running
		}
		running = append(running, decision.Attempt)
	}
}

// How long a request waits for a server follows from the time that its client has: neither from the latency target, nor
// from whether the client's time-out is that of the route (a first try) or less (a repeat, or a caller in a hurry).
func TestARequestWaitsForAServerAsLongAsItsClientDoes(t *testing.T) {
	const second = 1000
	for name, one := range map[string]struct {
		client waitingClient
		wait   time.Duration
	}{
		"a first try":                      {waitingClient{"idempotent", 4 * second, 500, ""}, 4 * time.Second},
		"a first try, its time-out told":   {waitingClient{"idempotent", 4 * second, 500, "4000"}, 4 * time.Second},
		"a longer target":                  {waitingClient{"idempotent", 4 * second, 2 * second, ""}, 4 * time.Second},
		"no target":                        {waitingClient{"idempotent", 4 * second, 0, ""}, 4 * time.Second},
		"a repeat with the same time left": {waitingClient{"idempotent", 9 * second, 500, "4000"}, 4 * time.Second},
		"a caller in a hurry":              {waitingClient{"idempotent", 60 * second, 500, "300"}, 300 * time.Millisecond},
		"a request that runs once":         {waitingClient{"mutating", 4 * second, 500, ""}, 4 * time.Second},
		"a long deadline":                  {waitingClient{"idempotent", 60 * second, 500, ""}, time.Minute},
		"a stream, until the client takes the silence for a failure": {waitingClient{"streaming", 60 * second, 300, ""}, 2 * time.Second},
		"a stream with a short deadline":                             {waitingClient{"streaming", 1500, 300, ""}, 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, _, _ := fullExchange(t, one.client)
				began := time.Now()
				_, err := x.pickServer()
				var none *placement.NoServerError
				require.ErrorAs(t, err, &none)
				require.Equal(t, placement.ReasonFull, none.Reason)
				require.Equal(t, one.wait, time.Since(began))
			})
		})
	}
}

// A place that comes free is taken at once, also in the last moment of the client's time.
func TestAWaitingRequestTakesThePlaceThatComesFree(t *testing.T) {
	for _, wait := range []time.Duration{time.Millisecond, 777 * time.Millisecond, 3999 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			x, d, running := fullExchange(t, waitingClient{kind: "idempotent", deadline: 4000, target: 500})
			time.AfterFunc(wait, func() { d.finished(running[0], placement.Canceled) })
			began := time.Now()
			decision, err := x.pickServer()
			require.NoError(t, err)
			require.Equal(t, "i-1", decision.ServerID)
			require.Equal(t, wait, time.Since(began))
		})
	}
}

// A client that leaves while its request waits, even just as it is assigned a server, takes no place from others.
func TestAClientThatLeavesGivesItsPlaceBack(t *testing.T) {
	for name, assigned := range map[string]bool{"while it waits": false, "as it is assigned": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, d, running := fullExchange(t, waitingClient{kind: "idempotent", deadline: 4000})
				ctx, leave := context.WithCancel(t.Context())
				x.request = x.request.WithContext(ctx)
				time.AfterFunc(time.Second, func() {
					leave()
					if assigned {
						d.finished(running[0], placement.Canceled)
					}
				})
				decision, err := x.pickServer()
				if err == nil { // the assignment came first: the exchange sees the departure before it sends anything
					require.True(t, assigned)
					d.finished(decision.Attempt, placement.NotSent)
				} else {
					require.ErrorIs(t, err, errClientCanceled)
				}
				require.Zero(t, d.placer.(*placement.Placer).Waiting())
				_, err = d.placer.(*placement.Placer).Pick(d.now(), &x.placement)
				require.Equal(t, assigned, err == nil, "the place is free if it came free")
			})
		})
	}
}

// An interrupted stream waits for a server that resumes it until its client takes the silence since the last event for a
// failure.
func TestAnInterruptedStreamWaitsForTheSilenceThatItsClientBears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, _, _ := fullExchange(t, waitingClient{kind: "streaming", deadline: 60_000, target: 300})
		time.Sleep(10 * time.Second)
		x.stream = &clientStream{lastEventAt: time.Now()}
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		_, err := x.pickServer()
		var none *placement.NoServerError
		require.ErrorAs(t, err, &none)
		require.Equal(t, 1500*time.Millisecond, time.Since(began))
	})
}
