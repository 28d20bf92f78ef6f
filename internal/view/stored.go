package view

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Change is what is to be kept on top of what is kept already. Fields that are empty change nothing.
type Change struct {
	Forget    bool   // all that was kept, first
	Voter     uint64 // identity
	Era       uint64
	HardState []byte // the engine's own state
	Snapshot  []byte // entries up to its index need not be kept
	Entries   []Entry
}

// Entry is one of the engine's log. It replaces those kept with the same and with higher numbers.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// StoredState is the state of a voter, as it is read back.
type StoredState struct {
	Voter     uint64  `cbor:"1,keyasint"`
	Era       uint64  `cbor:"2,keyasint"`
	HardState []byte  `cbor:"3,keyasint"`
	Snapshot  []byte  `cbor:"4,keyasint"`
	Entries   []Entry `cbor:"5,keyasint"` // by number, without a gap
}

// Apply keeps a change.
func (k *StoredState) Apply(c Change) error {
	if c.Forget {
		*k = StoredState{}
	}
	if c.Voter != 0 {
		k.Voter, k.Era = c.Voter, c.Era
	}
	if c.HardState != nil {
		k.HardState = c.HardState
	}
	if len(c.Entries) > 0 {
		for len(k.Entries) > 0 && k.Entries[len(k.Entries)-1].Index >= c.Entries[0].Index {
			k.Entries = k.Entries[:len(k.Entries)-1]
		}
		k.Entries = append(k.Entries, c.Entries...)
	}
	if c.Snapshot != nil {
		k.Snapshot = c.Snapshot
		last, err := SnapshotIndex(c.Snapshot)
		if err != nil {
			return err
		}
		for len(k.Entries) > 0 && k.Entries[0].Index <= last {
			k.Entries = k.Entries[1:]
		}
	}
	return nil
}

// SnapshotIndex is the number up to which a snapshot stands for the entries.
func SnapshotIndex(snapshot []byte) (uint64, error) {
	var s raftpb.Snapshot
	err := proto.Unmarshal(snapshot, &s)
	return s.GetMetadata().GetIndex(), err
}

// Clone is a copy that later changes do not touch.
func (k *StoredState) Clone() *StoredState {
	if k == nil {
		return nil
	}
	c := *k
	c.Entries = append([]Entry(nil), k.Entries...)
	return &c
}

// storage is the engine's own store, filled with what was kept.
func (k *StoredState) engineStorage() (*raft.MemoryStorage, decidedState, error) {
	var d decidedState
	var s raftpb.Snapshot
	var hard raftpb.HardState
	store := raft.NewMemoryStorage()
	if err := errors.Join(proto.Unmarshal(k.Snapshot, &s), proto.Unmarshal(k.HardState, &hard)); err != nil {
		return nil, d, fmt.Errorf("view: kept state: %w", err)
	}
	if s.GetMetadata().GetIndex() > 0 {
		if err := errors.Join(store.ApplySnapshot(&s), cbor.Unmarshal(s.Data, &d)); err != nil {
			return nil, d, fmt.Errorf("view: kept snapshot: %w", err)
		}
	}
	var entries []*raftpb.Entry
	for i, e := range k.Entries {
		entry := new(raftpb.Entry)
		if err := proto.Unmarshal(e.Data, entry); err != nil {
			return nil, d, fmt.Errorf("view: kept entry %d: %w", e.Index, err)
		}
		if entry.GetIndex() != e.Index || i > 0 && e.Index != k.Entries[i-1].Index+1 || e.Index <= s.GetMetadata().GetIndex() {
			return nil, d, fmt.Errorf("view: kept entry %d is out of its place", e.Index)
		}
		entries = append(entries, entry)
	}
	last := s.GetMetadata().GetIndex()
	if len(entries) > 0 {
		last = entries[len(entries)-1].GetIndex()
	}
	if hard.GetCommit() > last {
		return nil, d, fmt.Errorf("view: %d entries are kept, %d were decided: the state is not whole", last, hard.GetCommit())
	}
	return store, d, errors.Join(store.SetHardState(&hard), store.Append(entries))
}

func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // the engine's own messages have a form
	}
	if b == nil {
		b = []byte{}
	}
	return b
}
