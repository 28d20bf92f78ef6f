package coordination

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/register"
)

// retentionFactor is how many times longer than watches may ask for them the puts of a group are kept: a put that is sent
// again is known by them.
const retentionFactor = 2

// Host is the control machine that an Engine is part of.
type Host interface {
	Peers
	// Send sends a message; one to this machine itself is received before Send returns.
	Send(to *pb.Replica, message *pb.Message)
	// Persist writes records, if there are any, and sends message once they, and all earlier ones, are durable.
	Persist(records []*pb.RegisterRecord, to *pb.Replica, message *pb.Message)
	// PersistAll writes Engine.Records in one piece, in place of all records so far.
	PersistAll()
	// CanPersist reports whether a write may still be queued.
	CanPersist() bool
	// ReplyToCaller gives the result of a call that arrived here.
	ReplyToCaller(request uint64, result *pb.CoordinationResult)
	// HasMajority reports whether a majority of the voters is live.
	HasMajority() bool
	// IsStalled reports whether what arrives now may have waited for this process while it did not run.
	IsStalled() bool
}

// Config is what an Engine must know at its start.
type Config struct {
	Self        *pb.Replica
	Incarnation string // differs from start to start
	// Retention is for how long watches may resume from a revision.
	Retention time.Duration
	// FirstID is the first id of a call, less one; it is drawn at random.
	FirstID uint64
}

// Engine is the part of one control machine in coordination.
type Engine struct {
	self      *pb.Replica
	name      string // of this run of this machine
	host      Host
	replica   *register.Replica
	proposers *register.Proposers
	routing   *routing
	origin    *origin
	leaving   bool
	now       time.Duration // of the event that is being handled
}

// NewEngine returns an engine without registers. Restore takes what was on disk, then Started must be called.
func NewEngine(config Config, host Host) *Engine {
	engine := &Engine{
		self:    config.Self,
		name:    config.Self.GetIdentity() + "/" + config.Incarnation,
		host:    host,
		routing: newRouting(host),
	}
	output := engineOutput{engine: engine, Host: host}
	engine.replica = register.NewReplica(config.Self.GetIdentity(), retentionFactor*config.Retention, output)
	engine.proposers = register.NewProposers(engine.replica, engine.name, Execute, output)
	engine.origin = &origin{engine: engine, lastID: config.FirstID}
	return engine
}

// engineOutput adds to the host what an engine does itself.
type engineOutput struct {
	Host
	engine *Engine
}

// Reply implements register.Output.
func (o engineOutput) Reply(to *pb.Replica, result *pb.CoordinationResult) {
	o.Send(to, &pb.Message{Body: &pb.Message_CoordinationResult{CoordinationResult: result}})
}

// Restore takes a record that was on disk, in the order of writing.
func (e *Engine) Restore(record *pb.RegisterRecord) { e.replica.Restore(record) }

// Records are what must be on disk.
func (e *Engine) Records() []*pb.RegisterRecord { return e.replica.Records() }

// ActiveEpoch is the newest epoch of voters whose registers this machine holds; 0: none.
func (e *Engine) ActiveEpoch() uint64 { return e.replica.ActiveEpoch() }

// FinishRestore ends the restoring.
func (e *Engine) FinishRestore(now time.Duration) {
	e.now = now
	e.replica.FinishRestore(now)
}

// Enter takes the view in force. It must be on disk, or queued as an earlier write than what follows.
func (e *Engine) Enter(now time.Duration, view *pb.View) {
	e.now = now
	e.replica.Enter(now, register.MembershipOf(view))
	e.routing.retainVoters(view.GetVoters())
}

// Tick lets time pass.
func (e *Engine) Tick(now time.Duration) {
	e.now = now
	e.replica.Tick(now)
	e.proposers.Tick(now)
	e.origin.tick(now)
}

// Leave has others propose from now on: this machine is about to end.
func (e *Engine) Leave() {
	e.leaving = true
	e.proposers.Stop()
}

// Submit takes a call that arrived here. ReplyToCaller answers it once, unless it is canceled. The engine sets its id.
func (e *Engine) Submit(now time.Duration, request uint64, call *pb.CoordinationCall) {
	e.now = now
	e.origin.submit(now, request, call)
}

// Cancel reports that nobody waits for the result of a call any more; it may be executed all the same.
func (e *Engine) Cancel(request uint64) { e.origin.cancel(request) }

// canSubmit reports whether a call has a chance.
func (e *Engine) canSubmit() bool {
	return e.replica.Membership().Epoch > 0 && e.host.HasMajority() && !e.host.IsStalled()
}

func (e *Engine) sendCall(now time.Duration, name string, target *pb.Replica, call *pb.CoordinationCall) {
	if target.GetIdentity() == e.self.GetIdentity() {
		e.proposers.Submit(now, name, e.self, call)
		return
	}
	e.host.Send(target, &pb.Message{Body: &pb.Message_CoordinationCall{CoordinationCall: call}})
}

// Receive takes a message of another control machine, or of this one; false: it is none of coordination.
func (e *Engine) Receive(now time.Duration, from *pb.Replica, message *pb.Message) bool {
	e.now = now
	switch body := message.GetBody().(type) {
	case *pb.Message_RegisterPrepare:
		e.replica.Prepare(now, from, body.RegisterPrepare)
	case *pb.Message_RegisterPromise:
		e.proposers.Promised(now, from, body.RegisterPromise)
	case *pb.Message_RegisterAccept:
		e.replica.Accept(now, from, body.RegisterAccept)
	case *pb.Message_RegisterAccepted:
		e.proposers.Accepted(now, from, body.RegisterAccepted)
	case *pb.Message_RegisterTransferRequest:
		e.replica.TransferRequested(from, body.RegisterTransferRequest)
	case *pb.Message_RegisterTransfer:
		e.replica.TransferReceived(now, from, body.RegisterTransfer)
	case *pb.Message_CoordinationCall:
		e.receiveCall(now, from, body.CoordinationCall)
	case *pb.Message_CoordinationResult:
		e.origin.receive(now, from, body.CoordinationResult)
	default:
		return false
	}
	return true
}

// receiveCall takes a call that was forwarded here. One that may have waited for a stalled process is dropped: its origin
// has asked another machine meanwhile. One of a kind that this version does not know is refused.
func (e *Engine) receiveCall(now time.Duration, from *pb.Replica, call *pb.CoordinationCall) {
	if e.host.IsStalled() {
		return
	}
	register := registerOf(call)
	if e.leaving || register == "" {
		e.host.Send(from, &pb.Message{Body: &pb.Message_CoordinationResult{CoordinationResult: &pb.CoordinationResult{
			Id:      call.GetId(),
			Outcome: pb.CoordinationResult_OUTCOME_UNAVAILABLE,
		}}})
		return
	}
	e.proposers.Submit(now, register, from, call)
}
