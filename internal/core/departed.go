package core

import "github.com/zinclb/zinclb/internal/core/fleet"

// departedRetention is how long a machine's departure is remembered: copies of heartbeats
// come well over a lease late.
const departedRetention = 900 * second

// departedMachines are the machines that a leader has forgotten. Copies of their heartbeats
// may still come, and would bring back a machine that is not there.
type departedMachines struct {
	byName    map[string]departure
	expiredAt int64
}

// departure is the newest heartbeat of a machine that is forgotten.
type departure struct {
	epoch, seq uint64
	// returned: the cloud has confirmed the machine's release, so that it is gone for
	// certain.
	returned bool
	at       int64
}

func newDepartedMachines() departedMachines {
	return departedMachines{byName: map[string]departure{}}
}

// noteReturned remembers a machine whose release the cloud has confirmed.
func (d *departedMachines) noteReturned(name string, now int64) {
	d.note(name, departure{returned: true, at: now})
}

// noteRemoved remembers a machine that the leader knows no longer.
func (d *departedMachines) noteRemoved(machine *fleet.Machine, now int64) {
	d.note(machine.Name, departure{epoch: machine.Epoch, seq: machine.Seq, at: now})
}

// note remembers a departure beside what is known of earlier ones of the machine, and
// forgets those of long ago.
func (d *departedMachines) note(name string, newest departure) {
	known := d.byName[name]
	newest.epoch = max(known.epoch, newest.epoch)
	newest.seq = max(known.seq, newest.seq)
	newest.returned = known.returned || newest.returned
	d.byName[name] = newest
	if now := newest.at; now-d.expiredAt > departedRetention/8 {
		d.expire(now)
	}
}

func (d *departedMachines) expire(now int64) {
	d.expiredAt = now
	for name, departure := range d.byName {
		if now-departure.at > departedRetention {
			delete(d.byName, name)
		}
	}
}

// wasReturned says whether a machine is gone for certain.
func (d *departedMachines) wasReturned(name string) bool { return d.byName[name].returned }
