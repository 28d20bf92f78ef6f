package gossip

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/shuffle"
)

// lead is a neighbour that is known to hold more, and is asked for it.
type announcedVersion struct {
	neighbour shuffle.Neighbour // no host: none
	sequence  uint64
	list      *pb.ListVersion
	pullAt    time.Duration
}

// tick asks a neighbour that is ahead, or compares with any when it is time.
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

// jittered is a random time between 3/4 and 5/4 of a period.
func (m *Machine) jittered(period time.Duration) time.Duration {
	quarter := int64(period / 4)
	return period - time.Duration(quarter) + time.Duration(m.random.Int64N(2*quarter))
}

// behind tells whether the neighbour that was ahead still is.
func (m *Machine) lacksAnnounced() bool {
	if m.announced.neighbour.Host == "" {
		return false
	}
	return m.announced.sequence > m.replica.Sequence() || CompareVersions(m.announced.list, m.replica.ListVersion()) > 0
}

// heard remembers a neighbour that holds more than this member.
func (m *Machine) observeVersion(now time.Duration, from shuffle.Neighbour, sequence uint64, list *pb.ListVersion) {
	newer := sequence > m.replica.Sequence() || CompareVersions(list, m.replica.ListVersion()) > 0
	if !newer || from.Host == "" || from.Address == "" {
		return
	}
	askAt := now + pullDelay
	if m.lacksAnnounced() {
		askAt = min(askAt, m.announced.pullAt)
	}
	m.announced = announcedVersion{neighbour: from, sequence: sequence, list: list, pullAt: askAt}
}

// compare is the cheap comparison: versions alone.
func (m *Machine) versionComparison(with shuffle.Neighbour) Compare {
	snapshot := m.replica.Snapshot()
	return Compare{
		To:      with,
		Digests: &pb.RangeDigests{Sequence: snapshot.Sequence(), Generation: snapshot.Generation()},
		List:    m.replica.ListVersion(),
	}
}

// digestComparison is the comparison that is answered by a repair.
func (m *Machine) digestComparison(with shuffle.Neighbour) Compare {
	snapshot := m.replica.Snapshot()
	return Compare{To: with, Digests: snapshot.Digests(), List: m.replica.ListVersion(), Base: snapshot}
}

// addMissingState adds what a neighbour lacks. Large news is passed on as it came, and what follows it in changes; one that
// lies far behind tells its digests when it asks again.
func (m *Machine) addMissingState(response *pb.CompareResponse, request CompareRequested) {
	changes, complete := m.replica.Since(request.Digests.GetSequence())
	repairable := len(request.Digests.GetDigests()) > 0 // a repair brings all, packed news perhaps a part
	if request.AcceptsCompressed && (!complete && !repairable || isWorthCompressing(changes)) {
		response.Packed = m.replica.Compressed(request.Digests.GetSequence())
	}
	switch {
	case response.Packed != nil:
		response.Changes, _ = m.replica.Since(response.Packed.GetSequence())
	case complete:
		response.Changes = changes
	case len(request.Digests.GetDigests()) > 0:
		response.Repair = m.replica.Snapshot().RepairFor(request.Digests)
	}
}

// compared takes what a neighbour holds beyond this member. If changes alone can't bring it, digests follow.
func (m *Machine) receiveComparison(now time.Duration, answer Compared) []Action {
	response := answer.Response
	actions := m.applyUpdate(now, answer.Request.To.Host, UpdateReceived{
		Changes:    response.GetChanges(),
		Base:       answer.Request.Base,
		Repair:     response.GetRepair(),
		Compressed: response.GetPacked(),
		List:       response.GetList(),
	})
	if response.GetSequence() > m.replica.Sequence() && answer.Request.Base == nil {
		actions = append(actions, m.digestComparison(answer.Request.To))
	}
	return actions
}
