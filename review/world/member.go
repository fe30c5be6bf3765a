package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// groupName is the name of the only database group.
const groupName = "records1"

// Times of the group, as the sheet of bairdlennox-pool gives them.
const (
	promoteTime   = 600 * time.Millisecond
	replicaLag    = 60 * time.Millisecond
	stepDownAfter = time.Second
	// syncTimeout is how long a commit waits for a replica before its connection is closed.
	syncTimeout = 3 * time.Second
	// replicateInterval is how often the members exchange their logs.
	replicateInterval = 2 * time.Millisecond
)

// capacity is the number of slots of a member, and how long a request occupies one.
type capacity struct {
	slots       int
	write, read time.Duration
}

// Capacities, as the sheets of two sites give them: the mean work of booking and sponsor, and of intake-deposit and
// parts-reserve.
var (
	bairdlennoxCapacity = capacity{slots: 5, write: 11 * time.Millisecond, read: 33 * time.Millisecond}
	ldcCapacity         = capacity{slots: 2, write: 4500 * time.Microsecond, read: 14 * time.Millisecond}
)

const (
	handshakeTime = 12 * time.Millisecond
	controlTime   = 500 * time.Microsecond
)

// workOf returns how long a request occupies a slot.
func (c capacity) workOf(text string) time.Duration {
	fields := strings.Fields(text)
	if len(fields) > 2 && fields[0] == "MINLSN" {
		fields = fields[2:]
	}
	switch fields[0] {
	case "READ":
		return c.read
	case "WRITE", "COMMIT", "EXECUTE":
		return c.write
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return controlTime
	}
	return 0
}

// entry is one committed write of a log.
type entry struct {
	term      uint64
	id        string
	committed time.Time
}

// commit is a write as it was committed at a member.
type commit struct {
	entry
	member string
	number int
}

// read is a read as a member ran it.
type read struct {
	id     string
	member string
	at     time.Time
	log    []entry
}

// promotion is a promotion that has taken effect.
type promotion struct {
	member string
	term   uint64
	at     time.Time
	// log is what the member had received.
	log []entry
}

// group is a database group whose members replicate one log.
type group struct {
	record   *record
	capacity capacity
	mu       sync.Mutex
	// term is the newest term of any member.
	term    uint64
	members []*member
	// syncReplica is set if the service has SyncReplicas 1: a commit is acknowledged once one replica has received it.
	syncReplica bool
	pending     map[string]bool
	// firstOrder, if set, is called when the first promotion is ordered.
	firstOrder func(m *member)
	commits    []commit
	reads      []read
	promotions []promotion
	// statements holds the requests of callers as the members received them.
	statements []statement
	executions []execution
}

// statement is a request as a member received it.
type statement struct {
	member, id, text string
}

// execution is a run of a prepared statement: its shape, and the arguments that it ran with.
type execution struct {
	member, id, shape, arguments string
	// unknown means that nothing was prepared under the name.
	unknown bool
}

// member is one database server of the group.
type member struct {
	id       string
	zone     string
	group    *group
	listener net.Listener
	primary  bool
	term     uint64
	// log holds the entries that the member has received, of which the first applied are visible to reads.
	log     []entry
	applied int
	slots   chan struct{}
	// deaf is set while a replica receives nothing.
	deaf bool
	// held is the term of the newest PAUSE, or 0.
	held uint64
	// reachedAt is when a primary of a newer term became reachable, or zero.
	reachedAt time.Time
	draining  bool
	// dark is set while nothing reaches the member and nothing leaves it; lightAt is when that ended, or zero.
	dark    bool
	lightAt time.Time
	// running marks a dark member that is only partitioned from the machines: the platform reaches it, and so do the other
	// members if reachesMembers is set.
	running, reachesMembers bool
	// door is the socket of closeDoor.
	door     int
	receipts int
	conns    int
}

// newGroup returns a group without members.
func newGroup(r *record, c capacity) *group {
	return &group{record: r, capacity: c, term: 1, pending: map[string]bool{}}
}

// add starts a member; the first one is the primary.
func (g *group) add(id, zone string) (*member, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &member{id: id, zone: zone, group: g, listener: l, slots: make(chan struct{}, g.capacity.slots)}
	g.mu.Lock()
	defer g.mu.Unlock()
	m.primary = len(g.members) == 0
	m.term = g.term
	if m.primary {
		m.log = []entry{{term: 1, id: "first"}}
	} else {
		m.log = append(m.log, g.leader().log...)
	}
	m.applied = len(m.log)
	g.members = append(g.members, m)
	go m.serve()
	return m, nil
}

// leader returns the primary of the newest term, or nil; the group is locked.
func (g *group) leader() *member {
	var newest *member
	for _, m := range g.members {
		if m.primary && (newest == nil || m.term > newest.term) {
			newest = m
		}
	}
	return newest
}

// replicate exchanges the logs until stop is closed.
func (g *group) replicate(stop <-chan struct{}) {
	ticker := time.NewTicker(replicateInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			g.mu.Lock()
			g.step(now)
			g.mu.Unlock()
		case <-stop:
			return
		}
	}
}

// step lets each member follow the primary of the newest term.
func (g *group) step(now time.Time) {
	leader := g.leader()
	if leader == nil || leader.isolated() {
		return
	}
	for _, m := range g.members {
		switch {
		case m == leader || m.isolated() || m.deaf || m.held > m.term:
		case m.primary && m.reachedAt.IsZero():
			m.reachedAt = now
		case m.primary && now.Sub(m.reachedAt) < stepDownAfter:
		case m.term < leader.term:
			// Entries that the new primary lacks are rolled back.
			m.primary, m.term, m.held, m.reachedAt = false, leader.term, 0, time.Time{}
			m.log = append([]entry(nil), leader.log...)
			m.applied = len(m.log)
		case len(m.log) < len(leader.log):
			m.log = append(m.log, leader.log[len(m.log):]...)
		}
	}
	for _, m := range g.members {
		for m.applied < len(m.log) && (m.primary || now.Sub(m.log[m.applied].committed) >= replicaLag) {
			m.applied++
		}
	}
}

// promote orders the promotion of a member, which takes effect later; it reports whether such a member runs.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.id != id {
			continue
		}
		if m.dark && !m.running {
			return false
		}
		if m == g.leader() || g.pending[id] {
			return true
		}
		g.pending[id] = true
		if f := g.firstOrder; f != nil {
			g.firstOrder = nil
			f(m)
		}
		time.AfterFunc(promoteTime, func() { g.lead(m) })
		return true
	}
	return false
}

// lead makes a member the primary of the next term.
func (g *group) lead(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, m.id)
	if m.dark && !m.running {
		g.record.write("group", "%s is not running: its promotion has no effect", m.id)
		return
	}
	if m == g.leader() {
		return
	}
	g.term++
	m.primary, m.term, m.held, m.reachedAt = true, g.term, 0, time.Time{}
	m.applied = len(m.log)
	now := time.Now()
	if !m.isolated() {
		for _, other := range g.members {
			other.held = 0
		}
	}
	g.promotions = append(g.promotions, promotion{member: m.id, term: m.term, at: now, log: append([]entry(nil), m.log...)})
	g.record.write("group", "%s leads term %d from number %d", m.id, m.term, len(m.log))
	g.step(now)
}

// entryText returns the member's entry in the store.
func (m *member) entryText() []byte {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	role, state := "replica", "ready"
	if m.primary {
		role = "primary"
	}
	if m.draining {
		state = "draining"
	}
	raw, err := json.Marshal(map[string]any{
		"Service": groupName, "Address": m.listener.Addr().String(), "Zone": m.zone, "Version": "v1", "Capacity": 5,
		"State": state, "WarmupLeftMs": 0, "DbRole": role, "Sequence": time.Now().UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	return raw
}

func (m *member) serve() {
	for {
		nc, err := m.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			c := &conn{member: m, nc: nc, in: bufio.NewReader(nc), state: "I", values: map[string]string{}, prepared: map[string]string{}}
			c.run()
			nc.Close()
		}()
	}
}

// position returns the end of the first n entries of the member's log; the group is locked.
func (m *member) position(n int) string { return fmt.Sprintf("%d.%d", m.log[n-1].term, n) }

// holds reports whether the applied log has the entry at a position; the group is locked.
func (m *member) holds(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, errTerm := strconv.ParseUint(term, 10, 64)
	n, errNumber := strconv.Atoi(number)
	return errTerm == nil && errNumber == nil && n >= 1 && n <= m.applied && m.log[n-1].term == t
}

// conn is one connection to a member.
type conn struct {
	member   *member
	nc       net.Conn
	in       *bufio.Reader
	state    string
	readOnly bool
	pending  []string
	// committed is the number of the last entry that the running request committed, or 0.
	committed int
	values    map[string]string
	prepared  map[string]string
}

// isolated reports whether the other members do not reach the member; the group is locked.
func (m *member) isolated() bool { return m.dark && !m.reachesMembers }

// setDark begins or ends a time in which nothing reaches the member and nothing leaves it.
func (m *member) setDark(dark bool) {
	m.group.mu.Lock()
	m.dark = dark
	if !dark {
		m.lightAt = time.Now()
	}
	m.group.mu.Unlock()
	if dark {
		m.closeDoor()
	} else {
		m.openDoor()
	}
}

// closeDoor makes new connections to the member's address hang, as if the opening packets were dropped: it replaces the
// listener by one that accepts nothing and whose queue is full.
func (m *member) closeDoor() {
	address := m.listener.Addr().(*net.TCPAddr)
	m.listener.Close()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		panic(err)
	}
	m.door = fd
	to := &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}
	for _, err := range []error{
		syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1), syscall.Bind(fd, to), syscall.Listen(fd, 0),
	} {
		if err != nil {
			panic(err)
		}
	}
	for range 2 {
		go func() {
			nc, err := net.DialTimeout("tcp", address.String(), 20*time.Second)
			if err == nil {
				time.Sleep(20 * time.Second)
				nc.Close()
			}
		}()
	}
}

// openDoor ends what closeDoor began.
func (m *member) openDoor() {
	address := m.listener.Addr().String()
	syscall.Close(m.door)
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	m.group.mu.Lock()
	m.listener = l
	m.group.mu.Unlock()
	go m.serve()
}

// awaitLight returns true if the member is not dark. Otherwise it holds the connection back until the time is over, and
// returns false: what was sent meanwhile is lost.
func (m *member) awaitLight() bool {
	waited := false
	for {
		m.group.mu.Lock()
		dark := m.dark
		m.group.mu.Unlock()
		if !dark {
			return !waited
		}
		waited = true
		time.Sleep(5 * time.Millisecond)
	}
}

// readMessage returns the next message, which ends with CR LF; a line feed alone is part of a field.
func readMessage(in *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := in.ReadBytes('\n')
		line = append(line, part...)
		if err != nil {
			return "", err
		}
		if text, ended := strings.CutSuffix(string(line), "\r\n"); ended {
			return text, nil
		}
	}
}

func (c *conn) send(lines ...string) {
	if _, err := c.nc.Write([]byte(strings.Join(lines, "\r\n") + "\r\n")); err != nil {
		c.nc.Close()
	}
}

func (c *conn) run() {
	line, err := readMessage(c.in)
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "START" {
		return
	}
	m, g := c.member, c.member.group
	if !m.awaitLight() {
		return
	}
	if fields[1] != groupName || len(fields) > 3 && fields[3] != m.id {
		c.send("ERROR WRONGNODE " + m.id)
		return
	}
	g.mu.Lock()
	m.conns++
	ready := "READY I " + m.position(m.applied)
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		m.conns--
		g.mu.Unlock()
	}()
	m.slots <- struct{}{}
	time.Sleep(handshakeTime)
	<-m.slots
	c.send(ready)
	for {
		line, err := readMessage(c.in)
		if err != nil {
			return
		}
		verb, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if verb != "QUERY" {
			return
		}
		if !m.awaitLight() {
			return
		}
		m.slots <- struct{}{}
		time.Sleep(g.capacity.workOf(text))
		g.mu.Lock()
		if id != "-" {
			g.statements = append(g.statements, statement{member: m.id, id: id, text: text})
		}
		c.committed = 0
		out := c.execute(id, text)
		out = append(out, "READY "+c.state+" "+m.position(m.applied))
		g.mu.Unlock()
		<-m.slots
		if c.committed > 0 && !c.awaitReplica() {
			return
		}
		c.send(out...)
	}
}

// refuse returns an error, which fails an open transaction.
func (c *conn) refuse(text string) []string {
	if c.state == "T" {
		c.state = "E"
	}
	return []string{"ERROR " + text}
}

// receipt returns the last line of an answer to a statement that read or changed data.
func (c *conn) receipt() string {
	c.member.receipts++
	return fmt.Sprintf("COMPLETE %s.%d", c.member.id, c.member.receipts)
}

// execute runs one request; the group is locked.
func (c *conn) execute(id, text string) []string {
	m := c.member
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "MINLSN" {
		position, inner, _ := strings.Cut(rest, " ")
		if !m.holds(position) {
			return []string{"ERROR LAGGING " + m.id}
		}
		verb, rest, _ = strings.Cut(inner, " ")
	}
	if c.state == "E" && verb != "ROLLBACK" {
		return []string{"ERROR MALFORMED the transaction failed"}
	}
	if c.state == "T" && !c.readOnly && !m.primary && verb != "ROLLBACK" && (verb != "COMMIT" || len(c.pending) > 0) {
		c.pending = nil
		if verb == "COMMIT" {
			c.state = "I"
			return []string{"ERROR READONLY " + m.id}
		}
		return c.refuse("READONLY " + m.id)
	}
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.control(verb, rest)
	case "DISCARD":
		clear(c.values)
		clear(c.prepared)
		return []string{"COMPLETE -"}
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return []string{"COMPLETE -"}
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		if kind, _, ok := strings.Cut(shape, " "); !ok || kind != "READ" && kind != "WRITE" {
			return c.refuse("MALFORMED " + text)
		}
		c.prepared[name] = shape
		return []string{"COMPLETE -"}
	case "BEGIN":
		if rest == "" && !m.primary {
			return []string{"ERROR READONLY " + m.id}
		}
		c.state, c.readOnly, c.pending = "T", rest == "READ", nil
		return []string{"COMPLETE -"}
	case "ROLLBACK":
		c.state, c.pending = "I", nil
		return []string{"COMPLETE -"}
	case "COMMIT":
		c.apply()
		c.state = "I"
		return []string{c.receipt()}
	}
	return c.data(id, verb, rest)
}

// awaitReplica waits, if the service has SyncReplicas, until a replica has received what the request committed; it reports
// false if that did not happen, so that the outcome is unknown.
func (c *conn) awaitReplica() bool {
	m, g := c.member, c.member.group
	for until := time.Now().Add(syncTimeout); ; {
		g.mu.Lock()
		done := !g.syncReplica
		for _, other := range g.members {
			if other != m && len(other.log) >= c.committed && len(m.log) >= c.committed && other.log[c.committed-1] == m.log[c.committed-1] {
				done = true
			}
		}
		g.mu.Unlock()
		if done || time.Now().After(until) {
			return done
		}
		time.Sleep(replicateInterval)
	}
}

// data runs a read, a write or an EXECUTE.
func (c *conn) data(id, verb, rest string) []string {
	m := c.member
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := c.prepared[name]
		m.group.executions = append(m.group.executions, execution{member: m.id, id: id, shape: shape, arguments: arguments, unknown: !ok})
		if !ok {
			return c.refuse("NOSUCHSTMT " + name)
		}
		verb, _, _ = strings.Cut(shape, " ")
	}
	switch verb {
	case "READ":
		m.group.reads = append(m.group.reads, read{id: id, member: m.id, at: time.Now(), log: m.log[:m.applied:m.applied]})
		return []string{"DATAROW " + strconv.Itoa(m.applied), c.receipt()}
	case "WRITE":
		if !m.primary {
			return c.refuse("READONLY " + m.id)
		}
		c.pending = append(c.pending, id)
		if c.state == "I" {
			c.apply()
		}
		return []string{c.receipt()}
	}
	return c.refuse("MALFORMED " + verb)
}

// apply commits the pending writes.
func (c *conn) apply() {
	m := c.member
	for _, id := range c.pending {
		e := entry{term: m.term, id: id, committed: time.Now()}
		m.log = append(m.log, e)
		m.applied = len(m.log)
		c.committed = len(m.log)
		m.group.commits = append(m.group.commits, commit{entry: e, member: m.id, number: len(m.log)})
	}
	c.pending = nil
}

// control runs a command about roles and replication, and returns the member's status.
func (c *conn) control(verb, rest string) []string {
	m := c.member
	term, err := strconv.ParseUint(rest, 10, 64)
	switch {
	case verb == "RESUME":
		m.held = 0
	case verb == "PAUSE" && (err != nil || term <= m.term), verb == "STEPDOWN" && err != nil:
		return []string{"ERROR MALFORMED term"}
	case verb == "PAUSE" && !m.primary:
		m.held = term
	case verb == "STEPDOWN" && m.primary && term > m.term:
		m.primary = false
	}
	if verb != "STATUS" {
		m.group.record.write("member", "%s %s %s", m.id, verb, rest)
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return []string{fmt.Sprintf("DATAROW %s %d %s %d 0 1 %d", role, m.term, m.position(len(m.log)), max(m.held, m.term), m.conns), "COMPLETE -"}
}
