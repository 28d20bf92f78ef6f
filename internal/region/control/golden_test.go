package control

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/chain"
	"fieldrelay/internal/region/quorum"
	"fieldrelay/internal/region/ring"
	"fieldrelay/internal/region/settings"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func goldenReplica(number int) *pb.Replica {
	return &pb.Replica{
		Host:           fmt.Sprintf("core-%d", number),
		Identity:       fmt.Sprintf("identity%d", number),
		Address:        fmt.Sprintf("127.0.0.%d:7660", number),
		Zone:           fmt.Sprintf("hall-%d", number),
		Region:         "west",
		ControlAddress: fmt.Sprintf("127.0.0.%d:8146", number),
	}
}

func goldenView(number uint64, members ...int) *pb.View {
	view := &pb.View{Number: number, Cluster: "cluster1", Voters: []*pb.Replica{goldenReplica(1), goldenReplica(2), goldenReplica(3)}}
	for _, member := range members {
		view.Chain = append(view.Chain, goldenReplica(member))
	}
	return view
}

// goldenDisk returns a snapshot and records that contain every kind of record and everything that each of them can
// hold: changes by all kinds of orders, a repair with ranges and executed orders, views, a synchronized view number,
// and an acceptor that has promised and accepted.
func goldenDisk(t *testing.T) (snapshot []byte, records []ring.Record) {
	t.Helper()
	state := catalog.Empty()
	take := func(change *pb.Change, err error) *pb.Change {
		require.NoError(t, err)
		state, err = state.Apply(change)
		require.NoError(t, err)
		return change
	}
	for range 70 {
		take(catalog.PrepareReplace(state, state.Generation(), noteOrder(state.Generation()).GetBody()))
	}
	acceptor := quorum.NewAcceptor(4)
	require.True(t, acceptor.Prepare(&pb.Prepare{ViewNumber: 4, Ballot: &pb.Ballot{Round: 2, Proposer: "core-1/identity1"}}).GetGranted())
	snapshot = joinSnapshot([]ring.Record{
		identityRecord("identity2", true),
		writeRecord(chain.Write{SynchronizedView: 2, Repair: state.ReplicaRepairFor(nil)}),
		writeRecord(chain.Write{SynchronizedView: 2, View: goldenView(3, 1, 2)}),
		promiseRecord(acceptor),
	}, nil)
	write := func(write chain.Write) { records = append(records, writeRecord(write)) }
	change := func(change *pb.Change, err error) { write(chain.Write{SynchronizedView: 3, Change: take(change, err)}) }
	write(chain.Write{SynchronizedView: 3})
	change(catalog.PrepareEvacuation(state, "hall-1", true))
	change(catalog.PrepareEvacuation(state, "hall-3", true))
	change(catalog.PrepareReplace(state, 70, noteOrder(70).GetBody()))
	change(catalog.PrepareAmend(state, 71, []byte(`{"gen":72,"upsert":{"backends":[{"name":"s1"},{"name":"s2"}]}}`)))
	change(catalog.PrepareAmend(state, 72, []byte(`{"gen":73,"remove":{"backends":["s2"]}}`)))
	change(catalog.PrepareEvacuation(state, "hall-1", false))
	write(chain.Write{SynchronizedView: 3, View: goldenView(4, 2, 3)})
	before := state.ReplicaDigests()
	take(catalog.PrepareAmend(state, 73, []byte(`{"gen":74,"upsert":{"backends":[{"name":"s3"}]}}`)))
	write(chain.Write{SynchronizedView: 4, Repair: state.ReplicaRepairFor(before)})
	acceptor = quorum.NewAcceptor(5)
	ballot := &pb.Ballot{Round: 3, Proposer: "core-3/identity3"}
	require.True(t, acceptor.Accept(&pb.Accept{ViewNumber: 5, Ballot: ballot, Value: goldenView(5, 3, 1)}).GetGranted())
	require.True(t, acceptor.Prepare(&pb.Prepare{ViewNumber: 5, Ballot: &pb.Ballot{Round: 4, Proposer: "core-1/identity1"}}).GetGranted())
	return snapshot, append(records, promiseRecord(acceptor))
}

// machineDisk returns what a cluster of one machine writes from its first start, with fixed random numbers.
func machineDisk(t *testing.T) (snapshot []byte, records []ring.Record) {
	t.Helper()
	l := newSingleMachine(t)
	for base := range uint64(9) {
		l.requireStatus(http.StatusOK, noteOrder(base))
	}
	return l.snapshot, l.records
}

// writeRing returns the content of the ring file for a snapshot and records.
func writeRing(t *testing.T, snapshot []byte, records []ring.Record) []byte {
	t.Helper()
	folder := t.TempDir()
	opened, _, err := ring.Open(folder, ring.Options{Files: 2, FileBytes: 4 << 10, Nonce: func() uint64 { return 0x1234 }})
	require.NoError(t, err)
	require.NoError(t, opened.Snapshot(snapshot))
	require.NoError(t, opened.Append(records...))
	require.NoError(t, opened.Close())
	content, err := os.ReadFile(filepath.Join(folder, "ring-0"))
	require.NoError(t, err)
	return content
}

// goldenFile returns the content of a golden file; with -update it writes the file first.
func goldenFile(t *testing.T, name string, written []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		var packed bytes.Buffer
		packer := gzip.NewWriter(&packed)
		_, err := packer.Write(written)
		require.NoError(t, err)
		require.NoError(t, packer.Close())
		require.NoError(t, os.WriteFile(path, packed.Bytes(), 0o600))
	}
	return goldenRead(t, name)
}

func goldenRead(t *testing.T, name string) []byte {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", name))
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	unpacked, err := gzip.NewReader(file)
	require.NoError(t, err)
	content, err := io.ReadAll(unpacked)
	require.NoError(t, err)
	return content
}

// goldenFolder is a state folder with a golden ring.
func goldenFolder(t *testing.T, content []byte) string {
	t.Helper()
	folder := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(folder, "control"), 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "control", "ring-0"), content, 0o600))
	return folder
}

// Guards the format on disk: the same state and the same steps of a machine must produce the same bytes in the ring.
func TestGoldenRingsAreWrittenByteForByte(t *testing.T) {
	for name, disk := range map[string]func(*testing.T) ([]byte, []ring.Record){
		"golden-ring.gz":         goldenDisk,
		"golden-ring-machine.gz": machineDisk,
	} {
		snapshot, records := disk(t)
		content := writeRing(t, snapshot, records)
		require.True(t, bytes.Equal(goldenFile(t, name, content), content), "%s differs", name)
	}
}

func replicaTexts(replicas []*pb.Replica) []string {
	texts := []string{}
	for _, one := range replicas {
		texts = append(texts, fmt.Sprintf("%s %s %s %s %s %s", one.GetHost(), one.GetIdentity(), one.GetAddress(),
			one.GetZone(), one.GetRegion(), one.GetControlAddress()))
	}
	return texts
}

func viewValues(view *pb.View) map[string]any {
	return map[string]any{"number": view.GetNumber(), "cluster": view.GetCluster(),
		"voters": replicaTexts(view.GetVoters()), "chain": replicaTexts(view.GetChain())}
}

// recoveredValues lists everything that was recovered, under the keys of the golden files.
func recoveredValues(t *testing.T, found *Inspection) []byte {
	t.Helper()
	var kinds, items []string
	for _, record := range found.Ring.Files[0].Records {
		kinds = append(kinds, fmt.Sprintf("%d %s", record.Kind, RecordName(record.Kind)))
	}
	for _, kind := range found.State.Kinds() {
		for _, item := range found.State.Items(kind) {
			items = append(items, fmt.Sprintf("%s %s %d %d %s", kind, item.GetName(), item.GetOrder(), item.GetSequence(), item.GetBody()))
		}
	}
	orders, since := found.State.ExecutedOrders()
	ballot := func(one *pb.Ballot) string { return fmt.Sprintf("%d %s", one.GetRound(), one.GetProposer()) }
	text, err := json.MarshalIndent(map[string]any{
		"records": kinds, "identity": found.Identity, "bootstrap": found.Bootstrap,
		"view": viewValues(found.View), "basis": found.SynchronizedView,
		"sequence": found.State.Sequence(), "generation": found.State.Generation(), "items": items,
		"evacuated": found.State.EvacuatedZones(), "taken-orders": orders, "taken-since": since,
		"promise": map[string]any{"view": found.Promise.GetViewNumber(), "promised": ballot(found.Promise.GetPromised()),
			"accepted-in": ballot(found.Promise.GetAcceptedBallot()), "accepted": viewValues(found.Promise.GetAccepted())},
	}, "", " ")
	require.NoError(t, err)
	return append(text, '\n')
}

// Guards upgrades in place: the ring of an earlier version must be recovered completely, both by Inspect and by a
// machine that starts on it.
func TestGoldenRingsAreRecovered(t *testing.T) {
	for _, name := range []string{"golden-ring", "golden-ring-machine", "golden-ring-without-registers"} {
		content := goldenRead(t, name+".gz")
		folder := goldenFolder(t, content)
		found, err := Inspect(folder)
		require.NoError(t, err)
		require.NoError(t, found.Failure)
		values := recoveredValues(t, found)
		path := filepath.Join("testdata", name+".json")
		if *update {
			require.NoError(t, os.WriteFile(path, values, 0o600))
		}
		want, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Equal(t, string(want), string(values))

		opened, recovered, replaced, err := openRing(context.Background(),
			Options{Settings: &settings.Settings{StateDir: folder}, Logger: zap.NewNop()})
		require.NoError(t, err)
		require.False(t, replaced)
		require.NoError(t, opened.Close())
		machine, err := NewMachine(Config{Self: goldenReplica(2), Random: rand.New(rand.NewPCG(1, 1))}, recovered)
		require.NoError(t, err)
		require.Equal(t, found.Identity, machine.Self().GetIdentity())
		require.Equal(t, found.View.GetNumber(), machine.View().GetNumber())
		require.Equal(t, found.Bootstrap, machine.local.bootstrap)

		// executed orders are recognized; other orders on the same generations are conflicts
		for base := range uint64(7) {
			_, err = catalog.PrepareReplace(found.State, base, noteOrder(base).GetBody())
			var again *catalog.AlreadyExecutedError
			require.ErrorAs(t, err, &again)
			_, err = catalog.PrepareReplace(found.State, base, otherNoteOrder(base).GetBody())
			var conflict *catalog.ConflictError
			require.ErrorAs(t, err, &conflict)
		}
	}
}
