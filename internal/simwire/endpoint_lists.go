package simwire

import (
	"fmt"

	"bramblestand/balancer"
)

const (
	maxEndpointLists  = 16
	endpointEntrySize = 21
)

// Endpoint states as the wire numbers them.
const (
	stateReady    = 0
	stateDraining = 1
	stateRemoved  = 3
)

// Kinds of endpoint update as the wire numbers them.
const (
	updateDelta  = 0
	updateFailed = 2
	updateCached = 3
	updateFull   = 4
)

// endpointLists holds the numbered lists of a process. An endpoint update names the list that was defined last under its
// number, in the order of events.
type endpointLists struct {
	lists     [maxEndpointLists][]balancer.Endpoint
	isDefined [maxEndpointLists]bool
}

// define reads a list under its number, in place of the one before.
func (l *endpointLists) define(r *recordReader) {
	numberOffset := r.offset
	number := int(r.uint8(fieldListNumber))
	if number >= maxEndpointLists {
		r.failAt(numberOffset, fieldListNumber, fmt.Sprintf("list number %d is over %d", number, maxEndpointLists-1))
	}
	countOffset := r.offset
	count := int(r.uint32(fieldEntries))
	if count*endpointEntrySize > r.remaining() {
		r.failAt(countOffset, fieldEntries, fmt.Sprintf("%d entries overrun the record", count))
	}
	if r.err != nil {
		return
	}
	list := l.lists[number][:0]
	for range count {
		list = append(list, decodeEndpoint(r))
	}
	l.lists[number], l.isDefined[number] = list, true
}

// decodeEndpoint reads one entry of a list.
func decodeEndpoint(r *recordReader) balancer.Endpoint {
	return balancer.Endpoint{
		ID:          r.uint32(fieldEndpoint),
		Zone:        r.uint8(fieldZone),
		MachineType: r.uint8(fieldMachineType),
		Pod:         r.uint16(fieldPod),
		State:       decodeState(r),
		Weight:      r.float32(fieldWeight),
		StartTime:   r.instant(fieldStartTime),
	}
}

func decodeState(r *recordReader) balancer.EndpointState {
	offset := r.offset
	code := r.uint8(fieldState)
	switch code {
	case stateReady:
		return balancer.Ready
	case stateDraining:
		return balancer.Draining
	case stateRemoved:
		return balancer.Removed
	}
	r.failAt(offset, fieldState, fmt.Sprintf("unknown endpoint status %d", code))
	return balancer.Ready
}

// decodeUpdate reads an endpoint update and resolves its list.
func (l *endpointLists) decodeUpdate(r *recordReader, update *EndpointUpdate) {
	r.uint32(fieldListVersion) // updates come in order, with none left out
	numberOffset := r.offset
	number := r.uint8(fieldListNumber)
	update.Kind = decodeUpdateKind(r)
	update.Endpoints = nil
	if r.err != nil || update.Kind == balancer.UpdateFailed { // a failed call comes without a list
		return
	}
	if number >= maxEndpointLists || !l.isDefined[number] {
		r.failAt(numberOffset, fieldListNumber, fmt.Sprintf("list number %d has not been defined", number))
		return
	}
	update.Endpoints = l.lists[number]
}

func decodeUpdateKind(r *recordReader) balancer.UpdateKind {
	offset := r.offset
	code := r.uint8(fieldUpdateKind)
	switch code {
	case updateDelta:
		return balancer.UpdateDelta
	case updateFull:
		return balancer.UpdateFull
	case updateCached:
		return balancer.UpdateCached
	case updateFailed:
		return balancer.UpdateFailed
	}
	r.failAt(offset, fieldUpdateKind, fmt.Sprintf("unknown kind %d", code))
	return balancer.UpdateFailed
}
