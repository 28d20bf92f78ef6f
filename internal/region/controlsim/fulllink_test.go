package controlsim

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Everything that a machine sends waits behind the bulk that fills its link: for less than the timeouts of connections and
// calls between control machines, so that the others keep taking it for live.
var fullLinkDelays = []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond}

// fullLinkSettlingTime is the time between the filling of the link and the first read.
const fullLinkSettlingTime = 3 * time.Second

// While the link of one machine is full, reads at each other machine are answered before their callers give up.
func TestReadsAreAnsweredWhileTheLinkOfOneMachineIsFull(t *testing.T) {
	for _, delay := range fullLinkDelays {
		for position := range 5 {
			t.Run(fmt.Sprintf("%v at position %d of the chain", delay, position), func(t *testing.T) {
				w := newNarrowWorld(t)
				slow := w.hostsOf(w.newestView().GetChain())[position]
				w.network.uplinkDelay = map[int]time.Duration{slow.index: delay}
				w.run(fullLinkSettlingTime)
				for _, host := range w.hosts {
					if host == slow {
						continue
					}
					answer, took := w.readAt(t, host)
					require.EqualValues(t, http.StatusOK, answer.GetStatus(), "at %s after %v", host.name, took)
					require.Equal(t, slow.machine.Committed().Generation(), generationOf(answer.GetBody()))
					require.Less(t, took, operatorTimeout)
				}
				require.Empty(t, w.checker.failures)
			})
		}
	}
}
