package peer

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/readlease"
	"github.com/zinclb/zinclb/internal/peer/internal/wire"
)

// BenchmarkPing measures a leader's round of pings to four other controllers with 3,000
// outstanding cancellations, including both sides and the encoding: without read leases,
// for the first grants of read leases, and for the later grants, one each second.
func BenchmarkPing(b *testing.B) {
	const others, outstanding, second = 4, 3000, 1_000_000 // second is in microseconds
	var buffer bytes.Buffer
	encoder, decoder := gob.NewEncoder(&buffer), gob.NewDecoder(&buffer)
	totalBytes := 0
	send := func(in, out any) {
		if err := encoder.Encode(in); err != nil {
			b.Fatal(err)
		}
		totalBytes += buffer.Len()
		if err := decoder.Decode(out); err != nil {
			b.Fatal(err)
		}
	}
	peers := []string{"n1", "n2", "n3", "n4"}
	var grantors [others]*readlease.Grantor
	for i := range grantors {
		grantors[i] = readlease.NewGrantor(peers[i], []string{"n0"}, 10*second, 0)
		for n := range outstanding {
			grantors[i].RecordCancellation(fmt.Sprintf("req-%06d", n), 0)
		}
	}
	round := func(holder *readlease.Holder, now int64) {
		for i, peer := range peers {
			for more := true; more; {
				ping := core.PingReceived{From: "n0", Incarnation: "b"}
				if holder != nil {
					request := holder.NextRequest(peer, 7, now)
					ping.ReadLeaseRequest = &request
				}
				var received wire.PingArgs
				args := wire.NewPing(ping)
				send(&args, &received)
				receivedPing := received.Core()
				status := core.PeerStatus{FencingToken: 3, Leader: "n0", Ack: &readlease.HolderAck{}}
				if receivedPing.ReadLeaseRequest != nil {
					page := grantors[i].Grant("n0", *receivedPing.ReadLeaseRequest, true, now)
					status.ReadLease = &page
				}
				var answered wire.PingReply
				answer := wire.NewPingReply(peer, status)
				send(&answer, &answered)
				reply := answered.Core()
				more = false
				if holder != nil {
					holder.HandleGrant(peer, now, now, *reply.ReadLease)
					more = reply.ReadLease.More
				}
			}
		}
	}
	b.Run("no grants", func(b *testing.B) {
		totalBytes = 0
		for b.Loop() {
			round(nil, 0)
		}
		b.ReportMetric(float64(totalBytes)/float64(b.N), "B/round")
	})
	b.Run("first grants", func(b *testing.B) {
		totalBytes = 0
		for b.Loop() {
			round(readlease.NewHolder(peers, 10*second), 0)
		}
		b.ReportMetric(float64(totalBytes)/float64(b.N), "B/round")
	})
	b.Run("later grants", func(b *testing.B) {
		holder := readlease.NewHolder(peers, 10*second)
		round(holder, 0)
		totalBytes = 0
		for b.Loop() {
			round(holder, 0)
		}
		b.ReportMetric(float64(totalBytes)/float64(b.N), "B/round")
	})
}
