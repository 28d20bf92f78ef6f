package proxy

import (
	"sync"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/limits"
	"fieldrelay/internal/region/placement"
	"fieldrelay/internal/region/route"
)

// placer is the part of placement.Placer that requests and the configuration stream use.
type placer interface {
	SetServers(now time.Duration, servers []*pb.Server, age time.Duration)
	SetTable(now time.Duration, table *route.Table)
	SetEvacuated(now time.Duration, zones []string)
	SetQuotaMembers(now time.Duration, members *pb.QuotaMembers)
	ServerWarmingUp(now time.Duration, serverID string, remaining time.Duration)
	ServerDraining(now time.Duration, serverID string)
	ServerUnreachable(now time.Duration, serverID string)
	RoundTripMeasured(serverID string, roundTrip time.Duration)
	AnnouncementReceived(now time.Duration, announcement placement.Announcement)
	FailureReported(now time.Duration, serverID, zone string)
	Place(now time.Duration, request *placement.Request) (placement.Placement, *placement.Assignment, error)
	Advance(now time.Duration) []placement.Assignment
	Withdraw(id placement.WaitID) (withdrawn bool, reason error)
	NextCheck() (at time.Duration, ok bool)
	StillAllowed(now time.Duration, attempt placement.AttemptID) bool
	Started(now time.Duration, attempt placement.AttemptID)
	Finished(now time.Duration, attempt placement.AttemptID, outcome placement.Outcome)
	RequestDone(now time.Duration, request *placement.Request, answered bool, latency time.Duration)
	Slack() float64
	Stats() placement.Stats
}

// dispatcher serializes access to the placer and the retry budget, which have no locks of their own. Each method
// runs under the same lock and reads the clock within it, so that the times passed to the placer and the budget never
// decrease. A dispatcher is safe for concurrent use.
type dispatcher struct {
	mu      sync.Mutex
	start   time.Time
	placer  placer
	budget  *limits.RetryBudget
	waiting waitingRequests
	// consecutiveCloses is the number of consecutive responses with Connection: close, by server id.
	consecutiveCloses map[string]int
	// lastReport is the time of the last failure report about a server, by server id.
	lastReport map[string]time.Duration
}

// reportInterval is the minimum time between two failure reports about one server.
const reportInterval = time.Second

// drainingCloses is the number of consecutive responses with Connection: close after which a server is considered
// draining. A single such response is not enough, since servers close connections for other reasons too.
const drainingCloses = 2

func newDispatcher(placer placer, budget *limits.RetryBudget) *dispatcher {
	return &dispatcher{start: time.Now(), placer: placer, budget: budget, waiting: newWaitingRequests(), consecutiveCloses: make(map[string]int), lastReport: make(map[string]time.Duration)}
}

// now returns the time since start, which the placer and the budget use as their clock. The caller holds the lock, so
// that the times of successive calls don't decrease.
func (d *dispatcher) now() time.Duration { return time.Since(d.start) }

// at converts a time to the placer's clock.
func (d *dispatcher) at(instant time.Time) time.Duration { return instant.Sub(d.start) }

// countRequest counts a client's request in the retry budget.
func (d *dispatcher) countRequest(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Request(d.now(), service)
}

func (d *dispatcher) stillAllowed(attempt placement.AttemptID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.StillAllowed(d.now(), attempt)
}

func (d *dispatcher) started(attempt placement.AttemptID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.Started(d.now(), attempt)
}

func (d *dispatcher) finished(attempt placement.AttemptID, outcome placement.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.Finished(d.now(), attempt, outcome)
	d.advance()
}

func (d *dispatcher) requestDone(request *placement.Request, answered bool, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.RequestDone(d.now(), request, answered, latency)
}

func (d *dispatcher) serverWarmingUp(server string, remaining time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.ServerWarmingUp(d.now(), server, remaining)
}

// roundTripMeasured tells the placer how long a connection to a server took to be established.
func (d *dispatcher) roundTripMeasured(server string, roundTrip time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.RoundTripMeasured(server, roundTrip)
}

// serverUnreachable tells the placer that a server's machine doesn't respond.
func (d *dispatcher) serverUnreachable(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.ServerUnreachable(d.now(), server)
}

// responseReceived records whether a server's response closed its connection. After drainingCloses consecutive
// responses that did, the server is reported to the placer as draining.
func (d *dispatcher) responseReceived(server string, closed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !closed {
		delete(d.consecutiveCloses, server)
		return
	}
	d.consecutiveCloses[server]++
	if d.consecutiveCloses[server] >= drainingCloses {
		d.placer.ServerDraining(d.now(), server)
	}
}

// reserveRetry takes one retry from the retry budget. It returns false if the budget is exhausted.
func (d *dispatcher) reserveRetry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Take(d.now(), service)
}

// refundRetry returns a reserved retry that was not sent to the retry budget.
func (d *dispatcher) refundRetry(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Refund(d.now(), service)
}

func (d *dispatcher) setTable(table *route.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.placer.SetTable(now, table)
	d.placer.SetEvacuated(now, table.Evacuated())
	d.advance()
}

func (d *dispatcher) setServers(list *pb.ServerList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.consecutiveCloses)
	d.expireReports()
	age := time.Duration(list.GetAgeMs()) * time.Millisecond
	d.placer.SetServers(d.now(), list.GetServers(), age)
	d.advance()
}

// announcementReceived implements announcementHandler.
func (d *dispatcher) announcementReceived(announcement placement.Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.AnnouncementReceived(d.now(), announcement)
}

func (d *dispatcher) setQuotaMembers(members *pb.QuotaMembers) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.SetQuotaMembers(d.now(), members)
	d.budget.SetQuotaMembers(members)
	d.advance()
}

// failureReported implements announcementHandler.
func (d *dispatcher) failureReported(server, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.FailureReported(d.now(), server, zone)
}

// mayReport reports whether a server's failure may be announced now, and if so records the time of the report.
func (d *dispatcher) mayReport(server string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	last, reported := d.lastReport[server]
	if reported && now-last < reportInterval {
		return false
	}
	d.lastReport[server] = now
	return true
}

// expireReports removes the entries of lastReport that are at least reportInterval old. The caller holds the lock.
func (d *dispatcher) expireReports() {
	now := d.now()
	for server, last := range d.lastReport {
		if now-last >= reportInterval {
			delete(d.lastReport, server)
		}
	}
}

// stats returns the placer's counters.
func (d *dispatcher) stats() placement.Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Stats()
}

// slack returns the placer's slack: the fraction, from 0 to 1, of responses within their latency target.
func (d *dispatcher) slack() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Slack()
}
