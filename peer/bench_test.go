package peer_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/monsoontiller/monsoontiller/peer/peerv1"
)

func newUpdate(items, presences int) *peerv1.News {
	from := &peerv1.Identity{Number: 1234, Incarnation: 1796300000000000000, Name: "entry-1234", PeerAddress: "10.12.34.56:7200", DataCentre: "riga-pardaugava"}
	n := &peerv1.News{From: from, ConfigDigest: 1 << 60, PresenceDigest: 1 << 61, FreshAgeMs: 1234, Addressed: 1796300000000000000, Witness: true}
	for k := range items {
		text := fmt.Sprintf("customer = \"c-%d\"\n[[database]]\nname = \"d\"\ngroup = \"g-%d\"\n", k, k)
		n.Items = append(n.Items, &peerv1.Item{Key: fmt.Sprintf("contract/c-%d", k), Revision: 7, Text: text, Author: "operator", RequestId: "0123456789abcdef0123456789abcdef", AcceptedUnix: 1796300000})
	}
	for range presences {
		n.Presences = append(n.Presences, &peerv1.Presence{Identity: from, Revision: 1796300000000000001, State: 1})
	}
	return n
}

// BenchmarkEncodeUpdate measures the encoding time and the size of a heartbeat by its number of items and presences.
func BenchmarkEncodeUpdate(b *testing.B) {
	for _, c := range []struct{ items, presences int }{{0, 0}, {1, 0}, {0, 1}, {10, 10}} {
		b.Run(fmt.Sprintf("items=%d,presences=%d", c.items, c.presences), func(b *testing.B) {
			n := newUpdate(c.items, c.presences)
			size := 0
			for b.Loop() {
				raw, err := proto.Marshal(n)
				if err != nil {
					b.Fatal(err)
				}
				size = len(raw)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
