package hollow

import (
	"context"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/catalog"
	"fieldrelay/internal/limits"
)

// proxy is a hollow proxy: it keeps the versions that it is fed, and when each came.
type proxy struct {
	host        string
	edgeAddress string

	mutex       sync.Mutex
	incarnation uint64
	sequence    uint64
	generation  uint64
	list        *pb.ListVersion
	lists       int // taken
	servers     int
	shares      int // proxies that share the bounds
	told        *pb.SharesVersion
	sharesFell  int // times that a later message told fewer
	lateApplies int // messages taken after their sender had given up
	gap         bool
	confirmed   bool
	inForce     map[uint64]time.Time // when a generation came
	marked      map[int]time.Time    // when a marker of the platform came
}

func newProxy(host, edgeAddress string) *proxy {
	return &proxy{
		host:        host,
		edgeAddress: edgeAddress,
		incarnation: uint64(time.Now().UnixNano()),
		inForce:     make(map[uint64]time.Time),
		marked:      make(map[int]time.Time),
	}
}

// Status answers what is held.
func (p *proxy) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.ProxyStatus], error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return connect.NewResponse(p.status()), nil
}

// Apply takes in what is newer.
func (p *proxy) Apply(ctx context.Context, request *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ProxyStatus], error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	if ctx.Err() != nil {
		p.lateApplies++
	}
	p.takeRepair(now, request.Msg.GetRepair())
	for _, change := range request.Msg.GetChanges() {
		p.takeChange(now, change)
	}
	if list := request.Msg.GetList(); list != nil {
		p.takeList(now, list)
	}
	if shares := request.Msg.GetShares(); shares != nil && !limits.IsOutdated(shares.GetVersion(), p.told) {
		p.told = shares.GetVersion()
		if int(shares.GetProxies()) < p.shares {
			p.sharesFell++
		}
		p.shares = int(shares.GetProxies())
	}
	p.confirmed = p.confirmed || request.Msg.GetConfirmed() && !p.gap
	return connect.NewResponse(p.status()), nil
}

func (p *proxy) takeRepair(now time.Time, repair *pb.Repair) {
	if len(repair.GetRanges()) != catalog.RangeCount || repair.GetSequence() <= p.sequence {
		return
	}
	p.gap = false
	p.moveTo(now, repair.GetSequence(), repair.GetGeneration())
}

func (p *proxy) takeChange(now time.Time, change *pb.Change) {
	switch {
	case change.GetSequence() <= p.sequence:
	case change.GetSequence() > p.sequence+1:
		p.gap = true
	default:
		p.gap = false
		p.moveTo(now, change.GetSequence(), change.GetGeneration())
	}
}

// moveTo notes that a version, and every one that it replaces, is in force.
func (p *proxy) moveTo(now time.Time, sequence, generation uint64) {
	for passed := p.generation + 1; passed <= generation; passed++ {
		p.inForce[passed] = now
	}
	p.sequence = sequence
	p.generation = generation
}

func (p *proxy) takeList(now time.Time, list *pb.ServerList) {
	p.list = list.GetVersion()
	p.lists++
	p.servers = len(list.GetServers())
	for _, server := range list.GetServers() {
		if server.GetId() != markerID {
			continue
		}
		marker, err := strconv.Atoi(server.GetSoftware())
		if _, known := p.marked[marker]; err == nil && !known {
			p.marked[marker] = now
		}
		return
	}
}

func (p *proxy) ready() bool { return p.generation > 0 && p.confirmed && p.list != nil }

func (p *proxy) status() *pb.ProxyStatus {
	status := &pb.ProxyStatus{
		Host:        p.host,
		Incarnation: p.incarnation,
		Sequence:    p.sequence,
		Generation:  p.generation,
		List:        p.list,
		Ready:       p.ready(),
		EdgeAddress: p.edgeAddress,
		Shares:      p.told,
	}
	if p.gap || p.sequence == 0 {
		status.Digests = &pb.RangeDigests{Sequence: p.sequence, Generation: p.generation}
	}
	return status
}
