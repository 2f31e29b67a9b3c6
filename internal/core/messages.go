package core

import (
	"github.com/zinclb/zinclb/internal/core/replica"
)

// A message to the core and the effect that brings it about stand next to each other, in a
// file for each of those that the core deals with: the state service (statemessages.go),
// users and operators (requestmessages.go, sweepmessages.go, operatorview.go), the other
// controllers (peermessages.go, cloudviapeer.go), workers (workermessages.go) and the
// cloud (cloudmessages.go). Messages that have a RequestID are answered by a Reply with the
// same one.
//
// Times are of the steady clock in microseconds unless said otherwise. SentAt is when what
// a message answers was sent: what it says was true then or later.

// Tick comes many times a second, from the process that runs the core.
type Tick struct {
	// TimeOfDay is in microseconds since 1970, 0 if it is not known.
	TimeOfDay int64
}

// Quit ends the process: what is stored needs a newer program.
type Quit struct{ Reason string }

// Reply answers a request. Beside Status, what is set depends on the request.
type Reply struct {
	RequestID    uint64
	Status       ReplyCode
	RetryAfter   int // seconds
	Error        string
	Job          *JobState
	Sweep        *SweepState
	Runs         *SweepPage
	PeerStatus   *PeerStatus
	Cloud        *CloudResult
	Decommission *DecommissionState
	Ops          *OperatorView
	View         *replica.View
	// FencingToken and Commands answer a heartbeat, Leader a misdirected one.
	FencingToken uint64
	Commands     []Command
	Leader       string
}

// ReplyCode is how a request ended. Its numbers are those of HTTP, in which users and
// workers get them; 0 stands for a reply that does not exist or did not come.
type ReplyCode int

// The codes of replies.
const (
	ReplyOK      ReplyCode = 200
	ReplyCreated ReplyCode = 201
	// ReplyInvalid: the request is malformed or too large.
	ReplyInvalid  ReplyCode = 400
	ReplyNotFound ReplyCode = 404
	// ReplyConflict: what is stored does not allow it.
	ReplyConflict ReplyCode = 409
	// ReplyMisdirected: another controller handles such requests; see Reply.Leader.
	ReplyMisdirected ReplyCode = 421
	// ReplyUnacceptable: the request is well-formed and can never be fulfilled.
	ReplyUnacceptable ReplyCode = 422
	// ReplyUnavailable: it may be fulfilled later.
	ReplyUnavailable ReplyCode = 503
)
