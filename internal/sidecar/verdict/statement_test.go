package verdict

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestStatementsMergeInAnyOrder checks that all members converge to the same table in whatever order and however often
// statements arrive, and that no suspension is undone by a statement whose author did not know of it.
func TestStatementsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members [4]Table
		var declared []Statement
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			at := rapid.IntRange(0, 3).Draw(t, "member")
			if len(declared) > 0 && rapid.Bool().Draw(t, "receives") { // receive a statement made before
				members[at].Merge([]Statement{declared[rapid.IntRange(0, len(declared)-1).Draw(t, "statement")]})
				continue
			}
			node := fmt.Sprint("n", rapid.IntRange(0, 2).Draw(t, "node"))
			statement, err := members[at].Declare(node, fmt.Sprint("m", at), rapid.Bool().Draw(t, "suspends"))
			if err != nil {
				t.Fatal(err)
			}
			declared = append(declared, statement)
		}
		for i := range members {
			order := rapid.Permutation(declared).Draw(t, "order")
			members[i].Merge(order)
			members[i].Merge(order[:len(order)/2])
			if !slices.Equal(members[i].All(), members[0].All()) || members[i].Digest() != members[0].Digest() {
				t.Fatalf("tables differ:\n%v\n%v", members[i].All(), members[0].All())
			}
		}
		for _, w := range declared { // a final statement was made with knowledge of all that it supersedes, or is a suspension
			for _, holds := range members[0].All() {
				if holds.Node == w.Node && w.Suspended && !holds.Suspended && holds.Version <= w.Version {
					t.Fatalf("suspension %v is undone by %v", w, holds)
				}
			}
		}
	})
}

func TestBounds(t *testing.T) {
	var a Table
	for i := range MaxStatements {
		if _, err := a.Declare(fmt.Sprint("n", i), "m", true); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := a.Declare("one more", "m", true); err == nil {
		t.Error("statement about a further node accepted by a full table")
	}
	if _, err := a.Declare("n7", "m", false); err != nil { // a node no longer suspended may be evicted
		t.Fatal(err)
	}
	if _, err := a.Declare("one more", "m", true); err != nil || len(a.All()) != MaxStatements || slices.Contains(a.Suspended(), "n7") {
		t.Error(err, len(a.All()))
	}
	if len(a.Merge([]Statement{{Node: "", Version: 1}, {Node: "x"}, {Node: string(make([]byte, MaxNodeBytes+1)), Version: 9}})) != 0 {
		t.Error("malformed statements were merged")
	}
	var b Table
	if b.Digest() != 0 || b.Digest() == a.Digest() {
		t.Error("digest of an empty table is not 0, or equals that of a full one")
	}
}
