package store

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/zinclb/zinclb/internal/core"
	"github.com/zinclb/zinclb/internal/core/kv"
	"github.com/zinclb/zinclb/internal/golden"
	"github.com/zinclb/zinclb/internal/httpwire"
)

// answered returns a response with a status and a body.
func answered(status int, body string) httpwire.Response {
	return httpwire.Response{Status: status, Body: []byte(body)}
}

// listResult is the result of Client.List, with the number of calls of pace.
type listResult struct {
	Rows      []core.Change
	Revision  uint64
	PaceCalls int
	Err       error
}

// getResult is the result of Client.Get.
type getResult struct {
	Value    string
	Revision uint64
	AbsentAt uint64
	Err      error
}

// leaseResult is the result of a call that grants, renews or revokes a lease.
type leaseResult struct {
	Lease   uint64
	Expired bool
	Err     error
}

// TestRecorded compares the requests of every call with the recorded ones, and the
// decoded responses with the expected results. The case names are part of the recording.
func TestRecorded(t *testing.T) {
	service := golden.NewFakeServer(t)
	client := New(service.Addr, 2)
	defer client.Close()
	list := func() any {
		var l listResult
		l.Rows, l.Revision, l.Err = client.List("zinclb/job/", func() { l.PaceCalls++ })
		return l
	}
	get := func() any {
		read := client.Get("zinclb/job/a")
		return getResult{string(read.Value), read.Revision, read.AbsentAt, read.Err}
	}
	transact := func() any {
		return client.Transact(core.CommitTransaction{
			ID: 5, Conditions: []core.Cond{{Key: "zinclb/leader", Revision: 3}, {Key: "zinclb/end/a"}},
			Writes: []core.Write{{Key: "zinclb/job/a", Value: []byte(`{"a":"<b>"}`)}, {Key: "zinclb/leader", Value: []byte(`1`), Lease: 77}, {Key: "zinclb/run/a"}},
		}, time.Second)
	}
	grantLease := func() any {
		id, err := client.GrantLease(3 * time.Second)
		return leaseResult{Lease: id, Err: err}
	}
	renewLease := func() any {
		expired, err := client.RenewLease(77)
		return leaseResult{Expired: expired, Err: err}
	}
	revokeLease := func() any { return leaseResult{Err: client.RevokeLease(77)} }
	watch := func() any { return client.Watch("zinclb/", 40, 1500*time.Millisecond) }
	readChanges := func() any { return client.Watch("zinclb/", 40, 0) }
	for _, tc := range []struct {
		name    string
		call    func() any
		answers []httpwire.Response
		want    any
	}{
		{
			"list, two pages", list,
			[]httpwire.Response{
				answered(200, `{"rows":[{"path":"zinclb/job/a","data":{"x":1},"stamp":8},{"path":"zinclb/job/b+c d","data":2,"stamp":9}],"truncated":true,"ledger":40}`),
				answered(200, `{"rows":[{"path":"zinclb/job/e","data":"t","stamp":10}],"truncated":false,"ledger":41}`),
			},
			listResult{Rows: []core.Change{{Key: "zinclb/job/a", Value: []byte(`{"x":1}`), Revision: 8}, {Key: "zinclb/job/b+c d", Value: []byte(`2`), Revision: 9}, {Key: "zinclb/job/e", Value: []byte(`"t"`), Revision: 10}}, Revision: 40, PaceCalls: 2},
		},
		{"list, nothing", list, []httpwire.Response{answered(200, `{"rows":[],"truncated":false,"ledger":12}`)}, listResult{Revision: 12, PaceCalls: 1}},
		{"list, refused", list, []httpwire.Response{answered(429, `{}`)}, listResult{PaceCalls: 1, Err: StatusError(429)}},
		{"get", get, []httpwire.Response{answered(200, `{"path":"zinclb/job/a","data":{"x":1},"stamp":8}`)}, getResult{Value: `{"x":1}`, Revision: 8}},
		{"get, absent", get, []httpwire.Response{answered(404, `{}`)}, getResult{}},
		{"get, absent at a revision", get, []httpwire.Response{answered(404, `{"ledger":431}`)}, getResult{AbsentAt: 431}},
		{"get, absent, unreadable", get, []httpwire.Response{answered(404, `{`)}, getResult{}},
		{"get, refused", get, []httpwire.Response{answered(503, `{}`)}, getResult{Err: StatusError(503)}},
		{"multi, done", transact, []httpwire.Response{answered(200, `{"ledger":43}`)}, core.TransactionResult{ID: 5, Outcome: kv.Committed, Revision: 43}},
		{"multi, conditions fail", transact, []httpwire.Response{answered(409, `{"ledger":44,"failed":["zinclb/leader"]}`)}, core.TransactionResult{ID: 5, Outcome: kv.Conflict, Revision: 44, Failed: []string{"zinclb/leader"}}},
		{"multi, refused", transact, []httpwire.Response{answered(429, `{}`)}, core.TransactionResult{ID: 5, Outcome: kv.RateLimited}},
		{"multi, unreadable", transact, []httpwire.Response{answered(200, `{`)}, core.TransactionResult{ID: 5}},
		{"multi, nothing", func() any { return client.Transact(core.CommitTransaction{ID: 6}, time.Second) }, []httpwire.Response{answered(200, `{"ledger":45}`)}, core.TransactionResult{ID: 6, Outcome: kv.Committed, Revision: 45}},
		{"lease", grantLease, []httpwire.Response{answered(200, `{"tenure":77}`)}, leaseResult{Lease: 77}},
		{"lease, refused", grantLease, []httpwire.Response{answered(429, `{}`)}, leaseResult{Err: StatusError(429)}},
		{"touch", renewLease, []httpwire.Response{answered(200, `{}`)}, leaseResult{}},
		{"touch, gone", renewLease, []httpwire.Response{answered(404, `{}`)}, leaseResult{Expired: true}},
		{"touch, refused", renewLease, []httpwire.Response{answered(429, `{}`)}, leaseResult{Err: StatusError(429)}},
		{"drop", revokeLease, []httpwire.Response{answered(200, `{}`)}, leaseResult{}},
		{
			"watch", watch,
			[]httpwire.Response{answered(200, `{"ledger":42,"news":[{"put":"zinclb/job/a","data":{"x":1},"stamp":41},{"remove":"zinclb/run/a","stamp":42}]}`)},
			core.StateRead{AfterRevision: 40, Revision: 42, Changes: []core.Change{{Key: "zinclb/job/a", Value: []byte(`{"x":1}`), Revision: 41}, {Key: "zinclb/run/a", Revision: 42, Removed: true}}},
		},
		{"watch, nothing new", watch, []httpwire.Response{answered(200, `{"ledger":40,"news":[]}`)}, core.StateRead{AfterRevision: 40, Revision: 40}},
		{"watch, forgotten", watch, []httpwire.Response{answered(410, `{}`)}, core.StateRead{AfterRevision: 40, Compacted: true}},
		{"watch, refused", watch, []httpwire.Response{answered(503, `{}`)}, core.StateRead{AfterRevision: 40, Err: StatusError(503)}},
		{"view", readChanges, []httpwire.Response{answered(200, `{"ledger":40}`)}, core.StateRead{AfterRevision: 40, Revision: 40}},
	} {
		service.AddNote("%s:", tc.name)
		service.SetAnswers(tc.answers...)
		if got := tc.call(); !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: got %+v, want %+v", tc.name, got, tc.want)
		}
	}
	golden.Compare(t, "testdata/requests.txt", service.Requests())
}

// TestOutcomes checks that the outcome of a transaction depends only on the status of the
// response, and that each status known to be used by the state service has its own
// outcome.
func TestOutcomes(t *testing.T) {
	want := map[int]kv.Outcome{
		0: kv.Unknown, 200: kv.Committed, 400: kv.Malformed, 409: kv.Conflict, 429: kv.RateLimited, 503: kv.Unavailable,
	}
	for status := range 600 {
		expected, known := want[status]
		if !known {
			expected = kv.Rejected
		}
		if got := Outcome(status); got != expected {
			t.Errorf("status %d: got outcome %d, want %d", status, got, expected)
		}
	}
}

// TestErrorTexts checks the error texts for responses that can't be decoded and for a
// refused call.
func TestErrorTexts(t *testing.T) {
	service := golden.NewFakeServer(t)
	client := New(service.Addr, 2)
	defer client.Close()
	for _, tc := range []struct {
		body, want string
		call       func() error
	}{
		{`{`, "list: unexpected end of JSON input", func() error { _, _, err := client.List("p", func() {}); return err }},
		{`{`, "get: unexpected end of JSON input", func() error { return client.Get("p").Err }},
		{`{"data":1}`, "get: field stamp is missing or 0", func() error { return client.Get("p").Err }},
		{`{`, "grant lease: invalid response: unexpected end of JSON input", func() error { _, err := client.GrantLease(time.Second); return err }},
		{`{}`, "grant lease: invalid response: field tenure is missing or 0", func() error { _, err := client.GrantLease(time.Second); return err }},
		{`{`, "watch: unexpected end of JSON input", func() error { return client.Watch("p", 1, 0).Err }},
	} {
		service.SetAnswers(answered(200, tc.body))
		if err := tc.call(); err == nil || err.Error() != tc.want {
			t.Errorf("response body %s: got error %v, want %s", tc.body, err, tc.want)
		}
	}
	var refused interface{ Refused() bool }
	if err := error(StatusError(503)); !errors.As(err, &refused) || !refused.Refused() || err.Error() != "state service answered 503" {
		t.Errorf("refused call: got error %v, want \"state service answered 503\" with Refused() true", err)
	}
}
