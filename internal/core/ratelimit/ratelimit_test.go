package ratelimit

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// member is a controller of the model.
type member struct {
	running, legacy bool   // legacy: its program does not share the limits
	since           int64  // time at which its member key was stored, 0 if it is not stored
	seen            []bool // for each controller, whether this one saw its member key in the last read
	viewedAt        int64  // time at which it last read the members
	leads           bool
}

// totalUsage returns the requests and changes that all controllers together may use per second,
// given what each of them knows.
func totalUsage(limits Limits, all []member, now int64, shareFor func(Limits, Members) Share) (requests, changes float64) {
	requests = leaseRequests * float64(len(all))
	for i, m := range all {
		if !m.running || m.legacy {
			continue
		}
		known := Members{Configured: len(all), SharingEnabled: true, HasLeader: true, IsLeader: m.leads}
		for j, isSeen := range m.seen {
			switch {
			case !isSeen:
			case all[j].legacy:
				known.Legacy++
			case !all[j].leads:
				known.Present++
			}
		}
		known.Confirmed = m.since > 0 && now-m.since > SettleTime && now-m.viewedAt < MaxViewAge && m.seen[i]
		share := shareFor(limits, known)
		requests += share.Reads
		changes += share.Changes
		if m.leads {
			requests += leaderWrites
		} else {
			requests += share.Changes
		}
	}
	return requests, changes
}

// maxExcess runs a random history of controllers that start, stop and read the members, and returns
// the maximum amount by which the limits were exceeded. A controller may go without a read for any
// time, as if cut off, so that it sees changes of the others late.
func maxExcess(t *rapid.T, shareFor func(Limits, Members) Share) (excess float64) {
	n := rapid.IntRange(2, 12).Draw(t, "controllers")
	limits := Limits{Requests: float64(rapid.SampledFrom([]int{80, 200, 250}).Draw(t, "requests")), Changes: float64(rapid.SampledFrom([]int{25, 60, 90}).Draw(t, "changes"))}
	all := make([]member, n)
	for i := range all {
		all[i] = member{seen: make([]bool, n)}
	}
	all[0].leads = true
	now := int64(100 * second)
	for range rapid.IntRange(5, 60).Draw(t, "steps") {
		now += int64(rapid.IntRange(1, 1500).Draw(t, "ms")) * 1000
		i := rapid.IntRange(0, n-1).Draw(t, "who")
		switch rapid.IntRange(0, 3).Draw(t, "what") {
		case 0: // the controller starts, and its member key is stored at once
			if !all[i].running {
				all[i].running, all[i].since, all[i].viewedAt = true, now, now
				clear(all[i].seen)
			}
		case 1: // the controller stops, and its member key is removed
			all[i].running, all[i].since = false, 0
		default: // the controller reads the members
			all[i].viewedAt = now
			for j := range all {
				all[i].seen[j] = all[j].since > 0
			}
		}
		// A controller that has not read for MaxViewAge knows that its view is outdated.
		requests, changes := totalUsage(limits, all, now, shareFor)
		excess = max(excess, requests-limits.Requests, changes-limits.Changes)
	}
	return excess
}

// TestSharesWithinLimits checks that the shares of all controllers together stay within the
// limits of the state service, whichever controllers start, stop, or have an outdated view of
// the others.
func TestSharesWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if excess := maxExcess(t, ShareFor); excess > 1e-6 {
			t.Fatalf("shares exceed the limits by %.2f per second, want 0", excess)
		}
	})
}

// TestExcessiveSharesFound checks that the model finds shares that exceed the limits. The
// planted fault: a new member uses the shares of absent controllers before the others can have
// seen it.
func TestExcessiveSharesFound(t *testing.T) {
	withoutSettling := func(limits Limits, members Members) Share {
		members.Confirmed = true
		return ShareFor(limits, members)
	}
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) { worst = max(worst, maxExcess(t, withoutSettling)) })
	if worst < 1 {
		t.Errorf("planted fault exceeds the limits by %.2f per second, want at least 1", worst)
	}
}

// TestShareFor checks the share of a controller, given what it knows of the others.
func TestShareFor(t *testing.T) {
	large := Limits{Requests: 250, Changes: 90}
	cases := []struct {
		name    string
		limits  Limits
		members Members
		changes float64
		views   float64
	}{
		{"sharing disabled", large, Members{Configured: 5}, 22.5, 15},
		{"sharing disabled, many controllers", large, Members{Configured: 12}, 22.5 * 4 / 11, 15},
		{"sharing disabled, leader", large, Members{Configured: 12, HasLeader: true, IsLeader: true}, 67.5, 15},
		{"only one controller configured", large, Members{Configured: 1, SharingEnabled: true}, 22.5, 15},
		{"leader", large, Members{Configured: 12, SharingEnabled: true, HasLeader: true, IsLeader: true}, 67.5, 45},
		{"leader of two controllers", large, Members{Configured: 2, SharingEnabled: true, HasLeader: true, IsLeader: true}, 67.5, 30},
		{"one of eleven followers", large, Members{Configured: 12, SharingEnabled: true, HasLeader: true, Present: 11, Confirmed: true}, 22.5 / 11, 9.5},
		{"only follower present", large, Members{Configured: 12, SharingEnabled: true, HasLeader: true, Present: 1, Confirmed: true}, 22.5/22 + 22.5/2, 15},
		{"new follower", large, Members{Configured: 12, SharingEnabled: true, HasLeader: true, Present: 11}, 22.5 / 22, 4.8},
		{"one legacy member", large, Members{Configured: 12, SharingEnabled: true, HasLeader: true, Present: 10, Legacy: 1, Confirmed: true}, 0.8 * (22.5/22 + 22.5/20), 8.0},
		{"no leader", large, Members{Configured: 12, SharingEnabled: true}, 7.5, 10.3},
	}
	for _, tc := range cases {
		s := ShareFor(tc.limits, tc.members)
		if math.Abs(s.Changes-tc.changes) > 0.01 || math.Abs(s.Views-tc.views) > 0.1 {
			t.Errorf("%s: got %.2f changes and %.2f views, want %.2f and %.2f", tc.name, s.Changes, s.Views, tc.changes, tc.views)
		}
	}
}

// TestTokenBucket checks that tokens moved between buckets are neither lost nor duplicated, and
// that refilling does not exceed the capacity.
func TestTokenBucket(t *testing.T) {
	b := NewTokenBucket(0, 10)
	b.Refill(5*second, 10)
	if b.Level() != 10 {
		t.Errorf("level of a full bucket after a refill: got %.1f, want 10", b.Level())
	}
	var other TokenBucket
	for _, tc := range []struct {
		wanted int
		least  float64
		want   int
	}{{3, 1, 3}, {100, 1, 6}, {5, 1, 0}, {5, -2, 3}} {
		n := b.Withdraw(tc.wanted, tc.least)
		other.Deposit(n)
		if n != tc.want {
			t.Errorf("Withdraw(%d, %.0f) = %d, want %d", tc.wanted, tc.least, n, tc.want)
		}
	}
	if sum := b.Level() + other.Level(); sum != 10 {
		t.Errorf("tokens in both buckets: got %.1f, want 10", sum)
	}
	other.Refill(second, 2)
	if other.Level() != 12 {
		t.Errorf("level after deposits beyond the capacity and a refill: got %.1f, want 12", other.Level())
	}
	tiny := NewTokenBucket(0, InitialTokens)
	taken := 0
	for tiny.TryTake() {
		taken++
	}
	if taken != minBurst {
		t.Errorf("a new bucket allows %d changes, want %d, enough for one cancellation", taken, minBurst)
	}
}
