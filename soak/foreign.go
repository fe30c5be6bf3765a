package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

const (
	// kindRouteMove leads the route of movingDatabase to the other group for a while.
	kindRouteMove = "route_move"
	// kindOddEntry writes an entry of another writer among those of the members, and removes it.
	kindOddEntry = "odd_entry"
	// otherGroupName is the name of the second database group.
	otherGroupName = "g2"
	// movingDatabase is the database whose route moves.
	movingDatabase = "moving"
	// maxMoveTime bounds the time between two moves of a route.
	maxMoveTime = 1500 * time.Millisecond
	// cutShare is one in how many messages is cut, and maxCutPause bounds the pause between the two pieces.
	cutShare    = 20
	maxCutPause = 900 * time.Millisecond
)

// RouteMoves returns n moves of a route, in the first four fifths of a run of the given length.
func RouteMoves(seed uint64, length time.Duration, n int) []Fault {
	return drawn(rand.New(rand.NewPCG(seed, 0x40e5)), length, n, maxMoveTime, kindRouteMove)
}

// OddEntries returns n entries of another writer, in the first four fifths of a run of the given length.
func OddEntries(seed uint64, length time.Duration, n int) []Fault {
	return drawn(rand.New(rand.NewPCG(seed, 0x0dde)), length, n, maxRandomDuration, kindOddEntry)
}

func drawn(r *rand.Rand, length time.Duration, n int, maxDuration time.Duration, kind string) []Fault {
	var out []Fault
	for range n {
		out = append(out, Fault{
			At: time.Duration(r.Int64N(int64(length * 4 / 5))), Duration: 200*time.Millisecond + time.Duration(r.Int64N(int64(maxDuration))),
			Kind: kind, Target: r.IntN(1 << 16),
		})
	}
	return out
}

// otherGroups returns the names of the groups besides the first.
func (c Config) otherGroups() []string {
	if c.RouteMoves == 0 {
		return nil
	}
	return []string{otherGroupName}
}

// movingDatabases returns the databases whose route moves, at a group.
func (c Config) movingDatabases(group string) []platformtest.Database {
	if c.RouteMoves == 0 {
		return nil
	}
	return []platformtest.Database{{Name: movingDatabase, Kind: platformtest.KindSession, Group: group}}
}

// database returns the database of a caller.
func (c Config) database(number int) platformtest.Database {
	all := append(append([]platformtest.Database(nil), databases...), c.movingDatabases(groupName)...)
	return all[number%len(all)]
}

// startOtherGroup starts the second group, in a run in which a route moves.
func (f *fixture) startOtherGroup(ctx context.Context, oracle *Oracle) error {
	for _, name := range f.cfg.otherGroups() {
		g, err := platformtest.NewGroup(name, 3)
		if err != nil {
			return err
		}
		g.SetConnectionLimit(f.cfg.Connections)
		g.Observe(func(e platformtest.Execution) {
			oracle.RecordRun(e)
			if f.accounts != nil {
				f.accounts.oracle.RecordRun(e)
			}
		})
		f.background(ctx, g.Run)
		for _, m := range g.Members() {
			f.writeEntry(m, platformtest.StateReady)
		}
	}
	return nil
}

// moveRoute leads the route of the moving database to the other group, and back.
func (f *fixture) moveRoute(ctx context.Context, fault Fault) {
	lead := func(group string) {
		f.operator.Update(func(c *platformtest.Configuration) { c.Databases = f.cfg.movingDatabases(group) })
	}
	lead(otherGroupName)
	pause(ctx, fault.Duration)
	lead(groupName)
}

// oddEntries are entries that name no member, with the group's name for %s.
var oddEntries = []string{
	`{"Service":%q,"Address":"127.0.0.1:99999","Zone":"z1","Version":"v1","Capacity":5,"State":"ready","WarmupLeftMs":0,"DbRole":"replica","Sequence":1}`,
	`{"Service":%q,"Address":"127.0.0.1","Zone":"z1","Version":"v1","Capacity":5,"State":"ready","WarmupLeftMs":0,"DbRole":"primary","Sequence":1}`,
	`{"Service":%q,"Address":"127.0.0.1:9","Zone":"z1","Version":"v1","Capacity":9223372036854775807,"State":"ready","WarmupLeftMs":0,"DbRole":"replica","Sequence":1}`,
	`{"Service":%q,"Address":"127.0.0.1:9","Zone":"z1","Version":"v1","Capacity":5,"State":"ready","WarmupLeftMs":0,"DbRole":"replica","Sequence":1,"born":9223372036854775807}`,
	`{"Service":%q,"Address":"127.0.0.1:9","Zone":"z1","Version":1,"Capacity":5,"State":"ready","WarmupLeftMs":0,"DbRole":"replica","Sequence":1}`,
	`{"Service":%q,"Extra":` + strings.Repeat("[", 200000),
}

// writeOddEntry writes an odd entry, and removes it at the end of the fault.
func (f *fixture) writeOddEntry(ctx context.Context, fault Fault) {
	key := fmt.Sprintf("odd-%d", fault.Target)
	f.mu.Lock()
	f.putLocked(platform.TableEndpoints, key, []byte(fmt.Sprintf(oddEntries[fault.Target%len(oddEntries)], groupName)))
	f.mu.Unlock()
	pause(ctx, fault.Duration)
	f.removeEntry(key)
}

// data returns the data of the write with an ID. In a run with cut messages, it quotes a request.
func (c *Client) data(id string) string {
	if c.cuts == nil {
		return "d" + id
	}
	return "d" + id + " " + quotedRequest + id + " WRITE i0 quoted"
}

// quotedRequest begins the request in the data of a write.
const quotedRequest = "QUERY quoted-"

// exec sends a statement, in one piece or in two, of which the second may look like a request.
func (c *Client) exec(id, text string) (platformtest.Answer, error) {
	if c.cuts == nil || c.cuts.IntN(cutShare) != 0 {
		return c.session.Exec(id, text)
	}
	at := strings.Index(text, quotedRequest)
	if at < 0 || c.cuts.IntN(2) == 0 {
		at = c.cuts.IntN(len(text))
	}
	return c.session.ExecInPieces(id, text, at, time.Duration(c.cuts.Int64N(int64(maxCutPause))))
}
