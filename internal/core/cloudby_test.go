package core

import (
	"errors"
	"testing"

	"github.com/zinclb/zinclb/internal/core/connectivity"
)

// TestReturnsFenced: machines are returned and rented only while nobody else can
// lead, and the call carries until when. One that was decided and waited, as for
// the budget, used to go out whatever had become of the leadership since.
func TestReturnsFenced(t *testing.T) {
	b := newBetween(t, "n0")
	ttl := b.c.set.Ops.LeaderLease
	b.mute = true
	b.run(ttl + second)
	if b.c.sure() {
		t.Fatal("sure without a proof")
	}
	b.c.wantRelease("m")
	b.out = nil
	b.run(3 * second)
	if r := find[Release](b); len(r) != 0 {
		t.Errorf("returned by one that may be replaced: %+v", r)
	}
	b.c.machine("came up").LastHeartbeat = b.now
	b.c.lead.cloud.release = append(b.c.lead.cloud.release, "came up")
	b.mute = false
	b.run(2 * second)
	r := find[Release](b)
	if len(r) == 0 || len(r[0].Names) != 1 || r[0].Names[0] != "m" || r[0].Until <= b.now-2*second || r[0].Until > b.now+ttl {
		t.Errorf("proven again: %+v at %d", r, b.now)
	}
}

// TestCloudByPeer: who makes a leader's calls of the cloud, and what a peer
// makes of them.
func TestCloudByPeer(t *testing.T) {
	silent, refused := errors.New("no answer"), refusal{}
	cases := []struct {
		name string
		err  error                        // of the leader's own calls
		say  []connectivity.Advertisement // of n1 and n2
		fail string                       // a peer that could not either
		want string
	}{
		{"the cloud answers", nil, []connectivity.Advertisement{{Cloud: true}, {Cloud: true}}, "", ""},
		{"it is silent, and n2 has an answer", silent, []connectivity.Advertisement{{}, {Cloud: true}}, "", "n2"},
		{"nobody has asked it", silent, []connectivity.Advertisement{{}, {}}, "", "n1"},
		{"n1 could not either", silent, []connectivity.Advertisement{{}, {}}, "n1", "n2"},
		{"it refuses, which it would all", refused, []connectivity.Advertisement{{Cloud: true}, {Cloud: true}}, "", ""},
		{"no peer answers", silent, nil, "", ""},
	}
	for _, tc := range cases {
		b := newBetween(t, "n0")
		b.step(Types{Token: b.c.lead.token})
		b.run(5 * second)
		for range 3 {
			b.step(Machines{Err: tc.err, Token: b.c.lead.token})
		}
		for i, v := range tc.say {
			b.peer([]string{"n1", "n2"}[i], v)
			b.stored([]string{"n1", "n2"}[i], v)
		}
		b.run(250_000)
		if tc.fail != "" {
			b.step(CloudTold{By: tc.fail, Err: silent})
		}
		if got := b.c.cloudBy(); got != tc.want {
			t.Errorf("%s: by %q, not %q", tc.name, got, tc.want)
		}
		b.out = nil
		b.c.callCloud(CloudCall{Release: []string{"m"}})
		b.step(Tick{})
		out := b.out
		by := find[CloudBy](b)
		b.out = out
		direct := find[Release](b)
		if tc.want != "" && (len(by) != 1 || by[0].To != tc.want || by[0].Token != b.c.lead.token || by[0].Until == 0) || tc.want == "" && len(direct) != 1 {
			t.Errorf("%s: %+v, %+v", tc.name, by, direct)
		}
	}
	// The peer's side: not for one that was replaced.
	b := newBetween(t, "n1")
	for token, want := range map[uint64]int{4: 0, 5: 1, 6: 1} {
		b.out = nil
		b.step(CloudFor{Req: 1, Token: token, Call: CloudCall{Release: []string{"m"}}})
		if got := find[CloudDo](b); len(got) != want {
			t.Errorf("for token %d of 5: %+v", token, got)
		}
	}
	b.step(CloudDone{Req: 1, Answer: CloudAnswer{Status: 200}})
	if r := find[Reply](b); len(r) != 1 || r[0].Cloud == nil || r[0].Cloud.Status != 200 {
		t.Errorf("answered %+v", r)
	}
}

type refusal struct{}

func (refusal) Error() string { return "refused" }
func (refusal) Refused() bool { return true }
