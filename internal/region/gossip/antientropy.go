package gossip

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/serverlist"
	"fieldrelay/internal/region/shuffle"
)

// announcedVersion is a version that a neighbour has announced and that is to be pulled from that neighbour. The zero
// value stands for no announced version.
type announcedVersion struct {
	neighbour shuffle.Neighbour // source of the version; its host is empty if there is no announced version
	sequence  uint64            // announced sequence of the control state
	list      *pb.ListVersion   // announced version of the server list
	pullAt    time.Duration     // time at which to pull
}

// tick pulls an announced version that is due, or starts a comparison with a random neighbour once per CompareInterval
// on average.
func (m *Machine) tick(now time.Duration) []Action {
	if !m.started {
		m.started = true
		m.nextCompareAt = now + time.Duration(m.random.Int64N(int64(CompareInterval)))
	}
	if !m.lacksAnnounced() {
		m.announced = announcedVersion{}
	}
	if m.announced.neighbour.Host != "" && now >= m.announced.pullAt {
		neighbour := m.announced.neighbour
		m.announced = announcedVersion{}
		return []Action{m.versionComparison(neighbour)}
	}
	if now < m.nextCompareAt {
		return nil
	}
	m.nextCompareAt = now + m.jittered(CompareInterval)
	return m.compareWithRandom()
}

func (m *Machine) compareWithRandom() []Action {
	neighbours := m.view.Neighbours()
	if len(neighbours) == 0 {
		return nil
	}
	return []Action{m.versionComparison(neighbours[m.random.IntN(len(neighbours))])}
}

// jittered returns a random duration between 3/4 and 5/4 of an interval.
func (m *Machine) jittered(interval time.Duration) time.Duration {
	quarter := int64(interval / 4)
	return interval - time.Duration(quarter) + time.Duration(m.random.Int64N(2*quarter))
}

// lacksAnnounced reports whether the replica still lacks an announced version.
func (m *Machine) lacksAnnounced() bool {
	return m.announced.neighbour.Host != "" && m.lacks(m.announced.sequence, m.announced.list)
}

// lacks reports whether the replica is behind a sequence or a list version.
func (m *Machine) lacks(sequence uint64, list *pb.ListVersion) bool {
	return sequence > m.replica.Sequence() || serverlist.CompareVersions(list, m.replica.ListVersion()) > 0
}

// observeVersion schedules a pull from a neighbour that is ahead of the replica. The latest such neighbour replaces an
// earlier one, but does not defer the pull.
func (m *Machine) observeVersion(now time.Duration, from shuffle.Neighbour, sequence uint64, list *pb.ListVersion) {
	if !m.lacks(sequence, list) || from.Host == "" || from.Address == "" {
		return
	}
	pullAt := now + pullDelay
	if m.lacksAnnounced() {
		pullAt = min(pullAt, m.announced.pullAt)
	}
	m.announced = announcedVersion{neighbour: from, sequence: sequence, list: list, pullAt: pullAt}
}

// versionComparison returns a comparison by versions only, which is cheap. It also announces this agent's versions.
func (m *Machine) versionComparison(with shuffle.Neighbour) Compare {
	snapshot := m.replica.Snapshot()
	return Compare{
		To:      with,
		Digests: &pb.RangeDigests{Sequence: snapshot.Sequence(), Generation: snapshot.Generation()},
		List:    m.replica.ListVersion(),
	}
}

// digestComparison returns a comparison by the digests of all ranges, in response to which a repair can be sent.
func (m *Machine) digestComparison(with shuffle.Neighbour) Compare {
	snapshot := m.replica.Snapshot()
	return Compare{To: with, Digests: snapshot.Digests(), List: m.replica.ListVersion(), Base: snapshot}
}

// answerCompare returns the response to a comparison: the state and the list that are newer here than at the neighbour.
func (m *Machine) answerCompare(now time.Duration, request CompareRequested) []Action {
	sequence := request.Digests.GetSequence()
	response := &pb.CompareResponse{Sequence: m.replica.Sequence()}
	if sequence < m.replica.Sequence() {
		m.addMissingState(response, request)
	}
	if serverlist.CompareVersions(m.replica.ListVersion(), request.List) > 0 {
		response.List = m.replica.List(now)
	}
	m.observeVersion(now, request.From, sequence, request.List)
	return []Action{CompareReply{Response: response}}
}

// addMissingState adds the state that a neighbour lacks: changes if the history reaches back far enough, else a repair
// if the request carries digests. A large update is forwarded in the compressed form in which it was received, with the
// changes that follow it. A neighbour that gets none of these compares again, by digests.
func (m *Machine) addMissingState(response *pb.CompareResponse, request CompareRequested) {
	sequence := request.Digests.GetSequence()
	changes, complete := m.replica.ChangesSince(sequence)
	repairable := len(request.Digests.GetDigests()) > 0
	// A repair includes all that the neighbour lacks, a compressed update possibly only a part of it.
	if request.AcceptsCompressed && (!complete && !repairable || reachesCompressionThreshold(changes)) {
		response.Compressed = m.replica.Compressed(sequence)
	}
	switch {
	case response.Compressed != nil:
		response.Changes, _ = m.replica.ChangesSince(response.Compressed.GetSequence())
	case complete:
		response.Changes = changes
	case repairable:
		response.Repair = m.replica.Snapshot().RepairFor(request.Digests)
	}
}

// finishCompare applies the response to a comparison. If the replica is still behind the neighbour, a comparison by
// digests follows, unless this comparison was by digests.
func (m *Machine) finishCompare(now time.Duration, answer CompareAnswered) []Action {
	response := answer.Response
	actions := m.applyUpdate(now, answer.Request.To.Host, UpdateReceived{
		Changes:    response.GetChanges(),
		Base:       answer.Request.Base,
		Repair:     response.GetRepair(),
		Compressed: response.GetCompressed(),
		List:       response.GetList(),
	})
	if response.GetSequence() > m.replica.Sequence() && answer.Request.Base == nil {
		actions = append(actions, m.digestComparison(answer.Request.To))
	}
	return actions
}
