package controlsim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/ring"
	"fieldrelay/internal/region/ring/ringtest"
)

// maxDelayedEvents bounds the events that wait for a host that is frozen.
const maxDelayedEvents = 1000

// defaultSnapshotRecords is so small that the ring wraps many times in a run.
const defaultSnapshotRecords = 40

// host is a machine of the world: its disk, and the process that runs on it.
type host struct {
	world          *world
	index          int
	name           string
	controlAddress string // address of the operator's API
	peerAddress    string // address of the peer service
	zone           string
	region         string
	disk           *ringtest.Disk
	bootstrap      bool     // the settings say bootstrap
	seeds          []string // of the settings

	machine       *control.Machine // nil while the process is dead
	incarnation   int              // counts starts
	ring          *ring.Ring
	writes        []control.Persist
	writing       bool
	stalled       bool // the disk hangs
	full          bool // the disk refuses
	frozen        bool
	delayedEvents []control.Event   // arrived while frozen
	removed       bool              // removed for good
	onExit        func(agreed bool) // called when the process has ended, after a graceful shutdown
	pendingOrders int               // orders submitted here that were not answered
	processor     processor
}

func newHost(w *world, index int, bootstrap bool) *host {
	name := fmt.Sprintf("core-%d", index)
	zone := index % w.plan.zones
	return &host{
		world:          w,
		index:          index,
		name:           name,
		controlAddress: name + ":8146",
		peerAddress:    name + ":7660",
		zone:           "zone-" + strconv.Itoa(zone),
		region:         "region-" + strconv.Itoa(zone%max(1, w.plan.regions)),
		disk:           ringtest.NewDisk(rand.New(rand.NewPCG(w.plan.seed, uint64(index)))),
		bootstrap:      bootstrap,

		processor: processor{share: w.plan.processor},
	}
}

// start begins another incarnation on the disk as it is. A disk that fails is opened again soon.
func (h *host) start() {
	if h.removed || h.machine != nil {
		return
	}
	h.incarnation++
	if !h.bootstrap {
		h.seeds = h.world.seedsFor(h)
	}
	opened, recovered, err := h.openRing()
	var corrupt *ring.CorruptError
	if errors.As(err, &corrupt) {
		h.world.tracef("%s has a corrupt ring and comes back as another replica", h.name)
		h.bootstrap = false
		h.disk.Wipe()
		opened, recovered, err = h.openRing()
	}
	if err != nil {
		h.world.after(200*time.Millisecond, h.start)
		return
	}
	machine, err := control.NewMachine(h.machineConfig(), recovered)
	if err != nil {
		h.world.checker.fail("%s cannot recover: %v", h.name, err)
		return
	}
	h.machine = machine
	h.ring = opened
	h.world.checker.incarnationBegins(h)
	h.deliver(control.Started{})
	h.scheduleTick(h.incarnation)
}

// machineConfig draws the random numbers of another incarnation.
func (h *host) machineConfig() control.Config {
	return control.Config{
		Self: &pb.Replica{
			Host:           h.name,
			Address:        h.peerAddress,
			Zone:           h.zone,
			Region:         h.region,
			ControlAddress: h.controlAddress,
		},
		Seeds:             h.seeds,
		Bootstrap:         h.bootstrap,
		Requirement:       h.world.plan.requirement,
		PeerAddress:       h.world.peerOf,
		Random:            rand.New(rand.NewPCG(h.world.random.Uint64(), h.world.random.Uint64())),
		SnapshotRecords:   cmp.Or(h.world.plan.snapshotRecords, defaultSnapshotRecords),
		SpuriousProposals: h.world.spuriousProposals(),
		WatchRetention:    callRetention,
	}
}

// peerOf is the peer service of the host that serves an operator's address.
func (w *world) peerOf(controlAddress string) string {
	for _, host := range w.hosts {
		if host.controlAddress == controlAddress {
			return host.peerAddress
		}
	}
	return ""
}

func (h *host) scheduleTick(incarnation int) {
	late := h.world.durationUpTo(10 * time.Millisecond)
	h.world.after(control.TickInterval+late, func() {
		if h.incarnation != incarnation || h.machine == nil {
			return
		}
		if !h.frozen {
			h.deliver(control.Tick{})
		}
		h.scheduleTick(incarnation)
	})
}

// deliver hands an event to the machine and carries out the actions.
func (h *host) deliver(next control.Event) {
	if h.machine == nil {
		return
	}
	if h.frozen {
		if _, tick := next.(control.Tick); !tick && len(h.delayedEvents) < maxDelayedEvents {
			h.delayedEvents = append(h.delayedEvents, next)
		}
		return
	}
	h.process(next)
}

// handle has the machine take an event now.
func (h *host) handle(next control.Event) {
	for _, action := range h.machine.Step(h.world.now, next) {
		if watch := h.world.plan.mutation.watch; watch != nil {
			watch(h, action)
		}
		if send, sends := action.(control.Send); sends {
			send.Message = h.world.plan.mutation.onMessage(send.Message)
			action = send
		}
		if committed, commits := action.(control.Committed); commits {
			action = h.world.plan.mutation.onCommitted(committed)
		}
		h.world.checker.observe(h, action)
		switch action := action.(type) {
		case control.Send:
			h.world.network.send(h, action)
		case control.Persist:
			h.writes = append(h.writes, action)
			if hook := h.world.hooks.onPersist; hook != nil {
				hook(h, action)
			}
			h.writeNext()
		case control.Reply:
			h.pendingOrders--
			h.world.answer(action)
		case control.CallReply:
			h.world.callers.reply(action)
		case control.Left:
			h.exitAfterAnswers(action)
		}
	}
}

func (w *world) answer(reply control.Reply) {
	done := w.requests[reply.Request]
	delete(w.requests, reply.Request)
	if done != nil {
		done(w.plan.mutation.onReply(reply.Result))
	}
}

// die ends the process.
func (h *host) endProcess() {
	h.machine = nil
	h.reportExit()
	h.incarnation++
	h.ring = nil
	h.writes = nil
	h.writing = false
	h.frozen = false
	h.delayedEvents = nil
	h.processor = processor{share: h.processor.share}
	h.pendingOrders = 0
}

// kill ends the process as SIGKILL does: what it has written stays.
func (h *host) kill() {
	h.disk.Kill()
	h.endProcess()
}

// thaw ends a freeze; what has arrived meanwhile is handled now.
func (h *host) thaw() {
	h.frozen = false
	missed := h.delayedEvents
	h.delayedEvents = nil
	for _, next := range missed {
		h.deliver(next)
	}
}
