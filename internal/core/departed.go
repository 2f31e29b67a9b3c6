package core

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

// note remembers a machine's departure, and forgets those of long ago.
func (d *departedMachines) note(name string, newest Heartbeat, returned bool, now int64) {
	known := d.byName[name]
	d.byName[name] = departure{
		epoch:    max(known.epoch, newest.Epoch),
		seq:      max(known.seq, newest.Seq),
		returned: known.returned || returned,
		at:       now,
	}
	if now-d.expiredAt > departedRetention/8 {
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
