package simwire

import (
	"fmt"
)

// Code numbers an event or an action; the two have separate code spaces.
type Code uint8

// Codes of events.
const (
	EventStart              Code = 16
	EventEndpointUpdate     Code = 17
	EventRequest            Code = 18
	EventResponseStarted    Code = 19
	EventAttemptFinished    Code = 20
	EventClientDisconnected Code = 21
	EventTimerFired         Code = 22
	EventLoadProbeResult    Code = 23
	EventGossip             Code = 24
	EventStop               Code = 25
	EventEndpointList       Code = 26
	EventInstance           Code = 27
)

// Codes of actions.
const (
	ActionStartAttempt         Code = 80
	ActionReject               Code = 81
	ActionFail                 Code = 82
	ActionCancelAttempt        Code = 83
	ActionSetTimer             Code = 84
	ActionSendLoadProbe        Code = 85
	ActionCloseIdleConnections Code = 86
	ActionSendGossip           Code = 87
	ActionLog                  Code = 88
	ActionReportFault          Code = 89
	ActionWatchEndpoints       Code = 90
	ActionListEndpoints        Code = 91
	ActionSelectInstance       Code = 92
)

var eventNames = map[Code]string{
	EventStart: "begin", EventEndpointUpdate: "membership", EventRequest: "request", EventResponseStarted: "headers",
	EventAttemptFinished: "answer", EventClientDisconnected: "cancelled_by_client", EventTimerFired: "timeout_fired",
	EventLoadProbeResult: "health_result", EventGossip: "whisper", EventStop: "stop", EventEndpointList: "manifest",
	EventInstance: "instance",
}

// String returns the event's name on the wire.
func (c Code) String() string {
	if name, ok := eventNames[c]; ok {
		return name
	}
	return fmt.Sprintf("event %d", uint8(c))
}
