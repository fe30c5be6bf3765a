package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/monsoontiller/monsoontiller/platform"
	"github.com/monsoontiller/monsoontiller/platform/platformtest"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// settingsOfCase are the flags that all cases share.
type settingsOfCase struct {
	trouble   bool
	directory string
	outage    time.Duration
	// readerPause is the pause of a reader between two requests.
	readerPause time.Duration
	// syncReplica sets SyncReplicas of the service to 1.
	syncReplica bool
}

func main() {
	name := flag.String("case", "", "the case to play")
	recordPath := flag.String("record", "record.txt", "the file that receives what was sent, answered and run")
	directory := flag.String("directory", "", "an empty folder for settings and logs")
	outage := flag.Duration("outage", 0, "how long the disruption lasts")
	readerPause := flag.Duration("reader-pause", defaultReaderPause, "the pause of a reader between two requests, in the case deaf-replica")
	flag.Parse()
	os.Exit(play(*name, *recordPath, settingsOfCase{
		trouble: os.Getenv("TROUBLE") != "0", directory: *directory, outage: *outage, readerPause: *readerPause, syncReplica: *name == "deaf-replica",
	}))
}

func play(name, recordPath string, s settingsOfCase) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	w, err := newWorld(r, s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	broken, err := run(w, s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		r.write("case", "could not run: %v", err)
		return exitNotRun
	}
	w.ledger.writeAll()
	for _, b := range broken {
		r.write("broken", "%s", b)
	}
	fmt.Printf("%s: trouble %v, %d requests, %d breaks of the rule\n", name, s.trouble, len(w.ledger.all), len(broken))
	if len(broken) > 0 {
		fmt.Println(broken[0])
		return exitBroken
	}
	return exitHeld
}

// world is a small installation.
type world struct {
	record    *record
	group     *group
	store     *platformtest.StoreServer
	promoter  *promoter
	instances []*instance
	ledger    *ledger
	cancel    context.CancelFunc
	stop      chan struct{}
	ctx       context.Context
}

const (
	instanceCount = 3
	// database is a route of the kind primary.
	database = "booking1"
	// sessionDatabase is a route of the kind read_your_writes.
	sessionDatabase = "sponsor1"
	// worldTime bounds the whole case.
	worldTime = 100 * time.Second
)

func newWorld(r *record, s settingsOfCase) (*world, error) {
	ctx, cancel := context.WithTimeout(context.Background(), worldTime)
	limits := bairdlennoxCapacity
	if s.syncReplica {
		limits = ldcCapacity
	}
	w := &world{record: r, group: newGroup(r, limits), ledger: &ledger{record: r}, cancel: cancel, ctx: ctx, stop: make(chan struct{})}
	var err error
	if w.store, err = platformtest.NewStoreServer(); err != nil {
		return w, err
	}
	go w.store.Run(ctx)
	if w.promoter, err = newPromoter(w.group, r); err != nil {
		return w, err
	}
	for n := range 3 {
		m, err := w.group.add(fmt.Sprintf("i-%d", n), fmt.Sprintf("z%d", n))
		if err != nil {
			return w, err
		}
		w.putEntry(m)
	}
	go w.group.replicate(w.stop)
	text := string(platformtest.Configuration{
		Version: 7, Group: groupName, Connections: 34, Timeout: time.Second, TargetLatency: 200 * time.Millisecond,
		MaxStaleness: 2500 * time.Millisecond, TransactionIdle: 3 * time.Second,
		Databases: []platformtest.Database{
			{Name: database, Kind: platformtest.KindPrimary}, {Name: sessionDatabase, Kind: platformtest.KindSession},
		},
	}.Text())
	if s.syncReplica {
		w.group.syncReplica = true
		text = strings.Replace(text, `"MaxConnections":34`, `"MaxConnections":34,"SyncReplicas":1`, 1)
	}
	w.store.Rows.Put(platform.TableConfiguration, platform.KeyConfiguration, []byte(text))
	return w, w.startInstances(s.directory)
}

// putEntry writes a member's entry to the store.
func (w *world) putEntry(m *member) {
	w.store.Rows.Put(platform.TableEndpoints, m.id, m.entryText())
}

// freeNetwork returns a free network of loopback addresses for the instances.
func freeNetwork() (prefix string, err error) {
	for n := range 100 {
		prefix = fmt.Sprintf("127.%d.%d", 30+os.Getpid()%100, (os.Getpid()/100+n)%250)
		l, err := net.Listen("tcp", platformtest.CallerAddress(prefix+".10"))
		if err == nil {
			return prefix, l.Close()
		}
	}
	return "", fmt.Errorf("no loopback address has the ports free")
}

func (w *world) startInstances(directory string) error {
	prefix, err := freeNetwork()
	if err != nil {
		return err
	}
	store, err := delay(w.store.Address())
	if err != nil {
		return err
	}
	var seeds []string
	for n := range instanceCount {
		seeds = append(seeds, fmt.Sprintf("%s.%d", prefix, 10+n))
	}
	for n := range instanceCount {
		i, err := newInstance(directory, fmt.Sprintf("front-%d", n), fmt.Sprintf("z%d", n), seeds[n], seeds, store, w.promoter.listener.Addr().String())
		if err != nil {
			return err
		}
		w.instances = append(w.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(w.ctx, 20*time.Second)
	defer cancel()
	for _, i := range w.instances {
		if err := i.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes.
func (w *world) close() {
	for _, i := range w.instances {
		i.kill()
	}
	close(w.stop)
	w.cancel()
}
