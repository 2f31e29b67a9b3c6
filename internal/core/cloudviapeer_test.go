package core

import (
	"errors"
	"testing"

	"github.com/zinclb/zinclb/internal/core/connectivity"
)

// TestScaleInFenced checks that machines are returned only while no other controller can lead,
// and that the call contains the time until which this holds; the same rule applies to renting
// machines. It guards against a scale-in that was queued, for example until the call budget
// allowed it, and then sent although the leadership might have been lost in the meantime.
func TestScaleInFenced(t *testing.T) {
	h := newPeerHarness(t, "n0")
	ttl := h.core.settings.Ops.LeaderLease
	h.stateSilent = true
	h.advance(ttl + second)
	if h.core.elector.mayStartTasks() {
		t.Fatal("mayStartTasks: got true without proof of leadership, want false")
	}
	h.core.scaler.queueScaleIn("m")
	h.effects = nil
	h.advance(3 * second)
	if scaleIns := takeEffects[ScaleIn](h); len(scaleIns) != 0 {
		t.Errorf("scale-ins by a leader that may have been replaced: got %+v, want none", scaleIns)
	}
	h.core.workers.getOrAddMachine("came up").LastHeartbeat = h.now
	h.core.elector.leadership.scaling.toScaleIn = append(h.core.elector.leadership.scaling.toScaleIn, "came up")
	h.stateSilent = false
	h.advance(2 * second)
	scaleIns := takeEffects[ScaleIn](h)
	if len(scaleIns) == 0 || len(scaleIns[0].Names) != 1 || scaleIns[0].Names[0] != "m" || scaleIns[0].NotAfter <= h.now-2*second || scaleIns[0].NotAfter > h.now+ttl {
		t.Errorf("scale-ins after leadership was proven again, at %d us: got %+v, want m with NotAfter within the leader lease", h.now, scaleIns)
	}
}

// TestCloudViaPeer checks through which peer, if any, a leader makes its calls to the cloud, and
// that a peer makes no calls for a leader that was replaced.
func TestCloudViaPeer(t *testing.T) {
	noAnswer, refused := errors.New("no answer"), refusal{}
	cases := []struct {
		name           string
		err            error                        // result of the leader's own calls
		advertisements []connectivity.Advertisement // advertisements of n1 and n2
		failedPeer     string                       // a peer through which a call failed
		want           string
	}{
		{"the cloud answers the leader", nil, []connectivity.Advertisement{{Cloud: true}, {Cloud: true}}, "", ""},
		{"the cloud answers only n2", noAnswer, []connectivity.Advertisement{{}, {Cloud: true}}, "", "n2"},
		{"the cloud answers no peer", noAnswer, []connectivity.Advertisement{{}, {}}, "", "n1"},
		{"the call through n1 failed", noAnswer, []connectivity.Advertisement{{}, {}}, "n1", "n2"},
		{"the cloud refuses, as it would for every controller", refused, []connectivity.Advertisement{{Cloud: true}, {Cloud: true}}, "", ""},
		{"no peer answers", noAnswer, nil, "", ""},
	}
	for _, tc := range cases {
		h := newPeerHarness(t, "n0")
		h.step(MachineTypesListed{FencingToken: h.core.elector.leadership.fencingToken})
		h.advance(5 * second)
		for range 3 {
			h.step(MachinesListed{Err: tc.err, FencingToken: h.core.elector.leadership.fencingToken})
		}
		for i, advertisement := range tc.advertisements {
			h.peerAnswers([]string{"n1", "n2"}[i], advertisement)
			h.storeAdvertisement([]string{"n1", "n2"}[i], advertisement)
		}
		h.advance(250_000)
		if tc.failedPeer != "" {
			h.step(PeerCloudCallEnded{Peer: tc.failedPeer, Err: noAnswer})
		}
		if got := h.core.cloud.cloudPeer(); got != tc.want {
			t.Errorf("%s: cloud peer: got %q, want %q", tc.name, got, tc.want)
		}
		h.effects = nil
		h.core.cloud.callCloud(CloudCall{ScaleIn: []string{"m"}})
		h.step(Tick{})
		kept := h.effects
		viaPeer := takeEffects[CallCloudViaPeer](h)
		h.effects = kept
		direct := takeEffects[ScaleIn](h)
		if tc.want != "" && (len(viaPeer) != 1 || viaPeer[0].To != tc.want || viaPeer[0].FencingToken != h.core.elector.leadership.fencingToken || viaPeer[0].NotAfter == 0) || tc.want == "" && len(direct) != 1 {
			t.Errorf("%s: scale-in: got %+v through peers and %+v directly, want one through peer %q (\"\" for directly)", tc.name, viaPeer, direct, tc.want)
		}
	}
	// A peer makes no calls for a leader that was replaced.
	h := newPeerHarness(t, "n1")
	for token, want := range map[uint64]int{4: 0, 5: 1, 6: 1} {
		h.effects = nil
		h.step(CloudCallRequested{RequestID: 1, FencingToken: token, Call: CloudCall{ScaleIn: []string{"m"}}})
		if got := takeEffects[CallCloudForPeer](h); len(got) != want {
			t.Errorf("calls for a leader with token %d, newest token 5: got %+v, want %d", token, got, want)
		}
	}
	h.step(CloudCalledForPeer{RequestID: 1, Answer: CloudResult{Status: 200}})
	if replies := takeEffects[Reply](h); len(replies) != 1 || replies[0].Cloud == nil || replies[0].Cloud.Status != 200 {
		t.Errorf("reply to the leader: got %+v, want one with cloud status 200", replies)
	}
}

// refusal is the error of a request that a service has refused, unlike errLost.
type refusal struct{}

func (refusal) Error() string { return "refused" }
func (refusal) Refused() bool { return true }
