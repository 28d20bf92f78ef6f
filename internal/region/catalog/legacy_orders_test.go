package catalog_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/catalog"
)

// legacyItemLimit is the number of orders that earlier versions recorded as items.
const legacyItemLimit = 64

// legacyItemName returns the name of the item that earlier versions wrote for an order.
func legacyItemName(order executedOrder) string {
	text := "amend"
	if order.isReplace() {
		text = "replace"
	}
	data := append([]byte(text), 0)
	data = binary.BigEndian.AppendUint64(data, order.base)
	sum := sha256.Sum256(append(data, order.body...))
	return hex.EncodeToString(sum[:])
}

// executeAsItems executes orders as earlier versions did: it records them as items.
func executeAsItems(t *testing.T, snapshot *catalog.Snapshot, count int) (*catalog.Snapshot, []executedOrder) {
	var orders []executedOrder
	for range count {
		order := orderOn(snapshot.Generation(), "a")
		change, err := order.prepare(snapshot)
		require.NoError(t, err)
		change.OrderDigest = nil
		change.Upserts = append(change.Upserts, &pb.Item{
			Kind:     "taken",
			Name:     legacyItemName(order),
			Order:    change.GetSequence(),
			Sequence: change.GetSequence(),
			Body:     []byte(strconv.FormatUint(change.GetGeneration(), 10)),
		})
		if items := snapshot.Items("taken"); len(items) >= legacyItemLimit {
			change.Removals = append(change.Removals, &pb.ItemKey{Kind: "taken", Name: items[0].GetName()})
		}
		snapshot, err = snapshot.Apply(change)
		require.NoError(t, err)
		orders = append(orders, order)
	}
	return snapshot, orders
}

func TestLegacyOrderItemsAreMigrated(t *testing.T) {
	for _, count := range []int{1, legacyItemLimit - 1, legacyItemLimit, 200} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			state, orders := executeAsItems(t, catalog.Empty(), count)
			migrated, found := state.MigrateLegacyOrders()
			require.True(t, found)
			require.NotContains(t, migrated.Kinds(), "taken")
			require.Equal(t, state.Sequence(), migrated.Sequence())
			require.Equal(t, readBack(t, state), readBack(t, migrated))
			known := min(count, legacyItemLimit-1)
			for index, order := range orders {
				want := http.StatusOK
				if index < count-known {
					want = http.StatusServiceUnavailable
				}
				require.Equal(t, want, answerTo(t, migrated, order), "order %d", index)
			}
			again, found := migrated.MigrateLegacyOrders()
			require.False(t, found)
			require.Same(t, migrated, again)
		})
	}
}

// A head of an earlier version executes orders between two heads of this version, which leaves a gap in the record. The
// earlier orders are then unknown, and must not be rejected.
func TestOrdersExecutedByAHeadOfTheEarlierVersion(t *testing.T) {
	state, before := executeOrders(t, catalog.Empty(), 10, "a")
	state, between := executeAsItems(t, state, 5)
	state, after := executeOrders(t, state, 10, "a")
	check := func(state *catalog.Snapshot) {
		for _, order := range append(before, between...) {
			require.Equal(t, http.StatusServiceUnavailable, answerTo(t, state, order), "order on %d", order.base)
		}
		for _, order := range after {
			require.Equal(t, http.StatusOK, answerTo(t, state, order), "order on %d", order.base)
		}
	}
	check(state)
	migrated, found := state.MigrateLegacyOrders()
	require.True(t, found)
	require.NotContains(t, migrated.Kinds(), "taken")
	check(migrated)
}

// Items that do not end at the generation in force, or are malformed, are removed without recording their orders.
func TestItemsThatDoNotFitAreNotTrusted(t *testing.T) {
	state, orders := executeAsItems(t, catalog.Empty(), 10)
	newest := state.Items("taken")[9]
	damage := map[string]*pb.Change{
		"missing newest": {Removals: []*pb.ItemKey{{Kind: "taken", Name: newest.GetName()}}},
		"no generation":  {Upserts: []*pb.Item{{Kind: "taken", Name: newest.GetName(), Order: newest.GetOrder(), Body: []byte("x")}}},
		"no digest":      {Upserts: []*pb.Item{{Kind: "taken", Name: "abc", Order: 1, Body: []byte("1")}}},
	}
	for name, change := range damage {
		t.Run(name, func(t *testing.T) {
			change.Sequence, change.Generation = state.Sequence()+1, state.Generation()
			damaged, err := state.Apply(change)
			require.NoError(t, err)
			migrated, found := damaged.MigrateLegacyOrders()
			require.True(t, found)
			require.Equal(t, http.StatusServiceUnavailable, answerTo(t, migrated, orders[3]))
			_, later := executeOrders(t, migrated, 1, "a")
			require.Len(t, later, 1)
		})
	}
}
