// Package control implements one control machine: agreement on views, replication of the state along a chain, the
// orders of the operator, and the coordination of applications.
//
// # Guarantees
//
// An order answered 200 is on the disk of every replica of the chain, and every later read reflects it. An order that
// is refused (4xx) does not take effect later. A read is at least as new as the newest order acknowledged before it. An
// order answered 503 may or may not take effect. Package coordination documents the guarantees for calls of
// applications. There is no liveness without a majority of the voters. Soft state (Heartbeat.Agents, server lists) is
// passed on without consensus.
//
// # Machine and Node
//
// Machine is a deterministic state machine: it takes events (a message, a tick, a completed write, an order) and
// returns actions (send, write, reply). It does no I/O, reads no clock and starts no goroutine, so the same code runs
// in Node, with sockets and a disk, and in simulations (package controlsim). The same events at the same times with the
// same Random give the same actions.
//
// Node is the shell around one Machine, which does the I/O. Any other shell must
//
//   - pass Started as the first event, and a Tick every TickInterval;
//   - call Step from one goroutine at a time, with a clock that does not go backwards;
//   - carry out the actions of a step in their order;
//   - write Persist actions to disk in the order of their tokens, and pass Persisted only when the records are durable
//     (a token covers all earlier ones). The Machine withholds messages that depend on a write until then; the shell is
//     responsible for durability;
//   - pass WriteFailed when a write fails, and retry the write until it succeeds;
//   - deliver each Send as far as the network allows; a message may be lost, delayed, reordered or duplicated;
//   - answer the caller of an OrderSubmitted with its Reply, or pass OrderCanceled when that caller has gone; likewise
//     for a CallSubmitted with its CallReply or CallCanceled;
//   - keep the ring for the next start. A machine that has lost its disk must restart with an empty ring, and so with a
//     new identity.
//
// # How it works
//
// The voters of a view decide on the next one by Paxos (package quorum): view n+1 is decided by the voters of view n,
// and the first view by the seeds. A view names the chain that replicates the state (package chain): changes enter at
// the head, and are committed when they are on disk at the tail, and so at every replica. A message of an earlier view
// is dropped by its receiver, which answers with the view in force.
//
// An order may be submitted at any machine, its origin, which forwards it to the head, or to a chain member if it is a
// read, until it is answered. A result that depends on the state without changing it (a read, a refusal, an order that
// changes nothing) is sent only after a majority of the voters has confirmed that it knows of no later view.
//
// Calls of applications do not pass through the chain. The coordination engine (package coordination) keeps a register
// for each name at a majority of the voters (package register), and shares the machine's connections, disk, identity
// and view. Its messages (RegisterPrepare, RegisterPromise, RegisterAccept, RegisterAccepted, RegisterTransferRequest,
// RegisterTransfer, CoordinationCall and CoordinationResult) are passed to it unchanged. As for views, an acceptor of a
// register writes its record to disk before it answers. The voters change only while a majority of them advertises the
// registers of the current epoch.
//
// # Files by concern
//
//	machine.go         Machine: its components, dispatch of events and messages
//	events.go          events; actions.go: actions
//	config.go          Config; assemble.go: NewMachine, wiring of the components
//	clock.go           time of the current event, stalls of this process
//	local.go           this machine's identity
//	peers.go           failure detector: last contact with each other machine
//	heartbeat.go       this machine's heartbeats
//	staleness.go       whether this machine's state is current; authoritygap.go: reasons if it is not
//	health.go          health of this machine itself
//	leaving.go         graceful shutdown
//	electorate.go      the voters on the next view
//	viewplan.go        computes the next view
//	rejoin.go          backoff of machines removed from the chain
//	founding.go        bootstrap: the first view
//	proposer.go        proposals of views: order, backoff
//	voter.go           acceptor: promises, accepted proposals, answers to quorum checks
//	viewchange.go      entry into a decided view
//	replication.go     the replica of the chain
//	orders.go          timeouts and results of orders
//	originorders.go    orders at the machine where they are submitted
//	headorders.go      orders at the head; headqueue.go: their queue
//	confirmation.go    confirmation tokens of evacuations
//	chainreads.go      reads at the members of the chain
//	quorumcheck.go     quorum checks before answers
//	coordination.go    host of the coordination engine
//	stepoutput.go      actions of one step, addressing of messages
//	diskqueue.go       pending writes
//	record.go          records in the ring; snapshot.go: snapshots
//	inspect.go         reads a state folder without a Machine
//
// Files of Node:
//
//	node.go            Node, its start, its goroutines; nodeoptions.go: Options
//	nodeloop.go        the goroutine that steps the Machine
//	submit.go          waiting callers of orders; submitcall.go: callers of calls; unavailability.go: causes of 503
//	status.go          Status, committed changes, CoordinationStatus
//	openring.go        opens the ring, replaces a corrupt one
//	ringwriter.go      the goroutine that writes the ring
//	writequeue.go      writes and results between the loop and the writer
//	peersender.go      the goroutines that send; trafficclass.go: assigns messages to them
//	peerclient.go      one delivery; compression.go: compression of deliveries
//	counters.go        logged counters
//
// docs/region/control.md describes the design, docs/region/rules.md its invariants, and docs/design/control-review.md
// why each step of the protocol is safe.
package control
