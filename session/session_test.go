package session_test

import (
	"testing"
	"time"

	"github.com/monsoontiller/monsoontiller/fault"
	"github.com/monsoontiller/monsoontiller/group"
	"github.com/monsoontiller/monsoontiller/session"
)

var connectedAt = time.Unix(1000, 0)

func TestProbeSentBeforeConnectGivesNoFloor(t *testing.T) {
	s := session.New(session.Config{ConnectedAt: connectedAt})
	if s.InitFloor(group.NewPoint(1, 5), connectedAt.Add(-time.Millisecond)) {
		t.Error("a probe sent before the session connected was accepted as its floor")
	}
	if s.HasFloor() {
		t.Error("the session has a floor without a usable probe")
	}
	if !s.InitFloor(group.NewPoint(1, 7), connectedAt) {
		t.Error("a probe sent at the time of the connect was rejected")
	}
}

func TestFloorNeverFalls(t *testing.T) {
	s := session.New(session.Config{ConnectedAt: connectedAt, Floor: group.NewPoint(2, 9)})
	s.Raise(group.NewPoint(2, 4), connectedAt)
	s.Raise(group.NewPoint(1, 50), connectedAt)
	if floor, _ := s.Floor(); floor != group.NewPoint(2, 9) {
		t.Errorf("floor = %v, want 2/9", floor)
	}
}

func TestLostWriteIsReportedOnce(t *testing.T) {
	s := session.New(session.Config{ConnectedAt: connectedAt, Floor: group.NewPoint(1, 30)})
	h := group.NewHistory(group.NewTermStart(1, 0), group.NewTermStart(2, 20))
	_, err := s.Resolve(h, connectedAt.Add(time.Second))
	if fault.KindOf(err) != fault.KindLostWrite {
		t.Fatalf("Resolve gave %v, want a lost write", err)
	}
	if s.HasFloor() {
		t.Error("the session kept a floor that was lost")
	}
	if s.InitFloor(group.NewPoint(2, 25), connectedAt.Add(time.Millisecond)) {
		t.Error("a probe sent before the report was accepted as the new floor")
	}
	s.InitFloor(group.NewPoint(2, 25), connectedAt.Add(time.Second))
	if _, err := s.Resolve(h, connectedAt); err != nil {
		t.Errorf("second Resolve: %v", err)
	}
}

func TestTokenRoundTripAndScope(t *testing.T) {
	codec, err := session.NewCodec(session.CodecConfig{Key: []byte("0123456789abcdef")})
	if err != nil {
		t.Fatal(err)
	}
	scope := session.Scope{Customer: "baird-lennox", Database: "candidates-1"}
	log := group.NewLog("candidates-1")
	token := codec.Encode(scope, log, group.NewPoint(3, 77))
	got, err := codec.Decode(scope, log, token)
	if err != nil || got != group.NewPoint(3, 77) {
		t.Fatalf("Decode = %v, %v", got, err)
	}
	other := session.Scope{Customer: "lellu", Database: "candidates-1"}
	if _, err := codec.Decode(other, log, token); fault.KindOf(err) != fault.KindUnauthorized {
		t.Errorf("a token of another customer was not rejected as unauthorized: %v", err)
	}
	forged := []byte(token)
	forged[5] ^= 1
	if _, err := codec.Decode(scope, log, string(forged)); err == nil {
		t.Error("a forged token was accepted")
	}
}

// Guards against a floor that is taken over into another group's log; the first version's token names no log.
func TestTokenOfAnotherLogGivesNoFloor(t *testing.T) {
	codec, err := session.NewCodec(session.CodecConfig{Key: []byte("0123456789abcdef")})
	if err != nil {
		t.Fatal(err)
	}
	scope := session.Scope{Customer: "baird-lennox", Database: "candidates-1"}
	for _, test := range []struct{ name, token string }{
		{"another group", codec.Encode(scope, group.NewLog("candidates-2"), group.NewPoint(3, 77))},
		{"first version", "AQAAAAAAAAADAAAAAAAAAE1sDbacMp-cGNWCtUet5xBN"},
	} {
		got, err := codec.Decode(scope, group.NewLog("candidates-1"), test.token)
		if err != nil || !got.IsZero() {
			t.Errorf("%s: Decode = %v, %v, want no floor", test.name, got, err)
		}
	}
}

func FuzzTokenDecode(f *testing.F) {
	codec, err := session.NewCodec(session.CodecConfig{Key: []byte("0123456789abcdef")})
	if err != nil {
		f.Fatal(err)
	}
	scope, log := session.Scope{Customer: "c", Database: "d"}, group.NewLog("g")
	f.Add(codec.Encode(scope, log, group.NewPoint(1, 2)))
	f.Fuzz(func(t *testing.T, token string) {
		point, err := codec.Decode(scope, log, token)
		if err == nil && codec.Encode(scope, log, point) != token {
			t.Fatalf("token %q decodes to %v but is not its encoding", token, point)
		}
	})
}
