package registry

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "fieldrelay/api/fieldrelay/v1"
)

// capacityZones is the number of zones of a large deployment.
const capacityZones = 43

func capacityServers(count int) []*pb.Server {
	servers := make([]*pb.Server, 0, count)
	for i := range count {
		servers = append(servers, &pb.Server{
			Id:       fmt.Sprintf("i-%08x", uint32(i)*2654435761),
			Service:  "model-" + strconv.Itoa(i%3),
			Address:  fmt.Sprintf("10.%d.%d.%d:8080", 128+i%capacityZones, i/250, i%250),
			Zone:     fmt.Sprintf("region-%02d-zone-%02d", i%18, i%capacityZones),
			Capacity: 64,
			Software: "v1",
			Models:   []string{"m"},
		})
	}
	return sortServers(servers)
}

func capacityRecord(i int) *pb.AgentRecord {
	return &pb.AgentRecord{
		Host:         fmt.Sprintf("edge-region-%02d-zone-%02d-%d", i%18, i%capacityZones, i),
		Incarnation:  1 << 60,
		Zone:         fmt.Sprintf("region-%02d-zone-%02d", i%18, i%capacityZones),
		Region:       fmt.Sprintf("region-%02d", i%18),
		AgentAddress: fmt.Sprintf("10.%d.%d.%d:7661", i%capacityZones, i/250, i%250),
		EdgeAddress:  fmt.Sprintf("10.%d.%d.%d:8144", i%capacityZones, i/250, i%250),
		Ready:        true,
		Sequence:     12000,
	}
}

func capacityAgents(count int) *Agents {
	agents := NewAgents(1 << 40)
	for i := range count {
		agents.Observe(time.Minute, capacityRecord(i))
	}
	return agents
}

// BenchmarkCapacityListMessage builds and encodes the complete server list, as for one agent.
func BenchmarkCapacityListMessage(b *testing.B) {
	for _, count := range []int{100, 1000, 3100} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			list := &ServerList{version: &pb.ListVersion{Epoch: 1, Holder: "core", Revision: 7}, servers: capacityServers(count)}
			benchmarkMarshal(b, func() proto.Message { return list.Message(time.Minute) })
		})
	}
}

// BenchmarkCapacityListRead decodes the complete server list, as each receiver does.
func BenchmarkCapacityListRead(b *testing.B) {
	data, err := proto.Marshal(&pb.ServerList{Servers: capacityServers(3100)})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := proto.Unmarshal(data, &pb.ServerList{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCapacityMembersMessage builds and encodes all members, as for one agent.
func BenchmarkCapacityMembersMessage(b *testing.B) {
	for _, count := range []int{50, 390, 1000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			members := capacityAgents(count).Refresh(time.Minute)
			benchmarkMarshal(b, func() proto.Message { return members.Message(time.Minute) })
		})
	}
}

func benchmarkMarshal(b *testing.B, message func() proto.Message) {
	b.Helper()
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		data, err := proto.Marshal(message())
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "B/message")
}

// BenchmarkCapacityObserveAndRefresh observes one agent's changed record and lists all members again.
func BenchmarkCapacityObserveAndRefresh(b *testing.B) {
	agents := capacityAgents(390)
	records := []*pb.AgentRecord{capacityRecord(5), capacityRecord(5)}
	records[1].Ready = false
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		agents.Observe(time.Minute, records[i%2])
		agents.Refresh(time.Minute)
	}
}

// BenchmarkCapacitySameServers compares the lists of two polls.
func BenchmarkCapacitySameServers(b *testing.B) {
	first, second := capacityServers(3100), capacityServers(3100)
	b.ReportAllocs()
	for b.Loop() {
		if !pollTolerances.Same(first, second, time.Second) {
			b.Fatal("not the same")
		}
	}
}
