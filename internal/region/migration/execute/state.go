package execute

import (
	"slices"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/plan"
)

// Phase is the phase of a replacement. The values are part of the stored state.
type Phase string

// The phases of a replacement, in their order. With surge the new node is started and warmed up before the old one is
// cordoned; in place, the new node is started after the old one has stopped.
const (
	Waiting          Phase = "waiting"
	Starting         Phase = "starting"    // the new node is to be started
	Warming          Phase = "warming"     // the new node runs, but has not warmed up or caught up yet
	Cordoning        Phase = "withholding" // the old node is cordoned, but not all proxies have confirmed the cordon
	Draining         Phase = "draining"    // the cordon is confirmed, but the old node's last response has not ended
	Stopping         Phase = "stopping"    // the old node may be stopped; from this phase on there is no rollback
	Finished         Phase = "finished"
	RollbackDraining Phase = "emptying" // rollback: the new node is cordoned, and requests may be in flight
	RollbackStopping Phase = "removing" // rollback: the new node may be stopped
	RolledBack       Phase = "returned" // the old node serves as before
)

// Outcome is the state of the whole run. The values are part of the stored state.
type Outcome string

// The outcomes.
const (
	Running  Outcome = "running"
	Aborting Outcome = "aborting" // tasks that can be rolled back are rolled back, the others are finished
	Aborted  Outcome = "aborted"
	Done     Outcome = "done"
)

// Ended reports whether the run is over.
func (o Outcome) Ended() bool { return o == Done || o == Aborted }

// Task is one replacement of the current stage.
type Task struct {
	Phase Phase `json:"phase"`
	// Since is the revision of the state that cordoned the node of the task, in the phases Cordoning, Draining and
	// RollbackDraining; otherwise 0. Proxies confirm the cordon by reporting this revision or a later one.
	Since     uint64 `json:"since,omitempty"`
	Migrating bool   `json:"moving,omitempty"` // the old node's resumable streams are to be resumed elsewhere
}

// Swap names the core machine that is to vote (In) and the one that is not (Out). It is carried out in one view change,
// once the machine that is to vote holds the control state. Either may be empty.
type Swap struct {
	Out string `json:"out,omitempty"`
	In  string `json:"in,omitempty"`
}

// State is the stored state of a run, an item of the control state. Proxies, edge directories, the platform and the voters
// read it and act on it. A State is immutable once it was passed to a caller. The JSON keys are a stored format.
type State struct {
	Plan     string  `json:"plan"` // digest of the plan file
	Epoch    uint64  `json:"epoch"`
	Owner    string  `json:"owner"` // Config.Owner of the Machine that began the epoch
	Revision uint64  `json:"revision"`
	Outcome  Outcome `json:"outcome"`
	Stage    int     `json:"stage"` // index of the current stage
	Tasks    []Task  `json:"tasks"` // one for each replacement of the stage

	// The following fields are derived from the tasks, for the components that act on them. They contain IDs of nodes.
	Cordoned  []string `json:"withheld,omitempty"` // nodes that get no new requests
	Migrating []string `json:"moving,omitempty"`   // nodes whose resumable streams are resumed elsewhere
	Start     []string `json:"start,omitempty"`    // nodes that are to be running
	Stop      []string `json:"stop,omitempty"`     // nodes that may be stopped
	Swaps     []Swap   `json:"swaps,omitempty"`
}

func (s *State) clone() *State {
	next := *s
	next.Tasks = slices.Clone(s.Tasks)
	return &next
}

// enter begins a stage. After the last stage the run is done.
func (s *State) enter(stage int, migrationPlan *plan.Plan) {
	s.Stage = stage
	s.Tasks = nil
	if stage >= len(migrationPlan.Stages) {
		s.Outcome = Done
		return
	}
	for range migrationPlan.Stages[stage].Replacements {
		s.Tasks = append(s.Tasks, Task{Phase: Waiting})
	}
}

// derive computes the derived fields from the tasks and the completed stages. A released node stays cordoned and may be
// stopped even if it restarts.
func (s *State) derive(migrationPlan *plan.Plan) {
	s.Cordoned, s.Migrating, s.Start, s.Stop, s.Swaps = nil, nil, nil, nil, nil
	for _, stage := range migrationPlan.Stages[:s.Stage] {
		for index := range stage.Replacements {
			s.release(stage.Replacements[index].Old.ID)
		}
	}
	for index := range s.Tasks {
		s.deriveTask(&s.Tasks[index], &migrationPlan.Stages[s.Stage].Replacements[index])
	}
}

// release cordons a node and allows it to be stopped.
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
	if replacement.Old.Kind == capacity.Core {
		s.Swaps = append(s.Swaps, swapOf(task, replacement))
	}
}

// swapOf returns the Swap that says which core machine of a replacement is to vote in the phase of its task.
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
