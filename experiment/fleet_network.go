package experiment

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/monsoontiller/monsoontiller/failover"
	"github.com/monsoontiller/monsoontiller/peer"
	"github.com/monsoontiller/monsoontiller/pool"
)

// fleetNetwork carries the calls between the instances of a simulated fleet, without delay, and counts their bytes.
type fleetNetwork struct {
	mu    sync.Mutex
	hosts map[string]*fleetHost
	total FleetTraffic
}

// fleetHost is an instance as the network sees it; the handler is nil until the instance has started.
type fleetHost struct {
	handler    http.Handler
	dataCentre string
}

// FleetTraffic counts the calls between instances, and the bytes of their bodies.
type FleetTraffic struct {
	Calls int
	Bytes int
	// BytesAcross is the part of Bytes between data centres.
	BytesAcross int
}

// Minus returns the traffic since an earlier count.
func (t FleetTraffic) Minus(earlier FleetTraffic) FleetTraffic {
	return FleetTraffic{Calls: t.Calls - earlier.Calls, Bytes: t.Bytes - earlier.Bytes, BytesAcross: t.BytesAcross - earlier.BytesAcross}
}

// traffic returns the counts so far.
func (n *fleetNetwork) traffic() FleetTraffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.total
}

// start makes the host at address reachable.
func (n *fleetNetwork) start(address, dataCentre string, handler http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = &fleetHost{handler: handler, dataCentre: dataCentre}
}

// fleetTransport is an instance's side of the network; it implements http.RoundTripper.
type fleetTransport struct {
	network    *fleetNetwork
	dataCentre string
}

// RoundTrip calls the handler of the addressed instance; it fails if that instance has not started.
func (t *fleetTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.network.mu.Lock()
	host := t.network.hosts[req.URL.Host]
	t.network.mu.Unlock()
	if host == nil {
		return nil, io.ErrUnexpectedEOF
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	req = req.Clone(req.Context())
	req.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	host.handler.ServeHTTP(recorder, req)
	size := len(body) + recorder.Body.Len()
	t.network.mu.Lock()
	t.network.total.Calls++
	t.network.total.Bytes += size
	if host.dataCentre != t.dataCentre {
		t.network.total.BytesAcross += size
	}
	t.network.mu.Unlock()
	return recorder.Result(), nil
}

// fleetBackend is the backend of an instance that holds no sessions.
type fleetBackend struct{}

func (fleetBackend) PrimaryLost(string, uint64) bool             { return false }
func (fleetBackend) Cancel(context.Context, uint32, []byte) bool { return false }
func (fleetBackend) Lend(string, pool.LoanReport) int            { return 0 }
func (fleetBackend) ApplyReport(string, pool.LoanReport)         {}
func (fleetBackend) Loans(string) []peer.Loan                    { return nil }
func (fleetBackend) ItemApplied(peer.ConfigItem)                 {}
func (fleetBackend) Evidence([]string) peer.LeaseEvidence        { return peer.LeaseEvidence{} }
func (fleetBackend) Revoke(string, failover.Revoke)              {}
func (fleetBackend) PeerChanged()                                {}

// LendTokens lends no quota tokens.
func (fleetBackend) LendTokens(map[string]float64) map[string]float64 { return nil }
