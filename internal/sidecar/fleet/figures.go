package fleet

import (
	"fmt"
	"strings"
)

// Figures returns the StatsD lines of the fleet, without line ends. It does not wait for the actor: the values of the Core are
// those of its last step.
func (f *Fleet) Figures(prefix string) []string {
	c := f.channel.Counts()
	admitted, rejected := f.limits.counts()
	figure := func(name, kind string, v int64) string {
		return strings.Join([]string{prefix, ".fleet.", name, ":", fmt.Sprint(v), "|", kind}, "")
	}
	return []string{
		figure("mode", "g", int64(f.Mode())), figure("view", "g", f.viewNumber.Load()), figure("members", "g", f.viewMembers.Load()),
		figure("datagrams_sent", "c", c.SentDatagrams), figure("frames_streamed", "c", c.SentStreamed), figure("bytes_sent", "c", c.SentBytes),
		figure("frames_got", "c", c.ReceivedFrames), figure("bytes_got", "c", c.ReceivedBytes),
		figure("rules", "g", f.rules.editionNumber.Load()), figure("rules_behind", "g", f.rules.behind.Load()),
		figure("nodes_avoided", "g", f.avoidedNodes.Load()), figure("let", "c", admitted), figure("turned_back", "c", rejected),
		figure("frames_dropped", "c", c.Dropped+f.droppedFrames.Load()), figure("frames_refused", "c", f.refusedFrames.Load()+c.Refused),
	}
}
