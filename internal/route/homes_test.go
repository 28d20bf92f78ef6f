package route

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "fieldrelay/api/fieldrelay/v1"
)

func TestHomesByHost(t *testing.T) {
	item := func(name, body string) *pb.Item { return &pb.Item{Kind: "routes", Name: name, Body: []byte(body)} }
	homes := HomesByHost([]*pb.Item{
		item("a", `{"vhost":"One.example:80","path-prefix":"/a/","backend":"s","home-regions":["west","east"]}`),
		item("b", `{"vhost":"one.example","path-prefix":"/b/","backend":"s","home-regions":["east"]}`),
		item("c", `{"vhost":"one.example","path-prefix":"/c/","backend":"s"}`),
		item("d", `{"vhost":"two.example","path-prefix":"/d/","backend":"s","home-regions":[]}`),
		item("e", `{"vhost":"three.example","path-prefix":"/e/","backend":"s","home-regions":["north"]}`),
		item("f", `{"vhost":"three.example","path-prefix":"","backend":"s","home-regions":["north"]}`),
		item("g", `no route`),
	})
	require.Equal(t, map[string]map[string]int{
		"one.example":   {"west": 1, "east": 2},
		"three.example": {"north": 1},
	}, homes)
}
