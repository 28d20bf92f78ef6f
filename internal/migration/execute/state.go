package execute

import (
	"slices"

	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
)

// Phase is how far a replacement is.
type Phase string

// The phases of a replacement, in their order. Where both nodes can run at once the new one is started and
// warmed before the old one is withheld; otherwise after it is gone.
const (
	Waiting          Phase = "waiting"
	Starting         Phase = "starting"    // the new node is to be started
	Warming          Phase = "warming"     // the new node runs; until it bears its full load, has caught up
	Cordoning        Phase = "withholding" // the old node is to get nothing new; until all proxies know
	Draining         Phase = "draining"    // until the old node's last reply has ended
	Stopping         Phase = "stopping"    // the old node may be stopped; there is no way back from here
	Finished         Phase = "finished"
	RollbackDraining Phase = "emptying" // on the way back: the new node is to get nothing new, until it is idle
	RollbackStopping Phase = "removing" // on the way back: the new node may be stopped
	RolledBack       Phase = "returned" // the old node serves as before
)

// Outcome is where the whole run is.
type Outcome string

// The outcomes.
const (
	Running  Outcome = "running"
	Aborting Outcome = "aborting" // what can go back goes back, the rest is finished
	Aborted  Outcome = "aborted"
	Done     Outcome = "done"
)

// Ended reports whether nothing more will be done.
func (o Outcome) Ended() bool { return o == Done || o == Aborted }

// Task is one replacement of the present stage.
type Task struct {
	Phase Phase `json:"phase"`
	// Since is the revision of the state that began to withhold a node, or to let go of it, in this phase.
	Since     uint64 `json:"since,omitempty"`
	Migrating bool   `json:"moving,omitempty"` // the old node's resumable streams are to be moved
}

// Swap tells of two core machines which is to vote and which not; it is carried out when the one that is to vote
// holds the state, in one view. Either side may be empty.
type Swap struct {
	Out string `json:"out,omitempty"`
	In  string `json:"in,omitempty"`
}

// State is what is kept of a run. It is never changed in place once it was handed out.
type State struct {
	Plan     string  `json:"plan"` // digest of the plan
	Epoch    uint64  `json:"epoch"`
	Owner    string  `json:"owner"` // the machine whose epoch it is; differs from start to start
	Revision uint64  `json:"revision"`
	Outcome  Outcome `json:"outcome"`
	Stage    int     `json:"stage"` // index
	Tasks    []Task  `json:"tasks"` // of the stage

	// What follows from the tasks, for those who carry it out.
	Cordoned  []string `json:"withheld,omitempty"` // get nothing new
	Migrating []string `json:"moving,omitempty"`   // their resumable streams go on elsewhere
	Start     []string `json:"start,omitempty"`    // are to be running
	Stop      []string `json:"stop,omitempty"`     // may be stopped
	Swaps     []Swap   `json:"swaps,omitempty"`
}

func (s *State) clone() *State {
	next := *s
	next.Tasks = slices.Clone(s.Tasks)
	return &next
}

// enter begins a stage; after the last one the run is done.
func (s *State) enter(stage int, made *plan.Plan) {
	s.Stage = stage
	s.Tasks = nil
	if stage >= len(made.Stages) {
		s.Outcome = Done
		return
	}
	for range made.Stages[stage].Replacements {
		s.Tasks = append(s.Tasks, Task{Phase: Waiting})
	}
}

// derive fills in what follows from the tasks, and from the stages that are over: what has retired stays withheld
// and may be stopped, should it come back.
func (s *State) derive(made *plan.Plan) {
	s.Cordoned, s.Migrating, s.Start, s.Stop, s.Swaps = nil, nil, nil, nil, nil
	for _, stage := range made.Stages[:s.Stage] {
		for index := range stage.Replacements {
			s.release(stage.Replacements[index].Old.ID)
		}
	}
	for index := range s.Tasks {
		s.deriveTask(&s.Tasks[index], &made.Stages[s.Stage].Replacements[index])
	}
}

func (s *State) release(id string) {
	s.Cordoned = append(s.Cordoned, id)
	s.Stop = append(s.Stop, id)
}

func (s *State) deriveTask(task *Task, replacement *plan.Replacement) {
	old, next := replacement.Old.ID, replacement.New.ID
	switch task.Phase {
	case Starting, Warming:
		s.Start = append(s.Start, next)
		if !replacement.Surge {
			s.release(old)
		}
	case Cordoning, Draining:
		s.Cordoned = append(s.Cordoned, old)
	case Stopping, Finished:
		s.release(old)
	case RollbackDraining:
		s.Cordoned = append(s.Cordoned, next)
	case RollbackStopping, RolledBack:
		if replacement.Surge {
			s.release(next)
		}
	}
	if task.Migrating {
		s.Migrating = append(s.Migrating, old)
	}
	if replacement.Old.Kind == room.Core {
		s.Swaps = append(s.Swaps, swapOf(task, replacement))
	}
}

// swapOf tells who is to vote while a core machine is replaced.
func swapOf(task *Task, replacement *plan.Replacement) Swap {
	old, next := replacement.Old.ID, replacement.New.ID
	retired := task.Phase == Cordoning || task.Phase == Draining || task.Phase == Stopping || task.Phase == Finished
	switch {
	case replacement.Surge && retired:
		return Swap{Out: old, In: next}
	case replacement.Surge:
		return Swap{Out: next, In: old}
	case task.Phase == Waiting || task.Phase == RolledBack:
		return Swap{In: old}
	case task.Phase == Cordoning || task.Phase == Draining || task.Phase == Stopping:
		return Swap{Out: old}
	}
	return Swap{Out: old, In: next}
}
