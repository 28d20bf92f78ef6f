package proxy

import "strings"

// longPayload is the size of bodies that exceed what the kernel buffers for a server that doesn't read.
const longPayload = 6_000_000

// allTrials returns the trials with a fault at every stride-th byte.
func allTrials(stride int, lengths map[string]int64) []trial {
	var all []trial
	add := func(tr trial, first, last int) {
		for offset := first + len(all)%stride; offset <= last; offset += stride {
			tr.offset = offset
			all = append(all, tr)
		}
	}
	for _, kind := range requestKinds {
		for _, reused := range []bool{false, true} {
			first := 0
			if reused {
				first = 1
			}
			request := trial{kind: kind, reused: reused, stage: inRequest}
			for _, request.fault = range []fault{resetsConnection, closesConnection, stopsResponding} {
				add(request, first, int(lengths[kind.name]))
			}
			add(withFault(request, clientDisconnects), 1, int(lengths[kind.name])) // at byte 0 nothing has been sent to the server
			for framed := range framings {
				for react := range reactions {
					early := trial{kind: kind, reused: reused, stage: inRequest, framing: framed, reaction: react}
					for _, early.fault = range []fault{respondsEarly, respondsEarlyReadsLater, respondsEarlyCloses} {
						add(early, first, int(lengths[kind.name]))
					}
					addInAnswer(trial{kind: kind, reused: reused, stage: inAnswer, framing: framed, reaction: react}, add)
				}
			}
		}
	}
	return all
}

func addInAnswer(tr trial, add func(tr trial, first, last int)) {
	head, body := answerOf("one", "t-000000", tr.kind.stream, 0, tr.framing, tr.reaction)
	length := len(head) + len(body)
	for _, tr.fault = range []fault{resetsConnection, closesConnection, repeatsResponseLater, splicesResponses} {
		add(tr, 0, length)
	}
	if tr.kind.resume {
		add(withFault(tr, writesGarbage), 0, len(head)) // garbage within the body could be part of an event
	} else {
		add(withFault(tr, writesGarbage), 0, length)
	}
	add(withFault(tr, respondsToOther), 0, 0)
	if tr.framing != framedByEnd {
		add(withFault(tr, respondsTwice), 1, length)
	}
	if tr.reaction == reactsWell {
		add(withFault(tr, stopsResponding), 0, length-1)
		add(withFault(tr, clientDisconnects), 0, length-1)
	}
}

func withFault(tr trial, injected fault) trial {
	tr.fault = injected
	return tr
}

// longTrials returns trials with a body that is too large to be sent completely before the server reads it.
func longTrials(lengths map[string]int64) []trial {
	payload := strings.Repeat("payload\n", longPayload/8)
	var all []trial
	for _, kind := range requestKinds {
		whole := int(lengths[kind.name]) + len(payload)
		head := int(lengths[kind.name]) - len("payload of t-000000")
		for _, offset := range []int{1, head + 10, whole / 2, whole - 100} {
			tr := trial{kind: kind, stage: inRequest, offset: offset, payload: payload, reused: offset > head}
			for _, tr.fault = range []fault{resetsConnection, closesConnection, clientDisconnects} {
				all = append(all, tr)
			}
			for _, tr.reaction = range []reaction{reactsWell, reactsDeclined} {
				for _, tr.fault = range []fault{respondsEarly, respondsEarlyReadsLater, respondsEarlyCloses} {
					all = append(all, tr)
				}
			}
		}
	}
	return all
}
