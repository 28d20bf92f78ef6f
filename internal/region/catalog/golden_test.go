package catalog_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// goldenChanges returns the changes of 70 orders, more than one chunk of the record of executed orders holds, and of
// evacuations that begin and end, together with the resulting state. The orders include amendments with and without
// removals.
func goldenChanges(t *testing.T) (*catalog.Snapshot, []*pb.Change) {
	t.Helper()
	snapshot := catalog.Empty()
	var changes []*pb.Change
	apply := func(change *pb.Change, err error) {
		snapshot = applied(t, snapshot, change, err)
		changes = append(changes, change)
	}
	for range 66 {
		apply(catalog.PrepareReplace(snapshot, snapshot.Generation(), goldenOrder(snapshot.Generation())))
	}
	apply(catalog.PrepareEvacuation(snapshot, "hall-b", true))
	apply(catalog.PrepareEvacuation(snapshot, "hall-ä", true))
	apply(catalog.PrepareAmend(snapshot, 66, []byte(`{"gen":70,"upsert":{"routes":[`+route("added")+`],"backends":[{"name":"s3"}],"note":{"x":[1,2]}}}`)))
	apply(catalog.PrepareAmend(snapshot, 70, []byte(`{"gen":71,"remove":{"routes":["b"]}}`)))
	apply(catalog.PrepareEvacuation(snapshot, "hall-b", false))
	apply(catalog.PrepareReplace(snapshot, 71, configuration(80, route("a"), route("c"), route("added"))))
	apply(catalog.PrepareAmend(snapshot, 80, []byte(`{"gen":81,"upsert":{"backends":[{"name":"s4","note":"é"}]}}`)))
	return snapshot, changes
}

// goldenOrder returns the body of the order on one of the first generations.
func goldenOrder(base uint64) []byte {
	return configuration(base+1, route("a"), route("b", fmt.Sprintf(`"note":%d`, base/10)))
}

// goldenState describes the golden state: what the operator API shows of it, and the digests that replicas compare.
type goldenState struct {
	Sequence   uint64              `json:"sequence"`
	Generation uint64              `json:"generation"`
	Items      []string            `json:"items"` // kind, name, order, sequence, body
	Evacuated  []string            `json:"evacuated"`
	Orders     int                 `json:"taken-orders"`
	Since      uint64              `json:"taken-since"`
	Config     json.RawMessage     `json:"configuration"`
	Digests    map[string][]uint64 `json:"digests"`
}

func describe(t *testing.T, snapshot *catalog.Snapshot) []byte {
	t.Helper()
	state := goldenState{Sequence: snapshot.Sequence(), Generation: snapshot.Generation(), Evacuated: snapshot.EvacuatedZones()}
	for _, kind := range snapshot.Kinds() {
		for _, item := range snapshot.Items(kind) {
			state.Items = append(state.Items, fmt.Sprintf("%s %s %d %d %s",
				item.GetKind(), item.GetName(), item.GetOrder(), item.GetSequence(), item.GetBody()))
		}
	}
	state.Orders, state.Since = snapshot.ExecutedOrders()
	state.Config = json.RawMessage(readBack(t, snapshot))
	digests := snapshot.ReplicaDigests()
	state.Digests = map[string][]uint64{"items": digests.GetDigests(), "taken": digests.GetExecutedOrders().GetChunks()}
	text, err := json.MarshalIndent(state, "", " ")
	require.NoError(t, err)
	return append(text, '\n')
}

func golden(t *testing.T, name string, written []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.WriteFile(path, written, 0o600))
	}
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	return content
}

// Guards the stored form of a snapshot against incompatible changes: the same state is serialized to the same bytes, and
// the bytes of an earlier version are parsed to the same items, evacuations, record of executed orders and digests.
func TestGoldenSnapshot(t *testing.T) {
	snapshot, _ := goldenChanges(t)
	encoded, err := snapshot.Marshal()
	require.NoError(t, err)
	stored := golden(t, "golden-snapshot.bin", encoded)
	require.True(t, bytes.Equal(stored, encoded), "the encoding differs from the golden one")
	want := string(golden(t, "golden-snapshot.json", describe(t, snapshot)))
	read, err := catalog.Unmarshal(stored)
	require.NoError(t, err)
	require.Equal(t, want, string(describe(t, read)))
	require.True(t, read.Equal(snapshot))
	for base := range uint64(66) {
		_, err = catalog.PrepareReplace(read, base, goldenOrder(base))
		var already *catalog.AlreadyExecutedError
		require.ErrorAs(t, err, &already, "the order on %d", base)
		_, err = catalog.PrepareReplace(read, base, configuration(base+1, route("other")))
		var conflict *catalog.ConflictError
		require.ErrorAs(t, err, &conflict, "another order on %d", base)
	}
}

// Guards the form of changes on disk and on the wire against incompatible changes: the same orders make changes of the
// same bytes, and the changes of an earlier version lead to the same state.
func TestGoldenChanges(t *testing.T) {
	snapshot, changes := goldenChanges(t)
	var written strings.Builder
	for _, change := range changes {
		encoded, err := proto.Marshal(change)
		require.NoError(t, err)
		fmt.Fprintf(&written, "%x\n", encoded)
	}
	stored := string(golden(t, "golden-changes.txt", []byte(written.String())))
	require.Equal(t, stored, written.String())
	state := catalog.Empty()
	for line := range strings.Lines(stored) {
		var encoded []byte
		_, err := fmt.Sscanf(line, "%x\n", &encoded)
		require.NoError(t, err)
		change := &pb.Change{}
		require.NoError(t, proto.Unmarshal(encoded, change))
		state, err = state.Apply(change)
		require.NoError(t, err)
	}
	require.True(t, state.Equal(snapshot))
}
