// Package discovery encodes and decodes the messages of the discovery service: HTTP/1.1 long polls, which the service answers
// with changes of the endpoint list. It works on byte slices and opens no connections.
package discovery

import (
	"net"
	"slices"
	"strconv"

	"magpiebank/internal/admission"
	"magpiebank/internal/jsonvalue"
)

// AppendPollRequest appends a request for the events whose index is above after. If there are none, the server waits up to
// waitMS milliseconds for the first one.
func AppendPollRequest(dst []byte, host string, after, waitMS int64) []byte {
	dst = strconv.AppendInt(append(dst, "GET /v2/stream?follow="...), after, 10)
	dst = strconv.AppendInt(append(dst, "&wait_ms="...), waitMS, 10)
	return append(append(append(dst, " HTTP/1.1\r\nHost: "...), host...), "\r\nAccept: application/json\r\n\r\n"...)
}

// WatchEvent is one change of the endpoint list, or the complete list.
type WatchEvent struct {
	Full      bool // Endpoints is the complete list, not only the changed endpoints
	Endpoints []admission.Endpoint
	Addresses []string // host:port of each endpoint, in the order of Endpoints
}

// EventReader reads the watch events of a response.
type EventReader struct {
	Zones []string // zone names; an endpoint's zone is the index of its name
	Kinds []string // names of engine kinds; an endpoint's kind is the index of its name

	// AcceptPartial makes the reader handle an event that has a malformed endpoint, without that endpoint and without the
	// endpoints after it, except those that are gone. Otherwise the reader stops before such an event, because a list that was
	// damaged in transit is intact in the next response.
	AcceptPartial bool
}

// ReadEvents calls handle for each event whose index is above after, in order, and returns the index of the last event that it
// handled. It stops at a malformed event, or after it with AcceptPartial, and response.Err returns the error. If the response
// has a higher index than its last event, that is an error, too; with AcceptPartial, ReadEvents returns that index.
func (r *EventReader) ReadEvents(response *jsonvalue.Value, after int64, handle func(WatchEvent)) int64 {
	for i := range response.List("updates") {
		index := int64(response.Float("updates", i, "index"))
		if index <= after {
			continue
		}
		event := r.readEvent(response, i)
		malformed := response.Err() != nil
		if malformed && !r.AcceptPartial {
			return after
		}
		handle(event)
		after = index
		if malformed {
			return after
		}
	}
	last := int64(response.Float("index"))
	if last > after {
		response.Fail("the events up to it", "index")
		if r.AcceptPartial {
			return last
		}
	}
	return after
}

func (r *EventReader) readEvent(response *jsonvalue.Value, i int) WatchEvent {
	var event WatchEvent
	for j := range response.List("updates", i, "endpoints", "servers") {
		endpoint, address, ok := r.readEndpoint(response, "updates", i, "endpoints", "servers", j)
		if ok {
			event.Endpoints, event.Addresses = append(event.Endpoints, endpoint), append(event.Addresses, address)
		}
	}
	event.Full = response.Bool("updates", i, "endpoints", "full")
	return event
}

// readEndpoint reads one endpoint of an event. ok reports whether the endpoint can be used. An endpoint that is gone needs only
// an engine id. Any other endpoint must be complete, and the response must have no error up to there.
func (r *EventReader) readEndpoint(response *jsonvalue.Value, path ...any) (endpoint admission.Endpoint, address string, ok bool) {
	fieldPath := func(field string) []any { return append(path[:len(path):len(path)], field) }
	endpoint = admission.Endpoint{
		Engine:    admission.EngineID(response.RequireText(fieldPath("id")...)),
		Zone:      slices.Index(r.Zones, response.Text(fieldPath("zone")...)),
		Kind:      slices.Index(r.Kinds, response.Text(fieldPath("kind")...)),
		Group:     int(response.Float(fieldPath("cell")...)),
		StartedAt: admission.Time(response.Float(fieldPath("started_ms")...)) * admission.Millisecond,
	}
	address = response.Text(fieldPath("addr")...)
	switch response.Text(fieldPath("state")...) {
	case "Ready":
		endpoint.State = admission.Live
	case "Terminating":
		endpoint.State = admission.Draining
	case "Gone":
		endpoint.State = admission.Gone
		return endpoint, address, endpoint.Engine != ""
	default:
		response.Fail("Ready, Terminating or Gone", fieldPath("state")...)
		return endpoint, address, false
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		response.Fail("host:port", fieldPath("addr")...)
	}
	return endpoint, address, endpoint.Engine != "" && response.Err() == nil
}
