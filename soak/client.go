package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// database is one that callers use, by the consistency of its reads.
type database struct {
	name string
	// kind is the consistency as the configuration names it.
	kind string
}

// databases are those of the soak's configuration, all of one group.
var databases = []database{
	{name: "orders", kind: "primary"},
	{name: "stock", kind: "read_your_writes"},
	{name: "history", kind: "bounded_staleness"},
}

// promises are the errors after which nothing of what was asked is kept.
var promises = map[string]bool{
	"BUSY": true, "ABORTED": true, "LAGGING": true, "READONLY": true, "WRONGNODE": true, "CONNLIMIT": true,
}

const (
	// answerTimeout is how long a caller waits: longer than any contract lets a request take.
	answerTimeout = 8 * time.Second
	// clientPause is the longest pause of a caller between two operations.
	clientPause = 20 * time.Millisecond
	// items is the number of items that callers read and write.
	items = 40
)

// Client is one caller, which opens sessions one after the other.
type Client struct {
	number    int
	ledger    *Ledger
	addresses []string
	random    *rand.Rand
	database  database
	ids       int
	served    int
	nc        net.Conn
	in        *bufio.Reader
	values    map[string]string
	prepared  map[string]string
	// wrote is the newest acknowledged write of the session.
	wrote string
}

// NewClient returns a caller that connects to any of the addresses.
func NewClient(number int, seed uint64, ledger *Ledger, addresses []string) *Client {
	return &Client{
		number: number, ledger: ledger, addresses: addresses, database: databases[number%len(databases)],
		random: rand.New(rand.NewPCG(seed, uint64(number))),
	}
}

// errEnded means that the session cannot go on.
var errEnded = errors.New("the session ended")

// Run asks until ctx ends, whatever becomes of the answers.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.nc == nil && !c.connect(ctx) {
			pause(ctx, 5*clientPause)
			continue
		}
		if err := c.operation(); err != nil {
			c.nc.Close()
			c.nc = nil
			continue
		}
		pause(ctx, time.Duration(c.random.Int64N(int64(clientPause))))
	}
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// Serve asks until one write is served or ctx ends, and reports whether it was.
func (c *Client) Serve(ctx context.Context) bool {
	before := c.served
	for ctx.Err() == nil && c.served == before {
		if c.nc == nil && !c.connect(ctx) {
			pause(ctx, 5*clientPause)
			continue
		}
		if c.write() != nil {
			c.nc.Close()
			c.nc = nil
		}
	}
	return c.served > before
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (c *Client) connect(ctx context.Context) bool {
	d := net.Dialer{Timeout: time.Second}
	nc, err := d.DialContext(ctx, "tcp", c.addresses[c.random.IntN(len(c.addresses))])
	if err != nil {
		return false
	}
	c.nc, c.in = nc, bufio.NewReader(nc)
	c.values, c.prepared, c.wrote = map[string]string{}, map[string]string{}, ""
	if c.send("START "+c.database.name+" soak") == nil {
		if line, err := c.line(); err == nil && strings.HasPrefix(line, "READY") {
			return true
		}
	}
	nc.Close()
	c.nc = nil
	return false
}

func (c *Client) send(line string) error {
	if err := c.nc.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	_, err := c.nc.Write([]byte(line + "\r\n"))
	return err
}

func (c *Client) line() (string, error) {
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// answer is the whole answer to one statement.
type answer struct {
	lines []string
	code  string
	state string
}

// ask sends a statement and reads its answer; it fails when the session is lost.
func (c *Client) ask(id, text string) (a answer, err error) {
	if err := c.send("QUERY " + id + " " + text); err != nil {
		return a, err
	}
	for {
		line, err := c.line()
		if err != nil {
			return a, err
		}
		fields := strings.Fields(line)
		if len(fields) < 2 {
			return a, errEnded
		}
		switch fields[0] {
		case "READY":
			a.state = fields[1]
			return a, nil
		case "ERROR":
			a.code = fields[1]
		}
		a.lines = append(a.lines, line)
	}
}

func (c *Client) nextID() string {
	c.ids++
	return fmt.Sprintf("q%d.%d", c.number, c.ids)
}

// operation does one of the things that callers do.
func (c *Client) operation() error {
	switch n := c.random.IntN(10); {
	case n == 0:
		return c.set()
	case n == 1:
		return c.prepare()
	case n < 4:
		return c.transaction()
	case n < 6:
		return c.write()
	}
	return c.read()
}

func (c *Client) set() error {
	value := fmt.Sprintf("v%d", c.random.IntN(3))
	a, err := c.ask(c.nextID(), "SET tenant "+value)
	if err != nil || a.code != "" {
		return errEnded
	}
	c.values["tenant"] = value
	return nil
}

func (c *Client) prepare() error {
	name, shape := fmt.Sprintf("s%d", c.random.IntN(2)), fmt.Sprintf("READ q%d", c.random.IntN(4))
	a, err := c.ask(c.nextID(), "PARSE "+name+" "+shape)
	if err != nil || a.code != "" {
		return errEnded
	}
	c.prepared[name] = shape
	return nil
}

// sees returns the writes that a read which starts now must see.
func (c *Client) sees() []string {
	before := time.Now()
	if c.database.kind != "primary" {
		before = before.Add(-maxStaleness)
	}
	var out []string
	if newest := c.ledger.NewestAcked(before); newest != "" {
		out = append(out, newest)
	}
	if c.database.kind == "read_your_writes" && c.wrote != "" {
		out = append(out, c.wrote)
	}
	return out
}

// readText returns a read, prepared or not, and what to expect of it.
func (c *Client) readText() (text string, e Expectation) {
	item := fmt.Sprintf("i%d", c.random.IntN(items))
	e = Expectation{Text: "READ " + item, Values: c.values}
	for _, name := range []string{"s0", "s1"} {
		if shape := c.prepared[name]; shape != "" && c.random.IntN(2) == 0 {
			e.Text, e.Shape = "EXECUTE * "+item, shape
			return "EXECUTE " + name + " " + item, e
		}
	}
	return e.Text, e
}

func (c *Client) read() error {
	text, e := c.readText()
	e.Sees = c.sees()
	id := c.nextID()
	c.ledger.Expect(id, e)
	a, err := c.ask(id, text)
	if err != nil {
		return err
	}
	return c.settle(id, a)
}

// settle takes the answer to a statement outside a transaction.
func (c *Client) settle(id string, a answer) error {
	if a.code == "" {
		c.ledger.Answered(id, a.lines)
		c.served++
	}
	if a.state != "I" {
		return errEnded
	}
	return nil
}

func (c *Client) write() error {
	id := c.nextID()
	data := "d" + id
	text := fmt.Sprintf("WRITE i%d %s", c.random.IntN(items), data)
	c.ledger.Expect(id, Expectation{Text: text, Values: c.values})
	a, err := c.ask(id, text)
	if err != nil {
		return err
	}
	c.outcome(a, data)
	return c.settle(id, a)
}

// outcome tells the ledger what a caller was told of writes.
func (c *Client) outcome(a answer, data ...string) {
	if len(data) == 0 {
		return
	}
	switch {
	case a.code == "":
		c.ledger.Acked(data...)
		c.wrote = data[len(data)-1]
	case promises[a.code]:
		c.ledger.Denied(data...)
	}
}

// transaction reads and writes in a transaction, and commits it, rolls it back or leaves in the middle.
func (c *Client) transaction() error {
	sees := c.sees()
	readOnly := c.random.IntN(3) == 0
	begin := "BEGIN"
	if readOnly {
		begin = "BEGIN READ"
	}
	a, err := c.ask(c.nextID(), begin)
	if err != nil || a.code != "" {
		return errEnded
	}
	var wrote []string
	first := ""
	for range 1 + c.random.IntN(4) {
		id := c.nextID()
		if first == "" {
			first = id
		}
		text, e := c.readText()
		e.Sees = sees
		data := ""
		if !readOnly && c.random.IntN(2) == 0 {
			data = "d" + id
			text = fmt.Sprintf("WRITE i%d %s", c.random.IntN(items), data)
			e = Expectation{Text: text, Values: c.values}
		}
		e.Transaction = first
		c.ledger.Expect(id, e)
		if a, err = c.ask(id, text); err != nil {
			return err
		}
		if a.code != "" {
			return c.failed(a, wrote)
		}
		c.ledger.Answered(id, a.lines)
		if data != "" {
			wrote = append(wrote, data)
		}
	}
	return c.end(first, wrote)
}

// failed ends a transaction of which a statement failed.
func (c *Client) failed(a answer, wrote []string) error {
	if promises[a.code] {
		c.ledger.Denied(wrote...)
	}
	if a.state == "I" {
		return nil
	}
	if a, err := c.ask(c.nextID(), "ROLLBACK"); err != nil || a.state != "I" {
		return errEnded
	}
	return nil
}

// end ends a transaction in one of three ways.
func (c *Client) end(first string, wrote []string) error {
	switch c.random.IntN(8) {
	case 0:
		return errEnded
	case 1:
		a, err := c.ask(c.nextID(), "ROLLBACK")
		if err != nil || a.code != "" || a.state != "I" {
			return errEnded
		}
		c.ledger.Denied(wrote...)
		return nil
	}
	id := c.nextID()
	c.ledger.Expect(id, Expectation{Text: "COMMIT", Values: c.values, Transaction: first})
	a, err := c.ask(id, "COMMIT")
	if err != nil {
		return err
	}
	c.outcome(a, wrote...)
	return c.settle(id, a)
}
