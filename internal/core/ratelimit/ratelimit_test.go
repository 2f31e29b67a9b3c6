package ratelimit

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// member is a controller of the model: since when it has been a member, whether its
// lease lives, and how old its view of the others is.
type member struct {
	there, older bool
	since        int64 // when its word was stored, 0 for not
	seen         []bool
	viewed       int64
	leads        bool
}

// used is what all controllers may use a second together, by what each knows.
func used(l Limits, all []member, now int64, of func(Limits, Members) Share) (requests, changes float64) {
	requests = leaseRequests * float64(len(all))
	for i, m := range all {
		if !m.there || m.older {
			continue
		}
		k := Members{Configured: len(all), SharingEnabled: true, HasLeader: true, IsLeader: m.leads}
		for j, s := range m.seen {
			switch {
			case !s:
			case all[j].older:
				k.Legacy++
			case !all[j].leads:
				k.Present++
			}
		}
		k.Confirmed = m.since > 0 && now-m.since > SettleTime && now-m.viewed < MaxViewAge && m.seen[i]
		s := of(l, k)
		requests += s.Reads
		changes += s.Changes
		if m.leads {
			requests += leaderWrites
		} else {
			requests += s.Changes
		}
	}
	return requests, changes
}

// histories plays members that come and go, are cut off and are seen late, and says
// by how much the most was exceeded.
func histories(t *rapid.T, of func(Limits, Members) Share) (over float64) {
	n := rapid.IntRange(2, 12).Draw(t, "controllers")
	l := Limits{Requests: float64(rapid.SampledFrom([]int{80, 200, 250}).Draw(t, "requests")), Changes: float64(rapid.SampledFrom([]int{25, 60, 90}).Draw(t, "changes"))}
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
		case 0: // it starts, and its word is stored at once
			if !all[i].there {
				all[i].there, all[i].since, all[i].viewed = true, now, now
				clear(all[i].seen)
			}
		case 1: // it ends, and its word goes
			all[i].there, all[i].since = false, 0
		default: // it reads what is stored
			all[i].viewed = now
			for j := range all {
				all[i].seen[j] = all[j].since > 0
			}
		}
		// Whoever has not read for Fresh knows that its view is old.
		requests, changes := used(l, all, now, of)
		over = max(over, requests-l.Requests, changes-l.Changes)
	}
	return over
}

// TestSum: the parts of all controllers together stay within what the state service
// allows, whoever comes, goes, or has an old view of the others.
func TestSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if over := histories(t, ShareFor); over > 1e-6 {
			t.Fatalf("%.2f a second too many", over)
		}
	})
}

// TestSumPlanted: shares that add up to more are found, as where a new member uses
// the part of those that are not there before they can have seen it.
func TestSumPlanted(t *testing.T) {
	hasty := func(l Limits, m Members) Share {
		m.Confirmed = true
		return ShareFor(l, m)
	}
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) { worst = max(worst, histories(t, hasty)) })
	if worst < 1 {
		t.Errorf("%.2f a second too many, and none were found", worst)
	}
}

// TestOf: what a controller may use.
func TestOf(t *testing.T) {
	large := Limits{Requests: 250, Changes: 90}
	cases := []struct {
		name    string
		l       Limits
		m       Members
		changes float64
		views   float64
	}{
		{"nothing is shared", large, Members{Configured: 5}, 22.5, 15},
		{"nothing is shared among many", large, Members{Configured: 12}, 22.5 * 4 / 11, 15},
		{"the leader, nothing is shared", large, Members{Configured: 12, HasLeader: true, IsLeader: true}, 67.5, 15},
		{"alone by its settings", large, Members{Configured: 1, SharingEnabled: true}, 22.5, 15},
		{"the leader", large, Members{Configured: 12, SharingEnabled: true, HasLeader: true, IsLeader: true}, 67.5, 45},
		{"the leader of two", large, Members{Configured: 2, SharingEnabled: true, HasLeader: true, IsLeader: true}, 67.5, 30},
		{"one of eleven others", large, Members{Configured: 12, SharingEnabled: true, HasLeader: true, Present: 11, Confirmed: true}, 22.5 / 11, 9.5},
		{"the others are away", large, Members{Configured: 12, SharingEnabled: true, HasLeader: true, Present: 1, Confirmed: true}, 22.5/22 + 22.5/2, 15},
		{"it is new", large, Members{Configured: 12, SharingEnabled: true, HasLeader: true, Present: 11}, 22.5 / 22, 4.8},
		{"one is older", large, Members{Configured: 12, SharingEnabled: true, HasLeader: true, Present: 10, Legacy: 1, Confirmed: true}, 0.8 * (22.5/22 + 22.5/20), 8.0},
		{"nobody leads", large, Members{Configured: 12, SharingEnabled: true}, 7.5, 10.3},
	}
	for _, tc := range cases {
		s := ShareFor(tc.l, tc.m)
		if math.Abs(s.Changes-tc.changes) > 0.01 || math.Abs(s.Views-tc.views) > 0.1 {
			t.Errorf("%s: %.2f changes, %.2f views", tc.name, s.Changes, s.Views)
		}
	}
}

// TestBudget: what is given is there once, and a full budget takes no more by time.
func TestBudget(t *testing.T) {
	b := NewTokenBucket(0, 10)
	b.Refill(5*second, 10)
	if b.Level() != 10 {
		t.Errorf("level %.1f", b.Level())
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
			t.Errorf("gave %d of %d, want %d", n, tc.wanted, tc.want)
		}
	}
	if sum := b.Level() + other.Level(); sum != 10 {
		t.Errorf("%.1f in both", sum)
	}
	other.Refill(second, 2)
	if other.Level() != 12 {
		t.Errorf("what was given is lost: %.1f", other.Level())
	}
	tiny := NewTokenBucket(0, InitialTokens)
	taken := 0
	for tiny.TryTake() {
		taken++
	}
	if taken != minBurst {
		t.Errorf("a small share reaches for %d changes, a cancellation takes %d", taken, minBurst)
	}
}
