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

// callTimeout is the timeout of calls that a test expects to be answered.
const callTimeout = 10 * time.Second

// recordingHandler is a Handler that answers all calls with the same reply and sends
// each message it receives to a channel.
type recordingHandler struct {
	received chan any
	answer   core.Reply
	err      error
	// entered, if set, receives a value for each call before the call's message is sent
	// to received.
	entered chan struct{}
}

func (r *recordingHandler) HandleRelayedHeartbeat(heartbeat core.HeartbeatReceived) (core.Reply, error) {
	return r.handle(heartbeat)
}

func (r *recordingHandler) HandlePing(ping core.PingReceived) (core.Reply, error) {
	return r.handle(ping)
}

func (r *recordingHandler) HandleRequest(request any) (core.Reply, error) {
	return r.handle(request)
}

func (r *recordingHandler) handle(message any) (core.Reply, error) {
	if r.entered != nil {
		r.entered <- struct{}{}
	}
	r.received <- message
	return r.answer, r.err
}

// startServer starts a server for a handler and returns its address. At the end of the
// test it stops the server.
func startServer(t *testing.T, handler Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- serve(ctx, listener, "node-1", handler, 4) }()
	t.Cleanup(func() {
		stop()
		if err := <-result; !errors.Is(err, context.Canceled) {
			t.Errorf("serve: got error %v, want %v", err, context.Canceled)
		}
		if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
			closeLogged(conn)
			t.Error("connection to the stopped server: got no error, want one")
		}
	})
	return listener.Addr().String()
}

// TestCalls checks that each message, with all fields set, and its reply arrive as they
// were sent.
func TestCalls(t *testing.T) {
	h := &recordingHandler{received: make(chan any, 1)}
	client := NewClient(startServer(t, h), 1)
	defer client.Close()
	for name, message := range completeMessages() {
		want := message
		var answered any
		var err error
		switch m := message.(type) {
		case wire.AskArgs:
			continue // not a message of the core
		case core.Reply:
			want = core.QueryJob{ID: "job-01"}
			h.answer = m
			answered, err = client.Ask(want, callTimeout)
		case PingAnswer:
			want = core.PingReceived{From: "node-0"}
			h.answer = core.Reply{PeerStatus: &m.Status}
			var answer PingAnswer
			answer, err = client.Ping(core.PingReceived{From: "node-0"}, callTimeout)
			if !reflect.DeepEqual(answer, m) {
				t.Errorf("%s: got answer %+v, want %+v", name, answer, m)
			}
			answered = h.answer
		case core.PingReceived:
			h.answer = core.Reply{PeerStatus: &core.PeerStatus{}}
			_, err = client.Ping(m, callTimeout)
			answered = h.answer
		case core.HeartbeatReceived:
			answered, err = client.RelayHeartbeat(m, callTimeout)
		default:
			answered, err = client.Ask(m, callTimeout)
		}
		if err != nil {
			t.Fatalf("%s: call: got error %v, want none", name, err)
		}
		if received := <-h.received; !reflect.DeepEqual(received, want) {
			t.Errorf("%s: received %+v, want %+v", name, received, want)
		}
		if !reflect.DeepEqual(answered, any(h.answer)) {
			t.Errorf("%s: got answer %+v, want %+v", name, answered, h.answer)
		}
	}
}

// TestErrors checks that errors of calls are found by errors.Is and errors.As.
func TestErrors(t *testing.T) {
	h := &recordingHandler{received: make(chan any)}
	client := NewClient(startServer(t, h), 1)
	defer client.Close()
	t.Run("message that can't be forwarded", func(t *testing.T) {
		if _, err := client.Ask(core.Tick{}, callTimeout); !errors.Is(err, ErrEmptyRequest) {
			t.Errorf("got error %v, want %v", err, ErrEmptyRequest)
		}
	})
	t.Run("request that the peer does not know", func(t *testing.T) {
		for _, args := range []wire.AskArgs{{}, {Submit: &wire.Submit{Invalid: "no job"}}} {
			if _, err := client.callForReply("Ask", args, callTimeout); !errors.Is(err, ErrEmptyRequest) {
				t.Errorf("%+v: got error %v, want %v", args, err, ErrEmptyRequest)
			}
		}
	})
	t.Run("ping answered without a status", func(t *testing.T) {
		go func() { <-h.received }()
		if _, err := client.Ping(core.PingReceived{}, callTimeout); !errors.Is(err, ErrNoAnswer) {
			t.Errorf("got error %v, want %v", err, ErrNoAnswer)
		}
	})
	t.Run("any other error of the peer", func(t *testing.T) {
		var answered rpc.ServerError
		if err := client.call("Unknown", wire.AskArgs{}, &wire.Reply{}, callTimeout); !errors.As(err, &answered) {
			t.Errorf("got error %v, want an rpc.ServerError", err)
		}
	})
	t.Run("timeout", func(t *testing.T) {
		if _, err := client.Ask(core.QueryJob{}, 100*time.Millisecond); !errors.Is(err, ErrTimeout) {
			t.Errorf("got error %v, want %v", err, ErrTimeout)
		}
		<-h.received
	})
	t.Run("too many calls", func(t *testing.T) {
		client.slots <- struct{}{}
		defer func() { <-client.slots }()
		if _, err := client.Ask(core.QueryJob{}, callTimeout); !errors.Is(err, ErrTooManyCalls) {
			t.Errorf("got error %v, want %v", err, ErrTooManyCalls)
		}
	})
	t.Run("connection refused", func(t *testing.T) {
		var failed *net.OpError
		if _, err := NewClient("127.0.0.1:1", 1).Ask(core.QueryJob{}, callTimeout); !errors.As(err, &failed) {
			t.Errorf("got error %v, want a net.OpError", err)
		}
	})
}

// TestClose checks that Close ends a call in progress and that later calls fail.
func TestClose(t *testing.T) {
	h := &recordingHandler{received: make(chan any), entered: make(chan struct{}, 1)}
	client := NewClient(startServer(t, h), 1)
	result := make(chan error, 1)
	go func() {
		_, err := client.Ask(core.QueryJob{}, callTimeout)
		result <- err
	}()
	<-h.entered
	client.Close()
	if err := <-result; !errors.Is(err, net.ErrClosed) {
		t.Errorf("call in progress during Close: got error %v, want %v", err, net.ErrClosed)
	}
	<-h.received
	if _, err := client.Ask(core.QueryJob{}, callTimeout); !errors.Is(err, net.ErrClosed) {
		t.Errorf("call after Close: got error %v, want %v", err, net.ErrClosed)
	}
}

// TestNumbered checks that each forwarded request except a sweep gets the new request ID
// and is otherwise unchanged.
func TestNumbered(t *testing.T) {
	spec := completeSpec()
	for _, tc := range []struct{ request, want any }{
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
		if got := WithRequestID(tc.request, 7); !reflect.DeepEqual(got, tc.want) {
			t.Errorf("WithRequestID(%+v, 7): got %+v, want %+v", tc.request, got, tc.want)
		}
	}
}
