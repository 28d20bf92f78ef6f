package execute

// reportChanges reports the changes from the previous acknowledged state, and starts the timers of new phases.
func (m *Machine) reportChanges(before *State) {
	if before == nil || before.Plan != m.state.Plan {
		m.resetTimers()
		return
	}
	if before.Outcome != m.state.Outcome {
		m.report(Changed{Stage: before.Stage, From: string(before.Outcome), To: string(m.state.Outcome)})
	}
	if before.Stage != m.state.Stage {
		m.resetTimers()
		m.report(Changed{Stage: before.Stage, From: string(Running), To: string(Finished)})
		return
	}
	for index, task := range m.state.Tasks {
		if task.Phase == before.Tasks[index].Phase {
			continue
		}
		m.enteredAt[index] = m.now
		if task.Phase != Draining {
			m.confirmedAt[index] = 0
		}
		replacement := m.replacement(index)
		m.report(Changed{
			Stage: m.state.Stage,
			Old:   replacement.Old.ID,
			New:   replacement.New.ID,
			From:  string(before.Tasks[index].Phase),
			To:    string(task.Phase),
		})
	}
}

func (m *Machine) report(changed Changed) { m.actions = append(m.actions, changed) }
