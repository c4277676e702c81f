package cell

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/lending"
	"github.com/mangogate/mangogate/node/peer"
	"github.com/mangogate/mangogate/node/wire"
	"github.com/rcrowley/go-metrics"
)

// BenchmarkLendAndReturn measures the processor time, of both ends, and the bytes, without
// the headers of TCP and IP, of the two calls that a leader answers for each request.
func BenchmarkLendAndReturn(b *testing.B) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	registry := metrics.NewRegistry()
	server := peer.NewServer(address, nil, nil, hclog.NewNullLogger(), registry)
	leader := &pausingLeader{returned: make(chan lending.Usage, 1)}
	if err := server.Register(RPCName, leader); err != nil {
		b.Fatal(err)
	}
	if err := server.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Stop(context.Background()) }()
	client := peer.NewClient(nil, nil, metrics.NewRegistry())
	client.Options = peer.Options{Connections: 1, NoPings: true}
	defer func() { _ = client.Stop(context.Background()) }()
	began, n := processorTime(), 0
	for b.Loop() {
		a := LendArgs{Service: "orders", VM: "front-a-12", RequestID: fmt.Sprintf("%016x", n), DataCentre: "zone-a", Route: "orders-read", Priority: 2,
			Idempotent: true, Age: 2 * time.Millisecond, Objective: 598 * time.Millisecond, Deadline: 1498 * time.Millisecond, Key: 31201, Print: 1 << 60,
			SentAt: 123456 * time.Second}
		var reply LendReply
		if err := client.Call(context.Background(), address, RPCName+".Lend", a, &reply); err != nil {
			b.Fatal(err)
		}
		u := ReturnArgs{Service: "orders", Usage: lending.Usage{ID: 123456, Result: lending.Answered, Took: 200 * time.Millisecond, Load: &lending.LoadReport{Running: 3, Slots: 4, Slowdown: 1.1}}}
		if err := client.Call(context.Background(), address, RPCName+".Return", u, &struct{}{}); err != nil {
			b.Fatal(err)
		}
		<-leader.returned
		n++
	}
	c := wire.NewCounters("peer.server", registry)
	b.ReportMetric(float64((processorTime()-began).Microseconds())/float64(n), "cpu-us/request")
	b.ReportMetric(float64(c.In.Count())/float64(n), "B-in/request")
	b.ReportMetric(float64(c.Out.Count())/float64(n), "B-out/request")
	b.ReportMetric(float64(c.Writes.Count()+c.Reads.Count())/float64(n), "calls/request")
}
