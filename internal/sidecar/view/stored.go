package view

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Change is a change of a voter's stored state. Empty fields change nothing.
type Change struct {
	Forget    bool    // discard the stored state before the other fields are applied
	Voter     uint64  // identity under which this process votes
	Era       uint64  // era of the voter's group
	HardState []byte  // Raft's term, vote and commit index
	Snapshot  []byte  // snapshot that replaces the entries up to its index
	Entries   []Entry // log entries to append
}

// Entry is an entry of the engine's log. It replaces the stored entries with the same and higher indexes.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"`
	Data  []byte `cbor:"2,keyasint"`
}

// StoredState is the stored state of a voter.
type StoredState struct {
	Voter     uint64  `cbor:"1,keyasint"`
	Era       uint64  `cbor:"2,keyasint"`
	HardState []byte  `cbor:"3,keyasint"`
	Snapshot  []byte  `cbor:"4,keyasint"`
	Entries   []Entry `cbor:"5,keyasint"` // log entries in the order of their indexes, without gaps
}

// Apply applies a change. It returns an error if the snapshot cannot be decoded.
func (st *StoredState) Apply(c Change) error {
	if c.Forget {
		*st = StoredState{}
	}
	if c.Voter != 0 {
		st.Voter, st.Era = c.Voter, c.Era
	}
	if c.HardState != nil {
		st.HardState = c.HardState
	}
	if len(c.Entries) > 0 {
		for len(st.Entries) > 0 && st.Entries[len(st.Entries)-1].Index >= c.Entries[0].Index {
			st.Entries = st.Entries[:len(st.Entries)-1]
		}
		st.Entries = append(st.Entries, c.Entries...)
	}
	if c.Snapshot != nil {
		st.Snapshot = c.Snapshot
		last, err := SnapshotIndex(c.Snapshot)
		if err != nil {
			return err
		}
		for len(st.Entries) > 0 && st.Entries[0].Index <= last {
			st.Entries = st.Entries[1:]
		}
	}
	return nil
}

// SnapshotIndex returns the index up to which a snapshot replaces the entries.
func SnapshotIndex(snapshot []byte) (uint64, error) {
	var s raftpb.Snapshot
	err := proto.Unmarshal(snapshot, &s)
	return s.GetMetadata().GetIndex(), err
}

// Clone returns a copy that is independent of later changes of the original.
func (st *StoredState) Clone() *StoredState {
	if st == nil {
		return nil
	}
	c := *st
	c.Entries = append([]Entry(nil), st.Entries...)
	return &c
}

// engineStorage builds the engine's storage and the decided state from the stored state. It returns an error if the stored state
// is inconsistent: a voter that has lost a part of its state must not vote, since it could break an earlier promise.
func (st *StoredState) engineStorage() (*raft.MemoryStorage, decidedState, error) {
	var d decidedState
	var s raftpb.Snapshot
	var hard raftpb.HardState
	store := raft.NewMemoryStorage()
	if err := errors.Join(proto.Unmarshal(st.Snapshot, &s), proto.Unmarshal(st.HardState, &hard)); err != nil {
		return nil, d, fmt.Errorf("view: decode stored state: %w", err)
	}
	if s.GetMetadata().GetIndex() > 0 {
		if err := errors.Join(store.ApplySnapshot(&s), cbor.Unmarshal(s.Data, &d)); err != nil {
			return nil, d, fmt.Errorf("view: decode stored snapshot: %w", err)
		}
	}
	var entries []*raftpb.Entry
	for i, e := range st.Entries {
		entry := new(raftpb.Entry)
		if err := proto.Unmarshal(e.Data, entry); err != nil {
			return nil, d, fmt.Errorf("view: decode stored entry %d: %w", e.Index, err)
		}
		if entry.GetIndex() != e.Index || i > 0 && e.Index != st.Entries[i-1].Index+1 || e.Index <= s.GetMetadata().GetIndex() {
			return nil, d, fmt.Errorf("view: stored entry %d is out of sequence", e.Index)
		}
		entries = append(entries, entry)
	}
	last := s.GetMetadata().GetIndex()
	if len(entries) > 0 {
		last = entries[len(entries)-1].GetIndex()
	}
	if hard.GetCommit() > last {
		return nil, d, fmt.Errorf("view: stored state is incomplete: it ends at entry %d, entries up to %d were committed", last, hard.GetCommit())
	}
	return store, d, errors.Join(store.SetHardState(&hard), store.Append(entries))
}

// marshal encodes a message of the engine. The result is never nil, since nil in a Change means that there is no message.
func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // unreachable: the engine's own messages can always be encoded
	}
	if b == nil {
		b = []byte{}
	}
	return b
}
