package coordination

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

func putCall(key, value string, expected ...uint64) *pb.CoordinationCall {
	put := &pb.PutKey{Name: key, Value: value}
	if len(expected) > 0 {
		put.ExpectedRevision = &expected[0]
	}
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_Put{Put: put}}
}

func readCall(key string) *pb.CoordinationCall {
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_Read{Read: &pb.ReadKey{Name: key}}}
}

func watchCall(after uint64) *pb.CoordinationCall {
	return &pb.CoordinationCall{Operation: &pb.CoordinationCall_Watch{Watch: &pb.WatchGroup{Group: "g.", After: after}}}
}

func TestGroupOfKey(t *testing.T) {
	for key, group := range map[string]string{"g1.2d": "g1.", "g1.a.b": "g1.", "solo": "solo", ".x": ".", "g1.": "g1."} {
		assert.Equal(t, group, GroupOf(key), key)
		put, watch := putCall(key, "v"), watchCall(1)
		watch.GetWatch().Group = group
		assert.Equal(t, registerOf(put), registerOf(watch), key)
	}
}

func TestObjectsOfOneNameAreDifferentRegisters(t *testing.T) {
	number := &pb.CoordinationCall{Operation: &pb.CoordinationCall_NextNumber{NextNumber: &pb.NextNumber{Name: "l"}}}
	names := map[string]bool{registerOf(acquireCall("a", hold)): true, registerOf(number): true, registerOf(putCall("l", "v")): true}
	assert.Len(t, names, 3)
	assert.Equal(t, registerOf(acquireCall("a", hold)), registerOf(renewCall("a", 1, hold)))
	assert.Equal(t, registerOf(acquireCall("a", hold)), registerOf(releaseCall("a", 1)))
}

func TestPutsShareTheRevisionsOfTheirGroup(t *testing.T) {
	group := &testRegister{}
	for index, key := range []string{"g.a", "g.b", "g.a"} {
		outcome := group.execute(0, putCall(key, strconv.Itoa(index)))
		requireOutcome(t, outcomeOK, outcome)
		assert.Equal(t, uint64(index)+1, outcome.Result.GetRevision())
	}
	found := group.execute(0, readCall("g.a"))
	assert.Equal(t, "2", found.Result.GetValue())
	assert.Equal(t, uint64(3), found.Result.GetRevision())
	requireOutcome(t, outcomeNotFound, group.execute(0, readCall("g.c")))
}

func TestPutThatIsSentAgainHasItsFirstRevision(t *testing.T) {
	group := &testRegister{}
	group.execute(0, putCall("g.a", "x", 0))
	group.execute(0, putCall("g.a", "y", 1))
	for value, revision := range map[string]uint64{"x": 1, "y": 2} {
		again := group.execute(0, putCall("g.a", value, revision-1))
		requireOutcome(t, outcomeOK, again)
		assert.Equal(t, revision, again.Result.GetRevision())
		assert.Nil(t, again.Change)
	}
}

func TestSameValueAtAnotherKeyIsAnotherPut(t *testing.T) {
	group := &testRegister{}
	group.execute(0, putCall("g.a", "x"))
	assert.Equal(t, uint64(2), group.execute(0, putCall("g.b", "x")).Result.GetRevision())
}

func TestConditionThatFailsNamesTheRevisionOfTheKey(t *testing.T) {
	group := &testRegister{}
	group.execute(0, putCall("g.a", "x"))
	group.execute(0, putCall("g.b", "y"))
	for key, wrong := range map[string]uint64{"g.a": 0, "g.b": 1, "g.c": 2} {
		outcome := group.execute(0, putCall(key, "z", wrong))
		requireOutcome(t, outcomeMismatch, outcome)
		assert.Equal(t, map[string]uint64{"g.a": 1, "g.b": 2}[key], outcome.Result.GetRevision())
	}
}

func TestWatchTellsOfAllPutsAfterARevision(t *testing.T) {
	group := &testRegister{}
	assert.Zero(t, group.execute(0, watchCall(0)).Result.GetRevision())
	for index := range 3 {
		group.execute(0, putCall("g.a", strconv.Itoa(index)))
	}
	present := group.execute(0, watchCall(0))
	assert.Equal(t, uint64(3), present.Result.GetRevision())
	assert.Empty(t, present.Result.GetEvents())
	told := group.execute(0, watchCall(1))
	require.Len(t, told.Result.GetEvents(), 2)
	assert.Equal(t, uint64(2), told.Result.GetEvents()[0].GetRevision())
	assert.Equal(t, uint64(3), told.Result.GetRevision())
	assert.True(t, group.execute(0, watchCall(3)).Wait)
	assert.True(t, group.execute(0, watchCall(9)).Wait)
}

func TestWatchOfARevisionThatIsNotKeptIsCompacted(t *testing.T) {
	group := &testRegister{}
	for index := range 3 {
		group.execute(0, putCall("g.a", strconv.Itoa(index)))
	}
	state := group.value.GetGroup()
	state.Events = state.GetEvents()[2:]
	requireOutcome(t, outcomeCompacted, group.execute(0, watchCall(1)))
	requireOutcome(t, outcomeOK, group.execute(0, watchCall(2)))
	state.Events = nil
	requireOutcome(t, outcomeCompacted, group.execute(0, watchCall(2)))
	assert.True(t, group.execute(0, watchCall(3)).Wait)
}

func TestGroupIsBounded(t *testing.T) {
	group := &pb.KeyGroupState{Revision: maxKeys}
	for index := range uint64(maxKeys) {
		group.Keys = append(group.Keys, &pb.KeyEvent{Name: "g." + strconv.FormatUint(index, 10), Value: "x", Revision: index + 1})
	}
	full := &testRegister{value: &pb.RegisterValue{Kind: &pb.RegisterValue_Group{Group: group}}}
	requireOutcome(t, outcomeBusy, full.execute(0, putCall("g.other", "y")))
	requireOutcome(t, outcomeOK, full.execute(0, putCall("g.1", "y")))
}

func TestEventsAreBounded(t *testing.T) {
	group := &pb.KeyGroupState{Revision: maxEvents}
	for index := range uint64(maxEvents) {
		group.Events = append(group.Events, &pb.KeyEvent{Name: "g.a", Value: strconv.FormatUint(index, 10), Revision: index + 1})
	}
	group.Keys = group.GetEvents()[maxEvents-1:]
	full := &testRegister{value: &pb.RegisterValue{Kind: &pb.RegisterValue_Group{Group: group}}}
	requireOutcome(t, outcomeBusy, full.execute(0, putCall("g.a", "y")))
	requireOutcome(t, outcomeOK, full.execute(0, putCall("g.a", "5")))
}

func TestCallWithoutAnOperationIsNotExecuted(t *testing.T) {
	outcome := Execute(nil, &pb.CoordinationCall{}, (&testRegister{}).conditions(0))
	requireOutcome(t, pb.CoordinationResult_OUTCOME_UNAVAILABLE, outcome)
	assert.Nil(t, outcome.Change)
}
