package logic_test

import (
	"fmt"
	"time"

	"fieldrelay/internal/sidecar/logic"
)

func Example() {
	b, err := logic.New(logic.Config{
		Zone:    "a",
		Classes: []logic.Class{{Name: "read", LatencyTarget: 200 * time.Millisecond, Deadline: time.Second}},
		Limits:  logic.Limits{MaxAttempts: 3, Cancel: true, ParallelAttempts: true},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second // of any monotonic clock
	b.Step(now, &logic.Event{Kind: logic.EvServerList, Complete: true,
		Servers: []logic.Server{{ID: 7, Zone: "a"}}}, nil)
	acts := b.Step(now, &logic.Event{Kind: logic.EvRequest, Request: 1, Class: "read",
		Expires: now + time.Second}, nil)
	for _, a := range acts {
		if a.Kind == logic.ActSend {
			fmt.Println("send request", a.Request, "to server", a.Server)
		}
	}
	// Output: send request 1 to server 7
}
