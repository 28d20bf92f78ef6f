// Package control runs the agreed view, the chain, the operator's orders and the coordination of applications on one control
// machine.
//
// # What it promises
//
// An order that is answered 200 is on the disk of every replica of the chain and is found by every later read. An order
// that is refused (4xx) is not in force later. A read is at least as new as the newest order acknowledged before it. An
// order answered 503 may or may not be in force. What a call of an application is promised stands in package
// coordination. It promises no liveness without a majority of the voters, and what it
// hands on as soft state (Heartbeat.Agents, server lists) is not agreed on.
//
// # Machine and Node
//
// Machine is a state machine: it takes events (a message, a tick, a write that is on disk, an order) and returns actions
// (send, write, reply). It does no I/O, reads no clock and starts no goroutine, so that the same code runs in Node, under
// sockets and on a disk, and in simulations (package controlsim). The same events at the same times with the same Random
// give the same actions.
//
// Node is the shell around one Machine. Whoever writes another one must
//
//   - make Started the first event, and a Tick every TickInterval;
//   - call Step from one goroutine at a time, with a clock that does not go backwards;
//   - carry out the actions of a step in their order;
//   - put Persist actions on disk in the order of their tokens, and send Persisted only when the records are durable (a
//     later token stands for all earlier ones). The Machine keeps back what must not leave before: disk before send is
//     its rule, and durability is the shell's;
//   - send WriteFailed when a write fails, and try it again until it succeeds;
//   - carry each Send as far as the network allows; a message may be lost, or arrive late, out of order or twice;
//   - answer the caller of an OrderSubmitted with its Reply, or say with OrderCanceled that nobody waits any more; a
//     CallSubmitted likewise with its CallReply or CallCanceled;
//   - keep the ring for the next start: a machine whose disk is lost must come back with an empty ring, as another
//     identity.
//
// # How it works
//
// The voters of a view decide on the next one by Paxos (package quorum): view n+1 is decided by the voters of view n, and
// the first one by the seeds. A view names the chain that replicates the state (package chain): changes enter at its
// head, are on disk at each replica when the tail has them, and are committed then. Whatever is of an earlier view is
// dropped by its receiver, which answers with the later one.
//
// An order is submitted at any machine, its origin, which forwards it to the head, or to the tail if it is a read, until
// it is answered. A result that rests on the state without changing it (a read, a refusal, an order that changes nothing)
// leaves only after a majority of the voters has confirmed that it knows of no later view.
//
// Calls of applications do not pass through the chain: the coordination engine (package coordination) keeps a register for
// each name at a majority of the voters (package register), and shares the machine's connections, its disk, its identity and
// its view. Its messages (RegisterPrepare, RegisterPromise, RegisterAccept, RegisterAccepted, RegisterTransferRequest,
// RegisterTransfer, CoordinationCall and CoordinationResult) are passed to it as they come. What holds for the other
// answers of an acceptor holds for those of the registers: the record is on disk before the answer leaves. The voters
// change only while a majority of them advertises the registers of its epoch.
//
// # Files by concern
//
//	machine.go         Machine: the parts, dispatch of events and messages
//	events.go          events; actions.go: actions
//	config.go          Config; assemble.go: NewMachine, joins the parts
//	clock.go           time of the event, stalls of this process
//	local.go           this machine's identity
//	peers.go           failure detector: contact with the other machines
//	heartbeat.go       this machine's heartbeats
//	staleness.go       what peers advertise, authority of this machine's state
//	health.go          whether this machine itself can serve
//	leaving.go         graceful shutdown
//	electorate.go      who decides on the next view
//	viewplan.go        the view that should follow
//	rejoin.go          backoff of machines removed from the chain
//	founding.go        bootstrap: the first view
//	proposer.go        proposals of views: turns, backoff
//	voter.go           acceptor: promises, accepted proposals, answers to quorum checks
//	viewchange.go      moving to a decided view
//	replication.go     the replica of the chain
//	orders.go          times and results of orders
//	originorders.go    orders at the machine where they were submitted
//	headorders.go      orders at the head; headqueue.go: their order
//	confirmation.go    confirmation tokens of evacuations
//	tailreads.go       reads at the tail
//	quorumcheck.go     quorum checks before answers
//	coordination.go    this machine as the host of the coordination engine
//	stepoutput.go      actions of one step, addresses of messages
//	diskqueue.go       writes that are not on disk yet
//	record.go          records in the ring; snapshot.go: snapshots of them
//	inspect.go         reading a state folder without a Machine
//
// And of Node, which runs them:
//
//	node.go            Node, its start and its goroutines; nodeoptions.go: Options
//	nodeloop.go        the goroutine that steps the Machine
//	submit.go          waiting callers of orders; submitcall.go: of calls of applications
//	status.go          Status, committed changes, CoordinationStatus
//	openring.go        opening the ring, replacing a corrupt one
//	ringwriter.go      the goroutine that writes
//	writequeue.go      what the loop and that goroutine pass each other
//	peersender.go      the goroutines that send; trafficclass.go: which messages share one
//	peerclient.go      one delivery; compression.go: its compression
//	counters.go        counters in the log
//
// The design is described in docs/region/control.md, the rules that it keeps in docs/region/rules.md, and why each step
// of the protocol is safe in docs/design/control-review.md.
package control
