package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// databases lists the databases of the configuration; all of them belong to the first group.
var databases = []platformtest.Database{
	{Name: "orders", Kind: platformtest.KindPrimary},
	{Name: "stock", Kind: platformtest.KindSession},
	{Name: "history", Kind: platformtest.KindBounded},
}

const (
	// answerTimeout is a caller's maximum wait for an answer; it exceeds the request timeout of the contracts.
	answerTimeout = 8 * time.Second
	// maxClientPause bounds the random pause of a caller between two operations.
	maxClientPause = 20 * time.Millisecond
	// itemCount is the number of distinct items that callers read and write.
	itemCount = 40
)

// Client is a simulated caller, which opens one session at a time and sends random operations.
type Client struct {
	number      int
	oracle      *Oracle
	addresses   []string
	random      *rand.Rand
	database    platformtest.Database
	lastID      int
	servedCount int
	accounts    *accounts
	session     *platformtest.Caller
	values      map[string]string
	prepared    map[string]string
	// lastWrites holds the data of the session's newest acknowledged write in each group.
	lastWrites map[string]string
	// cuts decides which messages are sent in two pieces, or is nil if none is.
	cuts *rand.Rand
}

// newClient returns a caller that connects each session to a random one of the addresses, with a key if there are accounts.
func newClient(number int, cfg Config, oracle *Oracle, addresses []string, a *accounts) *Client {
	c := &Client{
		number: number, oracle: oracle, addresses: addresses, accounts: a, database: cfg.database(number),
		random: rand.New(rand.NewPCG(cfg.Seed, uint64(number))),
	}
	if cfg.CutMessages {
		c.cuts = rand.New(rand.NewPCG(cfg.Seed, 0xc07+uint64(number)))
	}
	return c
}

// errSessionEnded is returned by an operation after which the session must be closed.
var errSessionEnded = errors.New("the session ended")

// Run sends operations until ctx ends. If an operation fails, Run closes the session and opens a new one.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.session == nil && !c.connect(ctx) {
			pause(ctx, 5*maxClientPause)
			continue
		}
		if err := c.operation(); err != nil {
			c.closeSession()
			continue
		}
		pause(ctx, time.Duration(c.random.Int64N(int64(c.accounts.maxPause(c.number)))))
	}
	if c.session != nil {
		c.closeSession()
	}
}

// AwaitWrite sends writes until one succeeds or ctx ends, and reports whether one succeeded.
func (c *Client) AwaitWrite(ctx context.Context) bool {
	before := c.servedCount
	for ctx.Err() == nil && c.servedCount == before {
		if c.session == nil && !c.connect(ctx) {
			pause(ctx, 5*maxClientPause)
			continue
		}
		if c.write() != nil {
			c.closeSession()
		}
	}
	return c.servedCount > before
}

// AwaitDatabase connects to a database until one connection is accepted or ctx ends, and reports whether one was.
func (c *Client) AwaitDatabase(ctx context.Context, name string) bool {
	for ctx.Err() == nil {
		session, err := platformtest.Dial(ctx, platformtest.CallerConfig{
			Address: c.addresses[0], Database: name, Key: c.accounts.key(c.number, c.random), Timeout: answerTimeout,
		})
		if err == nil {
			session.Close()
			return true
		}
		pause(ctx, 5*maxClientPause)
	}
	return false
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
		Key: c.accounts.key(c.number, c.random), Accounts: c.accounts.oracleOrNil(),
	})
	if err != nil {
		return false
	}
	c.session = session
	c.values, c.prepared, c.lastWrites = map[string]string{}, map[string]string{}, map[string]string{}
	return true
}

func (c *Client) closeSession() {
	c.session.Close()
	c.session = nil
}

// sessionValue is the name of the session value that callers set.
const sessionValue = "customer"

func (c *Client) randomItem() string { return fmt.Sprintf("i%d", c.random.IntN(itemCount)) }

func (c *Client) nextID() string {
	c.lastID++
	return fmt.Sprintf("q%d.%d", c.number, c.lastID)
}

// operation runs one randomly chosen operation.
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
	a, err := c.session.Exec(c.nextID(), platformtest.TextSet(sessionValue, value))
	if err != nil || !a.Succeeded() {
		return errSessionEnded
	}
	c.values[sessionValue] = value
	return nil
}

func (c *Client) prepare() error {
	name, shape := fmt.Sprintf("s%d", c.random.IntN(2)), fmt.Sprintf("q%d", c.random.IntN(4))
	a, err := c.session.Exec(c.nextID(), platformtest.TextPrepare(name, shape))
	if err != nil || !a.Succeeded() {
		return errSessionEnded
	}
	c.prepared[name] = platformtest.ReadShape(shape)
	return nil
}

// requiredWrites returns the data of the writes that a read started now must see.
//
// These are the newest acknowledged write of the first group or, where the contract permits reads on replicas, the newest that was
// acknowledged more than maxStaleness ago.
func (c *Client) requiredWrites() []string {
	before := time.Now()
	if c.database.Kind != platformtest.KindPrimary {
		before = before.Add(-maxStaleness)
	}
	if newest := c.oracle.NewestAcked(before); newest != "" && c.database.Name != movingDatabase {
		return []string{newest}
	}
	return nil
}

// ownWrites returns the data of the session's newest acknowledged write in each group, if its reads must see them.
func (c *Client) ownWrites() map[string]string {
	if c.database.Kind != platformtest.KindSession {
		return nil
	}
	return maps.Clone(c.lastWrites)
}

// randomRead returns the expectation of a read of a random item, as plain text or through a prepared statement.
func (c *Client) randomRead() Expectation {
	item := c.randomItem()
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
	e := c.randomRead()
	e.MustSee, e.MustSeeIn = c.requiredWrites(), c.ownWrites()
	id := c.nextID()
	c.oracle.Expect(id, e)
	a, err := c.exec(id, e.Text)
	if err != nil {
		return err
	}
	return c.recordAnswer(id, a)
}

// recordAnswer records the answer to COMMIT or to a statement outside a transaction. It returns errSessionEnded if a
// transaction is open afterwards.
func (c *Client) recordAnswer(id string, a platformtest.Answer) error {
	if a.Succeeded() {
		c.oracle.RecordAnswer(id, a.Lines)
		c.servedCount++
	}
	if !a.Idle() {
		return errSessionEnded
	}
	return nil
}

func (c *Client) write() error {
	id := c.nextID()
	data := c.data(id)
	text := platformtest.TextWrite(c.randomItem(), data)
	c.oracle.Expect(id, Expectation{Text: text, Values: c.values})
	a, err := c.exec(id, text)
	if err != nil {
		return err
	}
	c.recordOutcome(a, data)
	return c.recordAnswer(id, a)
}

// recordOutcome records at the oracle whether the writes were acknowledged or rejected. After any other answer their
// outcome is unknown, and nothing is recorded.
func (c *Client) recordOutcome(a platformtest.Answer, data ...string) {
	if len(data) == 0 {
		return
	}
	switch {
	case a.Succeeded():
		group := a.Group()
		c.oracle.RecordAckedIn(group, data...)
		c.lastWrites[group] = data[len(data)-1]
	case a.NotApplied():
		c.oracle.RecordRejected(data...)
	}
}

// transaction runs random reads and writes in a transaction and ends it with endTransaction.
func (c *Client) transaction() error {
	mustSee, own := c.requiredWrites(), c.ownWrites()
	readOnly := c.random.IntN(3) == 0
	begin := platformtest.TextBegin
	if readOnly {
		begin = platformtest.TextBeginRead
	}
	a, err := c.session.Exec(c.nextID(), begin)
	if err != nil || !a.Succeeded() {
		return errSessionEnded
	}
	var written []string
	firstID := ""
	for range 1 + c.random.IntN(4) {
		id := c.nextID()
		if firstID == "" {
			firstID = id
		}
		e := c.randomRead()
		e.MustSee, e.MustSeeIn = mustSee, own
		data := ""
		if !readOnly && c.random.IntN(2) == 0 {
			data = c.data(id)
			e = Expectation{Text: platformtest.TextWrite(c.randomItem(), data), Values: c.values}
		}
		e.Transaction = firstID
		c.oracle.Expect(id, e)
		if a, err = c.exec(id, e.Text); err != nil {
			return err
		}
		if !a.Succeeded() {
			return c.endFailedTransaction(a, written)
		}
		c.oracle.RecordAnswer(id, a.Lines)
		if data != "" {
			written = append(written, data)
		}
	}
	return c.endTransaction(firstID, written)
}

// endFailedTransaction rolls back a transaction in which a statement failed, unless the answer shows that it has ended.
func (c *Client) endFailedTransaction(a platformtest.Answer, written []string) error {
	if a.NotApplied() {
		c.oracle.RecordRejected(written...)
	}
	if a.Idle() {
		return nil
	}
	if a, err := c.session.Exec(c.nextID(), platformtest.TextRollback); err != nil || !a.Idle() {
		return errSessionEnded
	}
	return nil
}

// endTransaction commits the transaction, rolls it back, or ends the session with the transaction open.
func (c *Client) endTransaction(firstID string, written []string) error {
	switch c.random.IntN(8) {
	case 0:
		return errSessionEnded
	case 1:
		a, err := c.session.Exec(c.nextID(), platformtest.TextRollback)
		if err != nil || !a.Succeeded() || !a.Idle() {
			return errSessionEnded
		}
		c.oracle.RecordRejected(written...)
		return nil
	}
	id := c.nextID()
	c.oracle.Expect(id, Expectation{Text: platformtest.TextCommit, Values: c.values, Transaction: firstID})
	a, err := c.session.Exec(id, platformtest.TextCommit)
	if err != nil {
		return err
	}
	c.recordOutcome(a, written...)
	return c.recordAnswer(id, a)
}
