package tabletest

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/table/platformv1"
	"github.com/monsoontiller/monsoontiller/table/platformv1/platformv1connect"
)

// Server is a fake of the platform's service; it is safe for concurrent use.
type Server struct {
	mu            sync.Mutex
	rows          map[string]*platformv1.Row
	objects       map[string][]byte
	instances     []instanceList
	groups        []*platformv1.Group
	listLag       time.Duration
	down          bool
	delay         time.Duration
	answersToLose int
	reads         int
	writes        int
}

// instanceList is a version of the instance list and the time at which it was set.
type instanceList struct {
	setAt     time.Time
	instances []*platformv1.Instance
}

// NewServer returns a server without rows, objects, instances and groups.
func NewServer() *Server {
	return &Server{rows: map[string]*platformv1.Row{}, objects: map[string][]byte{}}
}

// Serve serves calls on the listener until ctx ends; the channel receives the result when the server has stopped.
func (s *Server) Serve(ctx context.Context, l net.Listener) <-chan error {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewPlatformServiceHandler(s))
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: &protocols, ReadHeaderTimeout: time.Second}
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { server.Close() })
	go func() {
		defer stop()
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- err
	}()
	return done
}

// SetDown begins or ends an outage, in which all calls fail with CodeUnavailable.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDelay makes every call take at least d.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers makes the next n committed transactions fail with CodeUnavailable after they have taken effect.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// SetListLag sets the delay with which ListInstances returns a list set by SetInstances.
func (s *Server) SetListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listLag = lag
}

// SetInstances sets the instance list as of now.
func (s *Server) SetInstances(instances []*platformv1.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, instanceList{setAt: time.Now(), instances: instances})
}

// SetGroups sets the database groups.
func (s *Server) SetGroups(groups []*platformv1.Group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = groups
}

// Calls returns the numbers of reads and writes accepted outside outages.
func (s *Server) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

var errDown = connect.NewError(connect.CodeUnavailable, errors.New("the fake platform is down"))

// beginCall waits for the configured delay, fails in an outage, and otherwise increments counter.
func (s *Server) beginCall(ctx context.Context, counter *int) error {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	*counter++
	return nil
}

// Get returns the rows of the requested keys that exist.
func (s *Server) Get(ctx context.Context, req *connect.Request[platformv1.GetRequest]) (*connect.Response[platformv1.GetResponse], error) {
	if err := s.beginCall(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &platformv1.GetResponse{}
	for _, key := range req.Msg.GetKeys() {
		if row := s.rows[key]; row != nil {
			resp.Rows = append(resp.Rows, row)
		}
	}
	return connect.NewResponse(resp), nil
}

// List returns the rows with the requested prefix, in order of keys, up to the limit.
func (s *Server) List(ctx context.Context, req *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	if err := s.beginCall(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &platformv1.ListResponse{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, req.Msg.GetPrefix()) && key > req.Msg.GetAfter() {
			resp.Rows = append(resp.Rows, row)
		}
	}
	sort.Slice(resp.Rows, func(i, j int) bool { return resp.Rows[i].GetKey() < resp.Rows[j].GetKey() })
	if limit := int(req.Msg.GetLimit()); limit > 0 && len(resp.Rows) > limit {
		resp.Rows = resp.Rows[:limit]
	}
	return connect.NewResponse(resp), nil
}

// Transact applies all writes if every condition holds.
func (s *Server) Transact(ctx context.Context, req *connect.Request[platformv1.TransactRequest]) (*connect.Response[platformv1.TransactResponse], error) {
	if err := s.beginCall(ctx, &s.writes); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range req.Msg.GetConditions() {
		if s.rows[c.GetKey()].GetVersion() != c.GetVersion() {
			return connect.NewResponse(&platformv1.TransactResponse{}), nil
		}
	}
	for _, w := range req.Msg.GetWrites() {
		s.write(w)
	}
	if s.answersToLose > 0 {
		s.answersToLose--
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the answer was lost"))
	}
	return connect.NewResponse(&platformv1.TransactResponse{Committed: true}), nil
}

func (s *Server) write(w *platformv1.Write) {
	if w.GetDelete() {
		delete(s.rows, w.GetKey())
		return
	}
	version := s.rows[w.GetKey()].GetVersion() + 1
	s.rows[w.GetKey()] = &platformv1.Row{Key: w.GetKey(), Value: w.GetValue(), Version: version}
}

// PutObject stores an object.
func (s *Server) PutObject(ctx context.Context, req *connect.Request[platformv1.PutObjectRequest]) (*connect.Response[platformv1.PutObjectResponse], error) {
	if err := s.beginCall(ctx, &s.writes); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[req.Msg.GetName()] = req.Msg.GetContent()
	return connect.NewResponse(&platformv1.PutObjectResponse{}), nil
}

// GetObject returns an object, if it exists.
func (s *Server) GetObject(ctx context.Context, req *connect.Request[platformv1.GetObjectRequest]) (*connect.Response[platformv1.GetObjectResponse], error) {
	if err := s.beginCall(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	content, ok := s.objects[req.Msg.GetName()]
	return connect.NewResponse(&platformv1.GetObjectResponse{Found: ok, Content: content}), nil
}

// ListInstances returns the newest instance list that was set at least the list lag ago.
func (s *Server) ListInstances(ctx context.Context, _ *connect.Request[platformv1.ListInstancesRequest]) (*connect.Response[platformv1.ListInstancesResponse], error) {
	if err := s.beginCall(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &platformv1.ListInstancesResponse{}
	for _, l := range s.instances {
		if time.Since(l.setAt) >= s.listLag {
			resp.Instances = l.instances
		}
	}
	return connect.NewResponse(resp), nil
}

// ListGroups returns the database groups.
func (s *Server) ListGroups(ctx context.Context, _ *connect.Request[platformv1.ListGroupsRequest]) (*connect.Response[platformv1.ListGroupsResponse], error) {
	if err := s.beginCall(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&platformv1.ListGroupsResponse{Groups: s.groups}), nil
}
