package versionskew

import (
	"fmt"
	"strings"
)

// Lines returns the state of the rules at this member, as lines for the operator.
func (m *Machine) Lines() []string {
	a := m.agreed()
	here := "none"
	if m.enforced != nil {
		here = fmt.Sprintf("%d", m.enforced.Edition.Number)
	}
	lines := []string{fmt.Sprintf("agreed=%d digest=%.12s here=%s reads=%s", a.Number, a.Digest, here, strings.ReplaceAll(m.cfg.Reads.String(), " ", ":"))}
	if m.behind != "" {
		lines = append(lines, "behind: "+m.behind)
	}
	if m.pushed != nil {
		lines = append(lines, fmt.Sprintf("pushed here digest=%.12s phase=%s", m.pushedDigest, strings.ReplaceAll(m.pushedPhase.String(), " ", "-")))
	}
	if phase, number, all := m.Results(); m.offer != nil {
		lines = append(lines, fmt.Sprintf("offered=%d phase=%s", number, strings.ReplaceAll(phase.String(), " ", "-")))
		for _, r := range all {
			lines = append(lines, strings.TrimSpace(fmt.Sprintf("%s %s %s", r.Name, strings.ReplaceAll(r.Outcome.String(), " ", "-"), r.Reason)))
		}
	}
	return lines
}
