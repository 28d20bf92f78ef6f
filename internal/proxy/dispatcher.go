package proxy

import (
	"sync"
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/limits"
	"fieldrelay/internal/placement"
	"fieldrelay/internal/route"
)

// placer is the part of placement.Placer that requests and the feed use.
type placer interface {
	SetServers(now time.Duration, servers []*pb.Server, age time.Duration)
	SetTable(now time.Duration, table *route.Table)
	SetEvacuated(now time.Duration, zones []string)
	SetQuotaMembers(now time.Duration, shares *pb.Shares)
	ServerWarmingUp(now time.Duration, serverID string, left time.Duration)
	ServerDraining(now time.Duration, serverID string)
	ServerUnreachable(now time.Duration, serverID string)
	AnnouncementReceived(now time.Duration, told placement.Announcement)
	FailureReported(now time.Duration, serverID, zone string)
	Admit(now time.Duration, request *placement.Request) error
	Pick(now time.Duration, request *placement.Request) (placement.Decision, error)
	StillAllowed(now time.Duration, attempt placement.AttemptID) bool
	Started(now time.Duration, attempt placement.AttemptID)
	Finished(now time.Duration, attempt placement.AttemptID, outcome placement.Outcome)
	RequestDone(now time.Duration, request *placement.Request, answered bool, latency time.Duration)
	Slack() float64
	Stats() placement.Stats
}

// dispatcher shares the placer and the retry budget, which keep no lock of their own, among requests. Each
// call is one step under one lock, with a time that never falls.
type dispatcher struct {
	mu     sync.Mutex
	start  time.Time
	placer placer
	budget *limits.RetryBudget
	// closing counts the answers in a row with which a server closed the connection, by its id.
	consecutiveCloses map[string]int
	// reported tells when the other proxies were last told of a server's failure, by its id.
	lastReport map[string]time.Duration
}

// reportInterval is the least time between two reports of one server.
const reportInterval = time.Second

// drainingCloses is the number of answers in a row with Connection: close that show that a server leaves:
// other servers close connections now and then as well.
const drainingCloses = 2

func newDispatcher(placer placer, budget *limits.RetryBudget) *dispatcher {
	return &dispatcher{start: time.Now(), placer: placer, budget: budget, consecutiveCloses: make(map[string]int), lastReport: make(map[string]time.Duration)}
}

// now is the time of the placer's and the budget's calls. The caller holds the lock.
func (d *dispatcher) now() time.Duration { return time.Since(d.start) }

// at converts an instant to the time of the placer.
func (d *dispatcher) at(instant time.Time) time.Duration { return instant.Sub(d.start) }

// admit counts a client's request and tells whether it is let in; otherwise the error tells why not.
func (d *dispatcher) admit(request *placement.Request) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.budget.Request(now, request.Service)
	return d.placer.Admit(now, request)
}

func (d *dispatcher) pick(request *placement.Request, deadline time.Time) (placement.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	request.Remaining = d.at(deadline) - now
	return d.placer.Pick(now, request)
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
}

func (d *dispatcher) requestDone(request *placement.Request, answered bool, latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.RequestDone(d.now(), request, answered, latency)
}

func (d *dispatcher) serverWarmingUp(server string, left time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.ServerWarmingUp(d.now(), server, left)
}

// serverUnreachable takes in that the machine of a server does not answer.
func (d *dispatcher) serverUnreachable(server string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.ServerUnreachable(d.now(), server)
}

// answered takes in whether a server's answer closed the connection.
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

// takeRetry draws one repeat from the common budget.
func (d *dispatcher) takeRetry(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Take(d.now(), service)
}

// refundRetry returns a repeat that was not sent.
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
}

func (d *dispatcher) setServers(list *pb.ServerList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.consecutiveCloses)
	d.expireReports()
	age := time.Duration(list.GetAgeMs()) * time.Millisecond
	d.placer.SetServers(d.now(), list.GetServers(), age)
}

// announced takes in what another proxy told.
func (d *dispatcher) announcementReceived(announcement placement.Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.AnnouncementReceived(d.now(), announcement)
}

func (d *dispatcher) setQuotaShares(shares *pb.Shares) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.SetQuotaMembers(d.now(), shares)
	d.budget.SetQuotaMembers(shares)
}

// failureReported takes in that a server failed another proxy.
func (d *dispatcher) failureReported(server, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.FailureReported(d.now(), server, zone)
}

// mayReport tells whether a server's failure is to be told to the other proxies, and notes it if so.
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

// expireReports forgets reports that are over. The caller holds the lock.
func (d *dispatcher) expireReports() {
	now := d.now()
	for server, last := range d.lastReport {
		if now-last >= reportInterval {
			delete(d.lastReport, server)
		}
	}
}

// stats gives the counts of the placer.
func (d *dispatcher) stats() placement.Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Stats()
}

func (d *dispatcher) slack() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Slack()
}
