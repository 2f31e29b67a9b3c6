package troubles

import (
	"fmt"

	"github.com/zinclb/zinclb/internal/config"
	"github.com/zinclb/zinclb/internal/emulator/history"
	"github.com/zinclb/zinclb/internal/emulator/wire"
	"github.com/zinclb/zinclb/internal/emulator/world"
)

// later are the troubles that were named after the first; docs/meetings.md says
// which meeting each is.
var later = []trouble{
	{name: "users ask everywhere at once", met: history.MetLook, begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "close_looks", For: lasts}}
	}},
	{name: "only answers of writes are lost", met: history.MetLost, begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "late_writes", Share: 0.4, AtOnce: true, For: lasts}, {Kind: "close_looks", For: lasts}}
	}},
	{name: "copies of reports wait for the next leader", met: history.MetCopy, begin: func(n []string) []world.Fault {
		return []world.Fault{{Kind: "report_copies", Share: 0.5, ForNext: true, For: lasts}, {At: 8 * second, Kind: "crash", Hosts: n[:1]},
			{At: 20 * second, Kind: "state_refuse", Hosts: n[1:], For: 2 * second}, {At: 20*second + 50_000, Kind: "crash", Hosts: n[:2]}, {At: 33 * second, Kind: "crash", Hosts: []string{"all"}}}
	}},
	{name: "a third of the machines is mute", met: history.MetMute, begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "machine_mute", Share: 0.34, For: lasts}, {At: 5 * second, Kind: "cancel_now", Count: 4}}
	}},
	{name: "a third of the machines is mute for a moment, and the leader ends", met: history.MetMute, begin: func(n []string) []world.Fault {
		return []world.Fault{{Kind: "machine_mute", Share: 0.34, For: 9 * second}, {At: second, Kind: "crash", Hosts: n[:1]}, {At: 2 * second, Kind: "cancel_now", Count: 3},
			{At: 22 * second, Kind: "machine_mute", Share: 0.34, For: 13 * second}, {At: 23 * second, Kind: "cancel_now", Count: 3}, {At: 24 * second, Kind: "crash", Hosts: n[:2]}}
	}},
	{name: "jobs are called off and their machines hang", met: history.MetHang, begin: func([]string) []world.Fault {
		return []world.Fault{{At: 2 * second, Kind: "cancel_now", Count: 4, For: 20 * second}, {At: 14 * second, Kind: "cancel_now", Count: 4, For: 5 * second}, {At: 26 * second, Kind: "cancel_now", Count: 4, For: 12 * second}}
	}},
	{name: "jobs are called off while work changes hands", met: history.MetCallOff, least: 8, times: 5, every: 8 * second, again: handed},
	{name: "jobs are called off at their end", met: history.MetAtEnd, begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "cancel_at_end", Share: 0.6, For: lasts}}
	}},
	{name: "users send what they should not", met: history.MetOdd, begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "odd_requests", For: lasts}}
	}},
	{name: "machines are up at once, and leaders end", met: history.MetQuick, begin: func(n []string) []world.Fault {
		return []world.Fault{{Kind: "cloud_slow", Factor: 0.06, For: lasts}, {Kind: "late_writes", Share: 0.25, For: lasts}, {At: 300_000, Kind: "machine_die", Count: 2},
			{At: 3 * second, Kind: "crash", Hosts: n[:1]}, {At: 12 * second, Kind: "machine_die", Count: 2}, {At: 15 * second, Kind: "crash", Hosts: []string{"all"}}, {At: 25 * second, Kind: "machine_die", Count: 2}, {At: 26_500_000, Kind: "crash", Hosts: n[1:2]}}
	}},
	{name: "a zone is cut off for longer than a lease", met: metLease, begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "cut", Hosts: []string{"zone:a"}, To: []string{"zone:b", "services", "users"}, For: 34 * second}, {At: 4 * second, Kind: "cancel_now", Count: 4}}
	}},
	{name: "leaders change ten times, also in an outage", met: metLeader, least: 6, times: 10, every: 4200 * second / 1000, again: func(n []string, i int) []world.Fault {
		l := []world.Fault{{Kind: "crash", Hosts: n[:1], For: second}}
		if i%3 == 1 {
			l[0] = world.Fault{Kind: "state_refuse", Hosts: n[:1], For: 4 * second}
		}
		if i == 4 {
			l = append(l, world.Fault{At: 3 * second, Kind: "state_outage", For: 6 * second})
		}
		return l
	}},
	{name: "all controllers are away for longer than a lease", met: metLease, begin: func([]string) []world.Fault {
		return []world.Fault{{Kind: "crash", Hosts: []string{"all"}, For: 19 * second}}
	}},
	// Nothing can begin in such an outage.
	{name: "cancellations as the leader is refused, and then all", met: history.MetCallOff, scarce: true, outage: true, begin: func(n []string) (l []world.Fault) {
		for i := range int64(4) {
			l = append(l, world.Fault{At: i * 300_000, Kind: "cancel_now", Count: 2})
		}
		return append(l, world.Fault{Kind: "state_refuse", Hosts: n[:1], For: 6 * second}, world.Fault{At: second, Kind: "state_outage", For: 38 * second})
	}},
	{name: "teams are at their limits, machines of cancelled jobs hang, leaders change", met: history.MetHang, scarce: true, load: func(d *day) {
		d.Params.Teams[1].CPUs, d.Params.Teams[1].CPUsMax = 16, 32
		for i := range 8 {
			d.add(fmt.Sprintf("full-%02d", i), "full", "blue", wire.Array, begins-10*second+int64(i)*2*second, 4, 3, 9*second)
		}
		d.Params.Teams = append(d.Params.Teams, config.Team{Name: "one", CPUsMax: 1})
		for i := range 18 {
			d.add(fmt.Sprintf("single-%02d", i), "single", "one", wire.Array, begins-10*second+int64(i)*2*second, 1, 1, 3*second)
		}
	}, begin: func(n []string) []world.Fault {
		return []world.Fault{{At: second, Kind: "cancel_now", Count: 5, For: 22 * second}, {At: 1500 * second / 1000, Kind: "crash", Hosts: n[:1]}, {At: 2 * second, Kind: "machine_silent", Share: 0.3, For: 9 * second},
			{At: 20 * second, Kind: "cancel_now", Count: 4, For: 6 * second}, {At: 20_500_000, Kind: "crash", Hosts: n[:2]}, {At: 27 * second, Kind: "cancel_now", Count: 4, For: 9 * second}, {At: 30 * second, Kind: "state_refuse", Hosts: n[:1], For: 5 * second}}
	}},
	{name: "one-task jobs come four a second", met: metTiny, least: 120, load: func(d *day) {
		d.Params.State.WriteRPS = 25
		for i := range int(lasts / 250_000) {
			at := begins + int64(i)*250_000
			j := d.add(fmt.Sprintf("tiny-%03d", i), "tiny", "red", wire.Array, at, 1, 1, 3*second)
			if d.pick()%4 == 0 {
				j.Cancel = at + int64(d.pick()%4000)*1000
			}
		}
	}},
	{name: "more work than room, over slow links", met: metQueue, least: 10, scarce: true, load: func(d *day) {
		d.Network = world.Network{Near: 60_000, Far: 160_000, Jitter: 0.4, Loss: 0.01}
		for i := range 20 {
			j := d.add(fmt.Sprintf("more-%02d", i), "more", []string{"blue", "red", "red", "red"}[i%4], []string{wire.Array, wire.Gang}[i/2%2], begins+int64(i)*second, 4, 4, 9*second)
			j.Spec.Priority = []string{"urgent", "normal", "idle"}[i%3]
			j.Spec.CheckpntS, j.Spec.SaveS = 4, 1
		}
	}},
	{name: "jobs bound to a zone lose machines", met: metBound, load: func(d *day) {
		for i := range 16 {
			z := zones[i%2]
			j := d.add(fmt.Sprintf("bound-%02d", i), "bound", "red", []string{wire.Array, wire.Gang}[i/2%2], begins-4*second+int64(i)*2*second, 3, 2, 5*second)
			if j.Spec.Zone = &z; i%4 == 3 {
				j.Spec.Zone, j.Spec.OneZone = nil, true
			}
		}
	}, begin: func([]string) []world.Fault {
		return []world.Fault{{At: 2 * second, Kind: "machine_die", Count: 1, Class: "bound"}, {At: 14 * second, Kind: "machine_hang", Count: 1, Class: "bound", For: 20 * second}, {At: 26 * second, Kind: "machine_die", Count: 1, Class: "bound"}}
	}},
}

// handed lets work change hands between leaders, and between holders of a part, and
// jobs be called off before, in and after each of these seconds.
func handed(n []string, i int) []world.Fault {
	l := []world.Fault{{At: 200_000, Kind: "crash", Hosts: n[:1]}}
	switch i % 5 {
	case 1:
		l = []world.Fault{{At: 200_000, Kind: "cut", Hosts: n[1:2], To: []string{"workers"}, For: 5 * second}}
	case 2:
		l = []world.Fault{{At: 200_000, Kind: "state_refuse", Hosts: n[:1], For: 5 * second}}
	case 3:
		l = []world.Fault{{At: 200_000, Kind: "cut", Hosts: n[1:2], To: []string{"controllers"}, For: 5 * second}}
	case 4:
		l = []world.Fault{{At: 200_000, Kind: "freeze", Hosts: n[:1], For: 5 * second}}
	}
	for _, at := range []int64{0, 800_000, 2600_000} {
		l = append(l, world.Fault{At: at, Kind: "cancel_now", Count: 1})
	}
	return l
}
