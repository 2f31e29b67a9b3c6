package core

import (
	"errors"
	"testing"

	"github.com/zinclb/zinclb/internal/core/connectivity"
)

// TestScaleInFenced: machines are returned and rented only while nobody else can
// lead, and the call carries until when. One that was decided and waited, as for
// the budget, used to go out whatever had become of the leadership since.
func TestScaleInFenced(t *testing.T) {
	b := newPeerHarness(t, "n0")
	ttl := b.c.settings.Ops.LeaderLease
	b.stateSilent = true
	b.advance(ttl + second)
	if b.c.elector.mayStartTasks() {
		t.Fatal("it may act although nothing proves that it still leads")
	}
	b.c.scaler.queueScaleIn("m")
	b.effects = nil
	b.advance(3 * second)
	if r := takeEffects[ScaleIn](b); len(r) != 0 {
		t.Errorf("returned by a leader that may have been replaced: %+v", r)
	}
	b.c.workers.getOrAddMachine("came up").LastHeartbeat = b.now
	b.c.elector.leadership.scaling.toScaleIn = append(b.c.elector.leadership.scaling.toScaleIn, "came up")
	b.stateSilent = false
	b.advance(2 * second)
	r := takeEffects[ScaleIn](b)
	if len(r) == 0 || len(r[0].Names) != 1 || r[0].Names[0] != "m" || r[0].NotAfter <= b.now-2*second || r[0].NotAfter > b.now+ttl {
		t.Errorf("proven again: %+v at %d", r, b.now)
	}
}

// TestCloudViaPeer: who makes a leader's calls of the cloud, and which of them a peer
// makes for it.
func TestCloudViaPeer(t *testing.T) {
	noAnswer, refused := errors.New("no answer"), refusal{}
	cases := []struct {
		name string
		err  error                        // of the leader's own calls
		ads  []connectivity.Advertisement // of n1 and n2
		fail string                       // a peer that could not either
		want string
	}{
		{"the cloud answers", nil, []connectivity.Advertisement{{Cloud: true}, {Cloud: true}}, "", ""},
		{"it does not answer, but answers n2", noAnswer, []connectivity.Advertisement{{}, {Cloud: true}}, "", "n2"},
		{"no peer has an answer", noAnswer, []connectivity.Advertisement{{}, {}}, "", "n1"},
		{"n1 could not either", noAnswer, []connectivity.Advertisement{{}, {}}, "n1", "n2"},
		{"it refuses, as it would refuse every controller", refused, []connectivity.Advertisement{{Cloud: true}, {Cloud: true}}, "", ""},
		{"no peer answers", noAnswer, nil, "", ""},
	}
	for _, tc := range cases {
		b := newPeerHarness(t, "n0")
		b.step(MachineTypesListed{FencingToken: b.c.elector.leadership.fencingToken})
		b.advance(5 * second)
		for range 3 {
			b.step(MachinesListed{Err: tc.err, FencingToken: b.c.elector.leadership.fencingToken})
		}
		for i, v := range tc.ads {
			b.peerAnswers([]string{"n1", "n2"}[i], v)
			b.storeAdvertisement([]string{"n1", "n2"}[i], v)
		}
		b.advance(250_000)
		if tc.fail != "" {
			b.step(PeerCloudCallEnded{Peer: tc.fail, Err: noAnswer})
		}
		if got := b.c.cloud.cloudPeer(); got != tc.want {
			t.Errorf("%s: by %q, not %q", tc.name, got, tc.want)
		}
		b.effects = nil
		b.c.cloud.callCloud(CloudCall{ScaleIn: []string{"m"}})
		b.step(Tick{})
		out := b.effects
		by := takeEffects[CallCloudViaPeer](b)
		b.effects = out
		direct := takeEffects[ScaleIn](b)
		if tc.want != "" && (len(by) != 1 || by[0].To != tc.want || by[0].FencingToken != b.c.elector.leadership.fencingToken || by[0].NotAfter == 0) || tc.want == "" && len(direct) != 1 {
			t.Errorf("%s: %+v, %+v", tc.name, by, direct)
		}
	}
	// The peer's side: no calls for a leader that was replaced.
	b := newPeerHarness(t, "n1")
	for token, want := range map[uint64]int{4: 0, 5: 1, 6: 1} {
		b.effects = nil
		b.step(CloudCallRequested{RequestID: 1, FencingToken: token, Call: CloudCall{ScaleIn: []string{"m"}}})
		if got := takeEffects[CallCloudForPeer](b); len(got) != want {
			t.Errorf("for token %d of 5: %+v", token, got)
		}
	}
	b.step(CloudCalledForPeer{RequestID: 1, Answer: CloudResult{Status: 200}})
	if r := takeEffects[Reply](b); len(r) != 1 || r[0].Cloud == nil || r[0].Cloud.Status != 200 {
		t.Errorf("answered %+v", r)
	}
}

type refusal struct{}

func (refusal) Error() string { return "refused" }
func (refusal) Refused() bool { return true }
