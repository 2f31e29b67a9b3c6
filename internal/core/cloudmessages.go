package core

import "github.com/zinclb/zinclb/internal/core/fleet"

// The cloud is called only by the leader, or by a peer for the leader. FencingToken is the fencing
// token of the term in which a call was made; a later term ignores its result.

// ListPage is the number of machines on a page of the cloud's list.
const ListPage = 500

// ListMachineTypes asks the cloud for the machine types; MachineTypesListed is the answer.
type ListMachineTypes struct{ FencingToken uint64 }

// MachineTypesListed is the cloud's list of machine types.
type MachineTypesListed struct {
	Types        []fleet.Type
	Err          error
	ViaPeer      string // the peer that made the call, "" for this controller
	FencingToken uint64
}

// ListMachines asks the cloud for all machines; MachinesListed is the answer.
type ListMachines struct {
	// Gap is the time between the requests for two pages, in microseconds.
	Gap          int64
	FencingToken uint64
}

// MachinesListed is the cloud's list of machines.
type MachinesListed struct {
	List         []CloudMachine
	Err          error
	ViaPeer      string
	FencingToken uint64
}

// CloudMachine is a machine as the cloud lists it.
type CloudMachine struct {
	Name   string
	Addr   string
	Type   string
	Zone   string
	Status string
	Spot   bool
	Age    int64
}

// ScaleOut rents machines; ScaledOut is the answer.
type ScaleOut struct {
	// Name identifies the request: the cloud executes it once, however often it is repeated.
	Name  string
	Type  string
	Zone  string
	Spot  bool
	Count int
	// NotAfter is the time of the monotonic clock after which the request must not be sent,
	// as another controller may lead from then on.
	NotAfter     int64
	FencingToken uint64
}

// ScaledOut is the result of a ScaleOut.
type ScaledOut struct {
	Request ScaleOut
	// Names are the names of the rented machines, possibly fewer than were requested.
	Names []string
	// Status is the status of the cloud's answer, 0 if there was none.
	Status int
}

// ScaleIn returns machines, and must not be sent after NotAfter; ScaledIn is the answer.
type ScaleIn struct {
	Names        []string
	NotAfter     int64
	FencingToken uint64
}

// ScaledIn is the result of a ScaleIn; OK is set if the machines were returned.
type ScaledIn struct {
	Names        []string
	OK           bool
	FencingToken uint64
}
