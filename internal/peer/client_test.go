package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"testing"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/peer/internal/wire"
)

// patience is how long a call of a test may take that ought to be answered.
const patience = 10 * time.Second

// recorder is a Handler that answers each call alike and passes on what it was given.
type recorder struct {
	given  chan any
	answer core.Reply
	err    error
	// entered, if set, learns of a call before given takes it.
	entered chan struct{}
}

func (r *recorder) HandleRelayedHeartbeat(heartbeat core.HeartbeatReceived) (core.Reply, error) {
	return r.take(heartbeat)
}
func (r *recorder) HandlePing(ping core.PingReceived) (core.Reply, error) { return r.take(ping) }
func (r *recorder) HandleRequest(request any) (core.Reply, error)         { return r.take(request) }

func (r *recorder) take(message any) (core.Reply, error) {
	if r.entered != nil {
		r.entered <- struct{}{}
	}
	r.given <- message
	return r.answer, r.err
}

// serving serves a handler and returns its address.
func serving(t *testing.T, h Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, l, "node-1", h, 4) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("serving ended by %v", err)
		}
		if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
			closeLogged(conn)
			t.Error("still listening")
		}
	})
	return l.Addr().String()
}

// TestCalls has each complete message arrive as it was sent.
func TestCalls(t *testing.T) {
	h := &recorder{given: make(chan any, 1)}
	client := NewClient(serving(t, h), 1)
	defer client.Close()
	for name, message := range completeMessages() {
		want := message
		var answered any
		var err error
		switch m := message.(type) {
		case wire.AskArgs:
			continue // no message of the core's
		case core.Reply:
			want = core.QueryJob{ID: "job-01"}
			h.answer = m
			answered, err = client.Ask(want, patience)
		case PingAnswer:
			want = core.PingReceived{From: "node-0"}
			h.answer = core.Reply{PeerStatus: &m.Status}
			var answer PingAnswer
			answer, err = client.Ping(core.PingReceived{From: "node-0"}, patience)
			if !reflect.DeepEqual(answer, m) {
				t.Errorf("%s: answered %+v", name, answer)
			}
			answered = h.answer
		case core.PingReceived:
			h.answer = core.Reply{PeerStatus: &core.PeerStatus{}}
			_, err = client.Ping(m, patience)
			answered = h.answer
		case core.HeartbeatReceived:
			answered, err = client.RelayHeartbeat(m, patience)
		default:
			answered, err = client.Ask(m, patience)
		}
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if given := <-h.given; !reflect.DeepEqual(given, want) {
			t.Errorf("%s: arrived as %+v", name, given)
		}
		if !reflect.DeepEqual(answered, any(h.answer)) {
			t.Errorf("%s: answered %+v, not %+v", name, answered, h.answer)
		}
	}
}

// TestErrors has the errors of calls be found by errors.Is and errors.As.
func TestErrors(t *testing.T) {
	h := &recorder{given: make(chan any)}
	client := NewClient(serving(t, h), 1)
	defer client.Close()
	t.Run("not forwarded", func(t *testing.T) {
		if _, err := client.Ask(core.Tick{}, patience); !errors.Is(err, ErrEmptyRequest) {
			t.Error(err)
		}
	})
	t.Run("request that the peer does not know", func(t *testing.T) {
		for _, args := range []wire.AskArgs{{}, {Submit: &wire.Submit{Invalid: "no job"}}} {
			if _, err := client.callForReply("Ask", args, patience); !errors.Is(err, ErrEmptyRequest) {
				t.Error(err)
			}
		}
	})
	t.Run("no status", func(t *testing.T) {
		go func() { <-h.given }()
		if _, err := client.Ping(core.PingReceived{}, patience); !errors.Is(err, ErrNoAnswer) {
			t.Error(err)
		}
	})
	t.Run("any other error of the peer", func(t *testing.T) {
		var answered rpc.ServerError
		if err := client.call("Unknown", wire.AskArgs{}, &wire.Reply{}, patience); !errors.As(err, &answered) {
			t.Error(err)
		}
	})
	t.Run("late", func(t *testing.T) {
		if _, err := client.Ask(core.QueryJob{}, 100*time.Millisecond); !errors.Is(err, ErrTimeout) {
			t.Error(err)
		}
		<-h.given
	})
	t.Run("too many", func(t *testing.T) {
		client.slots <- struct{}{}
		defer func() { <-client.slots }()
		if _, err := client.Ask(core.QueryJob{}, patience); !errors.Is(err, ErrTooManyCalls) {
			t.Error(err)
		}
	})
	t.Run("nobody there", func(t *testing.T) {
		var failed *net.OpError
		if _, err := NewClient("127.0.0.1:1", 1).Ask(core.QueryJob{}, patience); !errors.As(err, &failed) {
			t.Error(err)
		}
	})
}

// TestClose: Close ends a call under way, and later ones fail.
func TestClose(t *testing.T) {
	h := &recorder{given: make(chan any), entered: make(chan struct{}, 1)}
	client := NewClient(serving(t, h), 1)
	ended := make(chan error, 1)
	go func() {
		_, err := client.Ask(core.QueryJob{}, patience)
		ended <- err
	}()
	<-h.entered
	client.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("under way: %v", err)
	}
	<-h.given
	if _, err := client.Ask(core.QueryJob{}, patience); !errors.Is(err, net.ErrClosed) {
		t.Errorf("later: %v", err)
	}
}

// TestNumbered has each request but a sweep numbered anew and otherwise be what was
// forwarded.
func TestNumbered(t *testing.T) {
	spec := completeSpec()
	for _, c := range []struct{ request, want any }{
		{core.SubmitJob{RequestID: 1, Forwarded: true, Spec: spec}, core.SubmitJob{RequestID: 7, Forwarded: true, Spec: spec}},
		{core.CancelJob{RequestID: 1, ID: "a"}, core.CancelJob{RequestID: 7, ID: "a"}},
		{core.QueryJob{RequestID: 1, ID: "a"}, core.QueryJob{RequestID: 7, ID: "a"}},
		{core.CloudCallRequested{RequestID: 1, FencingToken: 2}, core.CloudCallRequested{RequestID: 7, FencingToken: 2}},
		{core.FollowerRead{RequestID: 1, AfterRevision: 2}, core.FollowerRead{RequestID: 7, AfterRevision: 2}},
		{core.QuerySweep{RequestID: 1, ID: "a"}, core.QuerySweep{RequestID: 7, ID: "a"}},
		{core.ListSweepRuns{RequestID: 1, ID: "a"}, core.ListSweepRuns{RequestID: 7, ID: "a"}},
		{core.CancelSweep{RequestID: 1, ID: "a"}, core.CancelSweep{RequestID: 7, ID: "a"}},
		{core.ForwardedSweep{ID: "a"}, nil},
	} {
		if got := Numbered(c.request, 7); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%+v", got)
		}
	}
}
