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

// Server is a stand-in platform; it is safe for concurrent use.
type Server struct {
	mu        sync.Mutex
	rows      map[string]*platformv1.Row
	objects   map[string][]byte
	instances []listed
	groups    []*platformv1.Group
	listLag   time.Duration
	down      bool
	delay     time.Duration
	lose      int
	reads     int
	writes    int
}

// listed is a version of the instance list and when it was set.
type listed struct {
	at        time.Time
	instances []*platformv1.Instance
}

// NewServer returns an empty platform.
func NewServer() *Server {
	return &Server{rows: map[string]*platformv1.Row{}, objects: map[string][]byte{}}
}

// Serve answers on the listener until ctx ends; the channel yields the end.
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

// SetDown begins or ends an outage: calls fail at once.
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

// LoseAnswers makes the next n transactions take effect without an answer.
func (s *Server) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// SetListLag sets how long the instance list lags behind SetInstances.
func (s *Server) SetListLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listLag = lag
}

// SetInstances sets the instance list as of now.
func (s *Server) SetInstances(instances []*platformv1.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, listed{at: time.Now(), instances: instances})
}

// SetGroups sets the database groups.
func (s *Server) SetGroups(groups []*platformv1.Group) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groups = groups
}

// Calls returns how many reads and writes were answered.
func (s *Server) Calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

var errDown = connect.NewError(connect.CodeUnavailable, errors.New("the stand-in platform is down"))

// enter counts a call in, holds it for the delay and fails it in an outage.
func (s *Server) enter(ctx context.Context, counter *int) error {
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

// Get implements the platform's service.
func (s *Server) Get(ctx context.Context, q *connect.Request[platformv1.GetRequest]) (*connect.Response[platformv1.GetResponse], error) {
	if err := s.enter(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &platformv1.GetResponse{}
	for _, key := range q.Msg.GetKeys() {
		if row := s.rows[key]; row != nil {
			a.Rows = append(a.Rows, row)
		}
	}
	return connect.NewResponse(a), nil
}

// List implements the platform's service.
func (s *Server) List(ctx context.Context, q *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	if err := s.enter(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &platformv1.ListResponse{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, q.Msg.GetPrefix()) && key > q.Msg.GetAfter() {
			a.Rows = append(a.Rows, row)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].GetKey() < a.Rows[j].GetKey() })
	if limit := int(q.Msg.GetLimit()); limit > 0 && len(a.Rows) > limit {
		a.Rows = a.Rows[:limit]
	}
	return connect.NewResponse(a), nil
}

// Transact implements the platform's service.
func (s *Server) Transact(ctx context.Context, q *connect.Request[platformv1.TransactRequest]) (*connect.Response[platformv1.TransactResponse], error) {
	if err := s.enter(ctx, &s.writes); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range q.Msg.GetConditions() {
		if s.rows[c.GetKey()].GetVersion() != c.GetVersion() {
			return connect.NewResponse(&platformv1.TransactResponse{}), nil
		}
	}
	for _, w := range q.Msg.GetWrites() {
		s.write(w)
	}
	if s.lose > 0 {
		s.lose--
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

// PutObject implements the platform's service.
func (s *Server) PutObject(ctx context.Context, q *connect.Request[platformv1.PutObjectRequest]) (*connect.Response[platformv1.PutObjectResponse], error) {
	if err := s.enter(ctx, &s.writes); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[q.Msg.GetName()] = q.Msg.GetContent()
	return connect.NewResponse(&platformv1.PutObjectResponse{}), nil
}

// GetObject implements the platform's service.
func (s *Server) GetObject(ctx context.Context, q *connect.Request[platformv1.GetObjectRequest]) (*connect.Response[platformv1.GetObjectResponse], error) {
	if err := s.enter(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	content, ok := s.objects[q.Msg.GetName()]
	return connect.NewResponse(&platformv1.GetObjectResponse{Found: ok, Content: content}), nil
}

// ListInstances implements the platform's service.
func (s *Server) ListInstances(ctx context.Context, _ *connect.Request[platformv1.ListInstancesRequest]) (*connect.Response[platformv1.ListInstancesResponse], error) {
	if err := s.enter(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &platformv1.ListInstancesResponse{}
	for _, l := range s.instances {
		if time.Since(l.at) >= s.listLag {
			a.Instances = l.instances
		}
	}
	return connect.NewResponse(a), nil
}

// ListGroups implements the platform's service.
func (s *Server) ListGroups(ctx context.Context, _ *connect.Request[platformv1.ListGroupsRequest]) (*connect.Response[platformv1.ListGroupsResponse], error) {
	if err := s.enter(ctx, &s.reads); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&platformv1.ListGroupsResponse{Groups: s.groups}), nil
}
