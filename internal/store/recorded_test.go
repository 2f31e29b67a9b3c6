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

// answered is an answer with a body.
func answered(status int, body string) httpwire.Response {
	return httpwire.Response{Status: status, Body: []byte(body)}
}

type listed struct {
	Rows   []core.Change
	Ledger uint64
	Paced  int
	Err    error
}

type gotten struct {
	Value    string
	Stamp    uint64
	AbsentAt uint64
	Err      error
}

type leased struct {
	Lease uint64
	Gone  bool
	Err   error
}

// TestRecorded compares the requests of every call with their recorded form, and
// what each answer is read as.
func TestRecorded(t *testing.T) {
	service := golden.NewService(t)
	client := New(service.Addr, 2)
	defer client.Close()
	list := func() any {
		var l listed
		l.Rows, l.Ledger, l.Err = client.List("zinclb/job/", func() { l.Paced++ })
		return l
	}
	get := func() any {
		read := client.Get("zinclb/job/a")
		return gotten{string(read.Value), read.Revision, read.AbsentAt, read.Err}
	}
	multi := func() any {
		return client.Transact(core.CommitTransaction{
			ID: 5, Conditions: []core.Cond{{Key: "zinclb/leader", Revision: 3}, {Key: "zinclb/end/a"}},
			Writes: []core.Write{{Key: "zinclb/job/a", Value: []byte(`{"a":"<b>"}`)}, {Key: "zinclb/leader", Value: []byte(`1`), Lease: 77}, {Key: "zinclb/run/a"}},
		}, time.Second)
	}
	lease := func() any {
		id, err := client.GrantLease(3 * time.Second)
		return leased{Lease: id, Err: err}
	}
	touch := func() any {
		gone, err := client.RenewLease(77)
		return leased{Gone: gone, Err: err}
	}
	drop := func() any { return leased{Err: client.RevokeLease(77)} }
	watch := func() any { return client.Watch("zinclb/", 40, 1500*time.Millisecond) }
	view := func() any { return client.Watch("zinclb/", 40, 0) }
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
			listed{Rows: []core.Change{{Key: "zinclb/job/a", Value: []byte(`{"x":1}`), Revision: 8}, {Key: "zinclb/job/b+c d", Value: []byte(`2`), Revision: 9}, {Key: "zinclb/job/e", Value: []byte(`"t"`), Revision: 10}}, Ledger: 40, Paced: 2},
		},
		{"list, nothing", list, []httpwire.Response{answered(200, `{"rows":[],"truncated":false,"ledger":12}`)}, listed{Ledger: 12, Paced: 1}},
		{"list, refused", list, []httpwire.Response{answered(429, `{}`)}, listed{Paced: 1, Err: StatusError(429)}},
		{"get", get, []httpwire.Response{answered(200, `{"path":"zinclb/job/a","data":{"x":1},"stamp":8}`)}, gotten{Value: `{"x":1}`, Stamp: 8}},
		{"get, absent", get, []httpwire.Response{answered(404, `{}`)}, gotten{}},
		{"get, absent at a revision", get, []httpwire.Response{answered(404, `{"ledger":431}`)}, gotten{AbsentAt: 431}},
		{"get, absent, unreadable", get, []httpwire.Response{answered(404, `{`)}, gotten{}},
		{"get, refused", get, []httpwire.Response{answered(503, `{}`)}, gotten{Err: StatusError(503)}},
		{"multi, done", multi, []httpwire.Response{answered(200, `{"ledger":43}`)}, core.TransactionResult{ID: 5, Outcome: kv.Committed, Revision: 43}},
		{"multi, conditions fail", multi, []httpwire.Response{answered(409, `{"ledger":44,"failed":["zinclb/leader"]}`)}, core.TransactionResult{ID: 5, Outcome: kv.Conflict, Revision: 44, Failed: []string{"zinclb/leader"}}},
		{"multi, refused", multi, []httpwire.Response{answered(429, `{}`)}, core.TransactionResult{ID: 5, Outcome: kv.RateLimited}},
		{"multi, unreadable", multi, []httpwire.Response{answered(200, `{`)}, core.TransactionResult{ID: 5}},
		{"multi, nothing", func() any { return client.Transact(core.CommitTransaction{ID: 6}, time.Second) }, []httpwire.Response{answered(200, `{"ledger":45}`)}, core.TransactionResult{ID: 6, Outcome: kv.Committed, Revision: 45}},
		{"lease", lease, []httpwire.Response{answered(200, `{"tenure":77}`)}, leased{Lease: 77}},
		{"lease, refused", lease, []httpwire.Response{answered(429, `{}`)}, leased{Err: StatusError(429)}},
		{"touch", touch, []httpwire.Response{answered(200, `{}`)}, leased{}},
		{"touch, gone", touch, []httpwire.Response{answered(404, `{}`)}, leased{Gone: true}},
		{"touch, refused", touch, []httpwire.Response{answered(429, `{}`)}, leased{Err: StatusError(429)}},
		{"drop", drop, []httpwire.Response{answered(200, `{}`)}, leased{}},
		{
			"watch", watch,
			[]httpwire.Response{answered(200, `{"ledger":42,"news":[{"put":"zinclb/job/a","data":{"x":1},"stamp":41},{"remove":"zinclb/run/a","stamp":42}]}`)},
			core.StateRead{AfterRevision: 40, Revision: 42, Changes: []core.Change{{Key: "zinclb/job/a", Value: []byte(`{"x":1}`), Revision: 41}, {Key: "zinclb/run/a", Revision: 42, Removed: true}}},
		},
		{"watch, nothing new", watch, []httpwire.Response{answered(200, `{"ledger":40,"news":[]}`)}, core.StateRead{AfterRevision: 40, Revision: 40}},
		{"watch, forgotten", watch, []httpwire.Response{answered(410, `{}`)}, core.StateRead{AfterRevision: 40, Compacted: true}},
		{"watch, refused", watch, []httpwire.Response{answered(503, `{}`)}, core.StateRead{AfterRevision: 40, Err: StatusError(503)}},
		{"view", view, []httpwire.Response{answered(200, `{"ledger":40}`)}, core.StateRead{AfterRevision: 40, Revision: 40}},
	} {
		service.Note("%s:", tc.name)
		service.Answer(tc.answers...)
		if got := tc.call(); !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: read as %+v, want %+v", tc.name, got, tc.want)
		}
	}
	golden.Compare(t, "testdata/requests.txt", service.Requests())
}

// TestOutcomes: what follows from an answer depends on its status alone, and each status
// that the state service is known to answer with has an outcome of its own.
func TestOutcomes(t *testing.T) {
	want := map[int]kv.Outcome{
		0: kv.Unknown, 200: kv.Committed, 400: kv.Malformed, 409: kv.Conflict, 429: kv.RateLimited, 503: kv.Unavailable,
	}
	for status := range 600 {
		expected, named := want[status]
		if !named {
			expected = kv.Rejected
		}
		if got := Outcome(status); got != expected {
			t.Errorf("%d: outcome %d, want %d", status, got, expected)
		}
	}
}

// TestRecordedFaults has what is said of answers that can't be read.
func TestRecordedFaults(t *testing.T) {
	service := golden.NewService(t)
	client := New(service.Addr, 2)
	defer client.Close()
	for _, tc := range []struct {
		body, want string
		call       func() error
	}{
		{`{`, "list: unexpected end of JSON input", func() error { _, _, err := client.List("p", func() {}); return err }},
		{`{`, "get: unexpected end of JSON input", func() error { return client.Get("p").Err }},
		{`{"data":1}`, "get: no stamp", func() error { return client.Get("p").Err }},
		{`{`, "lease: bad answer unexpected end of JSON input", func() error { _, err := client.GrantLease(time.Second); return err }},
		{`{}`, "lease: bad answer no tenure", func() error { _, err := client.GrantLease(time.Second); return err }},
		{`{`, "watch: unexpected end of JSON input", func() error { return client.Watch("p", 1, 0).Err }},
	} {
		service.Answer(answered(200, tc.body))
		if err := tc.call(); err == nil || err.Error() != tc.want {
			t.Errorf("%s: %v, want %s", tc.body, err, tc.want)
		}
	}
	var refused interface{ Refused() bool }
	if err := error(StatusError(503)); !errors.As(err, &refused) || !refused.Refused() || err.Error() != "state service answered 503" {
		t.Errorf("a refusal: %v", err)
	}
}
