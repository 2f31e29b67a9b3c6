package core

import "github.com/zinclb/zinclb/internal/core/fleet"

// Calls to the cloud are the leader's. FencingToken is that of the leadership in which a call
// was made; a later one takes no result of it.

// ListPage is how many machines a page of the cloud's list holds.
const ListPage = 500

// ListMachineTypes asks the cloud for the machine types; MachineTypesListed answers it.
type ListMachineTypes struct{ FencingToken uint64 }

// MachineTypesListed is the cloud's list of machine types.
type MachineTypesListed struct {
	Types        []fleet.Type
	Err          error
	ViaPeer      string // the peer that has made the call, "" for this controller
	FencingToken uint64
}

// ListMachines asks the cloud for all machines; MachinesListed answers it.
type ListMachines struct {
	// Gap is the time between two pages.
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

// ScaleOut rents machines; ScaledOut answers it.
type ScaleOut struct {
	// Name is the request's: the cloud executes it once, however often it is repeated.
	Name  string
	Type  string
	Zone  string
	Spot  bool
	Count int
	// NotAfter is the time of the steady clock after which it must not go out:
	// another controller may lead from then on.
	NotAfter     int64
	FencingToken uint64
}

// ScaledOut is how a ScaleOut ended.
type ScaledOut struct {
	Request ScaleOut
	// Names are the machines that were rented, perhaps fewer than were asked for.
	Names []string
	// Status is that of the cloud's answer, 0 for none.
	Status int
}

// ScaleIn returns machines, and must not go out after NotAfter; ScaledIn answers it.
type ScaleIn struct {
	Names        []string
	NotAfter     int64
	FencingToken uint64
}

// ScaledIn reports whether machines were returned.
type ScaledIn struct {
	Names        []string
	OK           bool
	FencingToken uint64
}
