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

// endpointLists holds the numbered endpoint lists of a process. An endpoint update refers to a list by its number and gets the
// list that the latest earlier event defined under that number.
type endpointLists struct {
	lists     [maxEndpointLists][]balancer.Endpoint
	isDefined [maxEndpointLists]bool
}

// define reads a list and stores it under its number, replacing any earlier list with that number.
func (l *endpointLists) define(r *recordReader) {
	numberOffset := r.offset
	number := int(r.uint8(fieldListNumber))
	if number >= maxEndpointLists {
		r.failAt(numberOffset, fieldListNumber, fmt.Sprintf("list number %d exceeds the maximum %d", number, maxEndpointLists-1))
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
	r.uint32(fieldListVersion) // not needed: updates arrive in order and without gaps
	numberOffset := r.offset
	number := r.uint8(fieldListNumber)
	update.Kind = decodeUpdateKind(r)
	update.Endpoints = nil
	if r.err != nil || update.Kind == balancer.UpdateFailed { // a failed call carries no list
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
