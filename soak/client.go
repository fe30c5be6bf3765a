package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// databases are those of the soak's configuration, all of one group.
var databases = []platformtest.Database{
	{Name: "orders", Kind: platformtest.KindPrimary},
	{Name: "stock", Kind: platformtest.KindSession},
	{Name: "history", Kind: platformtest.KindBounded},
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
	database  platformtest.Database
	ids       int
	served    int
	session   *platformtest.Caller
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
		if c.session == nil && !c.connect(ctx) {
			pause(ctx, 5*clientPause)
			continue
		}
		if err := c.operation(); err != nil {
			c.end()
			continue
		}
		pause(ctx, time.Duration(c.random.Int64N(int64(clientPause))))
	}
	if c.session != nil {
		c.end()
	}
}

// Serve asks until one write is served or ctx ends, and reports whether it was.
func (c *Client) Serve(ctx context.Context) bool {
	before := c.served
	for ctx.Err() == nil && c.served == before {
		if c.session == nil && !c.connect(ctx) {
			pause(ctx, 5*clientPause)
			continue
		}
		if c.write() != nil {
			c.end()
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
	session, err := platformtest.Dial(ctx, platformtest.CallerConfig{
		Address: c.addresses[c.random.IntN(len(c.addresses))], Database: c.database.Name, Timeout: answerTimeout,
	})
	if err != nil {
		return false
	}
	c.session = session
	c.values, c.prepared, c.wrote = map[string]string{}, map[string]string{}, ""
	return true
}

// end closes the session.
func (c *Client) end() {
	c.session.Close()
	c.session = nil
}

// valueName is the session value that callers set.
const valueName = "customer"

func (c *Client) item() string { return fmt.Sprintf("i%d", c.random.IntN(items)) }

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
	a, err := c.session.Ask(c.nextID(), platformtest.TextSet(valueName, value))
	if err != nil || !a.Served() {
		return errEnded
	}
	c.values[valueName] = value
	return nil
}

func (c *Client) prepare() error {
	name, shape := fmt.Sprintf("s%d", c.random.IntN(2)), fmt.Sprintf("q%d", c.random.IntN(4))
	a, err := c.session.Ask(c.nextID(), platformtest.TextPrepare(name, shape))
	if err != nil || !a.Served() {
		return errEnded
	}
	c.prepared[name] = platformtest.ReadShape(shape)
	return nil
}

// sees returns the writes that a read which starts now must see.
func (c *Client) sees() []string {
	before := time.Now()
	if c.database.Kind != platformtest.KindPrimary {
		before = before.Add(-maxStaleness)
	}
	var out []string
	if newest := c.ledger.NewestAcked(before); newest != "" {
		out = append(out, newest)
	}
	if c.database.Kind == platformtest.KindSession && c.wrote != "" {
		out = append(out, c.wrote)
	}
	return out
}

// readText returns a read, prepared or not, as it is expected to run.
func (c *Client) readText() Expectation {
	item := c.item()
	e := Expectation{Text: platformtest.TextRead(item), Values: c.values}
	for _, name := range []string{"s0", "s1"} {
		if shape := c.prepared[name]; shape != "" && c.random.IntN(2) == 0 {
			e.Text, e.Shape = platformtest.TextExecute(name, item), shape
			return e
		}
	}
	return e
}

func (c *Client) read() error {
	e := c.readText()
	e.Sees = c.sees()
	id := c.nextID()
	c.ledger.Expect(id, e)
	a, err := c.session.Ask(id, e.Text)
	if err != nil {
		return err
	}
	return c.settle(id, a)
}

// settle takes the answer to a statement outside a transaction.
func (c *Client) settle(id string, a platformtest.Answer) error {
	if a.Served() {
		c.ledger.Answered(id, a.Lines)
		c.served++
	}
	if !a.Idle() {
		return errEnded
	}
	return nil
}

func (c *Client) write() error {
	id := c.nextID()
	data := "d" + id
	text := platformtest.TextWrite(c.item(), data)
	c.ledger.Expect(id, Expectation{Text: text, Values: c.values})
	a, err := c.session.Ask(id, text)
	if err != nil {
		return err
	}
	c.outcome(a, data)
	return c.settle(id, a)
}

// outcome tells the ledger what a caller was told of writes.
func (c *Client) outcome(a platformtest.Answer, data ...string) {
	if len(data) == 0 {
		return
	}
	switch {
	case a.Served():
		c.ledger.Acked(data...)
		c.wrote = data[len(data)-1]
	case a.NothingKept():
		c.ledger.Denied(data...)
	}
}

// transaction reads and writes in a transaction, and commits it, rolls it back or leaves in the middle.
func (c *Client) transaction() error {
	sees := c.sees()
	readOnly := c.random.IntN(3) == 0
	begin := platformtest.TextBegin
	if readOnly {
		begin = platformtest.TextBeginRead
	}
	a, err := c.session.Ask(c.nextID(), begin)
	if err != nil || !a.Served() {
		return errEnded
	}
	var wrote []string
	first := ""
	for range 1 + c.random.IntN(4) {
		id := c.nextID()
		if first == "" {
			first = id
		}
		e := c.readText()
		e.Sees = sees
		data := ""
		if !readOnly && c.random.IntN(2) == 0 {
			data = "d" + id
			e = Expectation{Text: platformtest.TextWrite(c.item(), data), Values: c.values}
		}
		e.Transaction = first
		c.ledger.Expect(id, e)
		if a, err = c.session.Ask(id, e.Text); err != nil {
			return err
		}
		if !a.Served() {
			return c.failed(a, wrote)
		}
		c.ledger.Answered(id, a.Lines)
		if data != "" {
			wrote = append(wrote, data)
		}
	}
	return c.finish(first, wrote)
}

// failed ends a transaction of which a statement failed.
func (c *Client) failed(a platformtest.Answer, wrote []string) error {
	if a.NothingKept() {
		c.ledger.Denied(wrote...)
	}
	if a.Idle() {
		return nil
	}
	if a, err := c.session.Ask(c.nextID(), platformtest.TextRollback); err != nil || !a.Idle() {
		return errEnded
	}
	return nil
}

// finish ends a transaction in one of three ways.
func (c *Client) finish(first string, wrote []string) error {
	switch c.random.IntN(8) {
	case 0:
		return errEnded
	case 1:
		a, err := c.session.Ask(c.nextID(), platformtest.TextRollback)
		if err != nil || !a.Served() || !a.Idle() {
			return errEnded
		}
		c.ledger.Denied(wrote...)
		return nil
	}
	id := c.nextID()
	c.ledger.Expect(id, Expectation{Text: platformtest.TextCommit, Values: c.values, Transaction: first})
	a, err := c.session.Ask(id, platformtest.TextCommit)
	if err != nil {
		return err
	}
	c.outcome(a, wrote...)
	return c.settle(id, a)
}
