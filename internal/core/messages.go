package core

import (
	"github.com/zinclb/zinclb/internal/core/replica"
)

// A message to the core and the effect that causes it are declared next to each other, in one
// file for each counterpart of the core: the state service (statemessages.go), users and
// operators (requestmessages.go, sweepmessages.go, operatorview.go), the other controllers
// (peermessages.go, cloudviapeer.go), workers (workermessages.go) and the cloud
// (cloudmessages.go). A message that has a RequestID is answered by a Reply with the same
// RequestID.
//
// Times are of the monotonic clock in microseconds unless stated otherwise. SentAt is the time at
// which the request that a message answers was sent; the content of the message was true at that
// time or later.

// Tick is sent many times a second by the process that runs the core.
type Tick struct {
	// TimeOfDay is in microseconds since 1970, 0 if it is not known.
	TimeOfDay int64
}

// Quit ends the process because the stored state needs a newer program.
type Quit struct{ Reason string }

// Reply answers a request. Which fields besides Status are set depends on the request.
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
	// FencingToken and Commands answer a heartbeat, Leader answers a misdirected one.
	FencingToken uint64
	Commands     []Command
	Leader       string
}

// ReplyCode is the result of a request. The values are HTTP status codes, which users and
// workers receive; 0 stands for a reply that does not exist or did not arrive.
type ReplyCode int

// The reply codes.
const (
	ReplyOK      ReplyCode = 200
	ReplyCreated ReplyCode = 201
	// ReplyInvalid means that the request is malformed or too large.
	ReplyInvalid  ReplyCode = 400
	ReplyNotFound ReplyCode = 404
	// ReplyConflict means that the stored state does not allow the request.
	ReplyConflict ReplyCode = 409
	// ReplyMisdirected means that another controller handles such requests; see
	// Reply.Leader.
	ReplyMisdirected ReplyCode = 421
	// ReplyUnacceptable means that the request is well-formed but can never be fulfilled.
	ReplyUnacceptable ReplyCode = 422
	// ReplyUnavailable means that the request may be fulfilled later.
	ReplyUnavailable ReplyCode = 503
)
