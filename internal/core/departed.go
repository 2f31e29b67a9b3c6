package core

import "github.com/zinclb/zinclb/internal/core/fleet"

// departedRetention is the time for which a departed machine is remembered. Copies of
// heartbeats can be delayed by much more than the duration of a lease.
const departedRetention = 900 * second

// departedMachines records the machines that a leader has removed from the fleet. Late copies
// of their heartbeats would otherwise add a machine again that no longer exists.
type departedMachines struct {
	byName    map[string]departure
	expiredAt int64 // time at which expired departures were last deleted
}

// departure holds the epoch and sequence number of the last heartbeat of a removed machine.
type departure struct {
	epoch, seq uint64
	// returned is set if the machine is certainly gone, because the cloud has confirmed its
	// return or its list proves it.
	returned bool
	at       int64
}

func newDepartedMachines() departedMachines {
	return departedMachines{byName: map[string]departure{}}
}

// recordReturned records a machine that is certainly gone, because the cloud has confirmed its
// return or its list proves it.
func (d *departedMachines) recordReturned(name string, now int64) {
	d.record(name, departure{returned: true, at: now})
}

// recordRemoved records a machine that the leader has removed from the fleet.
func (d *departedMachines) recordRemoved(machine *fleet.Machine, now int64) {
	d.record(machine.Name, departure{epoch: machine.Epoch, seq: machine.Seq, at: now})
}

// record merges a departure with earlier ones of the same machine. It deletes expired
// departures from time to time.
func (d *departedMachines) record(name string, newest departure) {
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

// wasReturned reports whether a machine is certainly gone.
func (d *departedMachines) wasReturned(name string) bool { return d.byName[name].returned }
