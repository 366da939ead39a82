package simwire

import "fmt"

// EventCode identifies a kind of event. Each record of a batch is one event. Events and actions have separate code spaces.
type EventCode uint8

// The kinds of event.
const (
	EventStart              EventCode = 16 // an instance starts
	EventEndpointUpdate     EventCode = 17 // discovery's list changed, or a call to discovery failed
	EventRequest            EventCode = 18 // a client's request arrived
	EventResponseStarted    EventCode = 19 // a streamed response began
	EventAttemptFinished    EventCode = 20 // an attempt ended
	EventClientDisconnected EventCode = 21 // the client disconnected, or its final answer is overdue
	EventTimerFired         EventCode = 22 // a timer fired
	EventLoadProbeResult    EventCode = 23 // a load probe ended
	EventGossip             EventCode = 24 // a message from another instance arrived
	EventStop               EventCode = 25 // the instance was killed
	EventEndpointList       EventCode = 26 // defines a numbered endpoint list for the whole process
	EventInstance           EventCode = 27 // names the instance that the following events are for
)

// ActionCode identifies a kind of action. Each record of a reply is one action.
type ActionCode uint8

// The kinds of action, each with its name on the wire.
const (
	ActionStartAttempt         ActionCode = 80 // deliver
	ActionReject               ActionCode = 81 // decline
	ActionFail                 ActionCode = 82 // fail
	ActionCancelAttempt        ActionCode = 83 // revoke
	ActionSetTimer             ActionCode = 84 // arm
	ActionSendLoadProbe        ActionCode = 85 // sound_out
	ActionCloseIdleConnections ActionCode = 86 // let_go
	ActionSendGossip           ActionCode = 87 // write_peer
	ActionLog                  ActionCode = 88 // trace
	ActionReportFault          ActionCode = 89 // exception
	ActionWatchEndpoints       ActionCode = 90 // track
	ActionListEndpoints        ActionCode = 91 // list_all
	ActionSelectInstance       ActionCode = 92 // as
)

// eventNames holds the names of events on the wire.
var eventNames = [...]string{
	EventStart:              "begin",
	EventEndpointUpdate:     "membership",
	EventRequest:            "request",
	EventResponseStarted:    "headers",
	EventAttemptFinished:    "answer",
	EventClientDisconnected: "cancelled_by_client",
	EventTimerFired:         "timeout_fired",
	EventLoadProbeResult:    "health_result",
	EventGossip:             "whisper",
	EventStop:               "stop",
	EventEndpointList:       "manifest",
	EventInstance:           "instance",
}

// Known reports whether this version decodes events with this code.
func (c EventCode) Known() bool {
	return int(c) < len(eventNames) && eventNames[c] != ""
}

// String returns the event's name on the wire, or its number if the code is unknown.
func (c EventCode) String() string {
	if c.Known() {
		return eventNames[c]
	}
	return fmt.Sprintf("event %d", uint8(c))
}

// Names of an event's fields on the wire.
const (
	fieldInstance      = "i"
	fieldSeed          = "salt"
	fieldSettings      = "config"
	fieldListVersion   = "gen"
	fieldListNumber    = "roster-id"
	fieldUpdateKind    = "kind"
	fieldRequestID     = "handle"
	fieldKey           = "affinity"
	fieldDeadline      = "deadline"
	fieldCostHint      = "cost-guess"
	fieldRequestFlags  = "opts"
	fieldTenant        = "account"
	fieldClass         = "grade"
	fieldAttempt       = "send-no"
	fieldEndpoint      = "endpoint"
	fieldStatus        = "status"
	fieldLatency       = "latency"
	fieldRequestDone   = "settled"
	fieldLoadReport    = "stats"
	fieldTimerToken    = "tag"
	fieldGossipSender  = "src"
	fieldGossipMessage = "payload"
)

// Names of the fields of an entry in an endpoint list.
const (
	fieldEntries     = "nodes-list"
	fieldZone        = "failure-domain"
	fieldMachineType = "sku"
	fieldPod         = "cluster"
	fieldState       = "status"
	fieldWeight      = "share"
	fieldStartTime   = "start-time"
)

// Bits of fieldRequestFlags.
const (
	flagHasCostHint = 1 << iota
	flagIsRetry
	flagIsWrite
)
