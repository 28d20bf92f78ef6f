package coordination

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/register"
)

// retentionFactor is the ratio of the time for which the puts of a group are retained to the time for which watches may
// request them. The retained puts also serve to recognize a put that is sent again.
const retentionFactor = 2

// Host is the control machine that runs an Engine.
type Host interface {
	Peers
	// Send sends a message. A message to this machine itself is received before Send returns.
	Send(to *pb.Replica, message *pb.Message)
	// Persist writes the records, if any, and sends the message once these and all earlier records are durable.
	Persist(records []*pb.RegisterRecord, to *pb.Replica, message *pb.Message)
	// PersistAll writes Engine.Records atomically, replacing all earlier records.
	PersistAll()
	// CanPersist reports whether another write may be queued.
	CanPersist() bool
	// ReplyToCaller returns the result of a call that arrived at this machine.
	ReplyToCaller(request uint64, result *pb.CoordinationResult)
	// HasMajority reports whether a majority of the voters is live.
	HasMajority() bool
	// IsStalled reports whether a message that arrives now may have been delayed by a stall of this process.
	IsStalled() bool
}

// Config is the configuration of an Engine.
type Config struct {
	Self        *pb.Replica
	Incarnation string // identifies the run of the process; differs between starts
	// Retention is how long a watch may resume from an earlier revision.
	Retention time.Duration
	// FirstID is one less than the id of the first call. It is a random number.
	FirstID uint64
	// Limits bound the registers of this machine.
	Limits register.Limits
}

// Engine is one control machine's part of the coordination service.
type Engine struct {
	self      *pb.Replica
	name      string // identity and incarnation of this machine
	host      Host
	replica   *register.Replica
	proposers *register.Proposers
	routing   *routing
	origin    *origin
	leaving   bool
	now       time.Duration // time of the event that is being handled
}

// NewEngine returns an engine without registers. The caller must restore the records from disk with Restore and then
// call FinishRestore.
func NewEngine(config Config, host Host) *Engine {
	engine := &Engine{
		self:    config.Self,
		name:    config.Self.GetIdentity() + "/" + config.Incarnation,
		host:    host,
		routing: newRouting(host),
	}
	output := engineOutput{engine: engine, Host: host}
	engine.replica = register.NewReplica(register.Config{
		Identity:  config.Self.GetIdentity(),
		RunToken:  config.FirstID | 1, // not 0
		Retention: retentionFactor * config.Retention,
		Limits:    config.Limits,
	}, output)
	engine.proposers = register.NewProposers(engine.replica, engine.name, Execute, output)
	engine.origin = &origin{engine: engine, lastID: config.FirstID}
	return engine
}

// engineOutput implements register.Output with the host's methods and the engine's own Reply.
type engineOutput struct {
	Host
	engine *Engine
}

// Reply implements register.Output.
func (o engineOutput) Reply(to *pb.Replica, result *pb.CoordinationResult) {
	o.Send(to, &pb.Message{Body: &pb.Message_CoordinationResult{CoordinationResult: result}})
}

// Restore applies a record that was read from disk. Records must be restored in the order in which they were written.
func (e *Engine) Restore(record *pb.RegisterRecord) { e.replica.Restore(record) }

// Records returns the records that must be on disk.
func (e *Engine) Records() []*pb.RegisterRecord { return e.replica.Records() }

// ActiveEpoch returns the newest epoch of voters whose registers this machine holds; 0 if there is none.
func (e *Engine) ActiveEpoch() uint64 { return e.replica.ActiveEpoch() }

// FinishRestore ends the restore.
func (e *Engine) FinishRestore(now time.Duration) {
	e.now = now
	e.replica.FinishRestore(now)
}

// Enter applies the current view. The view must be durable, or queued before any write that this call causes.
func (e *Engine) Enter(now time.Duration, view *pb.View) {
	e.now = now
	e.replica.Enter(now, register.MembershipOf(view))
	e.routing.retainVoters(view.GetVoters())
}

// Tick handles timeouts and resends.
func (e *Engine) Tick(now time.Duration) {
	e.now = now
	e.replica.Tick(now)
	e.proposers.Tick(now)
	e.origin.tick(now)
}

// Leave stops this machine from proposing, so that other machines propose before it shuts down.
func (e *Engine) Leave() {
	e.leaving = true
	e.proposers.Stop()
}

// Submit processes a call that arrived at this machine, and sets the call's id. The result is returned once through
// ReplyToCaller, unless the call is canceled.
func (e *Engine) Submit(now time.Duration, request uint64, call *pb.CoordinationCall) {
	e.now = now
	e.origin.submit(now, request, call)
}

// Cancel drops a call whose result is no longer awaited. The call may still be executed.
func (e *Engine) Cancel(request uint64) { e.origin.cancel(request) }

// canSubmit reports whether a new call can succeed: the voters are known, a majority of them is live, and this process
// was not stalled.
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

// Receive handles a message of another control machine or of this machine. It returns false for a message that does not
// belong to the coordination service.
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

// receiveCall handles a call that another machine has forwarded. A call that may have been delayed by a stall of this
// process is dropped, since its origin has sent the call to another machine by then. A call of an unknown kind is
// refused as UNAVAILABLE.
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
