// Package discovery parses and writes the wire of the endpoint list: long polls over HTTP/1.1 for watch events. It works
// on bytes alone and opens no connections.
package discovery

import (
	"net"
	"slices"
	"strconv"

	"magpiebank/internal/admission"
	"magpiebank/internal/jsonvalue"
)

// AppendPollRequest appends the request for the events after the one with the index after; the server waits up to
// waitMS milliseconds for the first of them.
func AppendPollRequest(dst []byte, host string, after, waitMS int64) []byte {
	dst = strconv.AppendInt(append(dst, "GET /v2/stream?follow="...), after, 10)
	dst = strconv.AppendInt(append(dst, "&wait_ms="...), waitMS, 10)
	return append(append(append(dst, " HTTP/1.1\r\nHost: "...), host...), "\r\nAccept: application/json\r\n\r\n"...)
}

// WatchEvent is one change of the endpoint list, or the complete list.
type WatchEvent struct {
	Full      bool // Endpoints is the complete list
	Endpoints []admission.Endpoint
	Addresses []string // host:port of each of the endpoints
}

// EventReader reads the watch events of a response.
type EventReader struct {
	Zones []string // the names that a zone's number stands for
	Kinds []string // the names that an engine kind's number stands for

	// AcceptPartial has the reader report an event with malformed endpoints, without them. Otherwise the reader
	// stops before such an event, as a list that was damaged on its way is complete when it is asked for again.
	AcceptPartial bool
}

// ReadEvents calls handle for each event whose index is above after, in order, and returns the index of the last event
// that was handled. After a malformed event it stops, and the error is that of the JSON reader.
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
	for k := range response.List("updates", i, "endpoints", "servers") {
		endpoint, address, ok := r.readEndpoint(response, "updates", i, "endpoints", "servers", k)
		if ok {
			event.Endpoints, event.Addresses = append(event.Endpoints, endpoint), append(event.Addresses, address)
		}
	}
	event.Full = response.Bool("updates", i, "endpoints", "full")
	return event
}

// readEndpoint reads one endpoint of an event; ok tells whether all that it needs could be read.
func (r *EventReader) readEndpoint(response *jsonvalue.Value, path ...any) (endpoint admission.Endpoint, address string, ok bool) {
	at := func(field string) []any { return append(path[:len(path):len(path)], field) }
	endpoint = admission.Endpoint{
		Engine:    admission.EngineID(response.RequireText(at("id")...)),
		Zone:      slices.Index(r.Zones, response.Text(at("zone")...)),
		Kind:      slices.Index(r.Kinds, response.Text(at("kind")...)),
		Group:     int(response.Float(at("cell")...)),
		StartedAt: admission.Time(response.Float(at("started_ms")...)) * admission.Millisecond,
	}
	address = response.Text(at("addr")...)
	switch response.Text(at("state")...) {
	case "Ready":
		endpoint.State = admission.Live
	case "Terminating":
		endpoint.State = admission.Draining
	case "Gone":
		endpoint.State = admission.Gone
		return endpoint, address, endpoint.Engine != ""
	default:
		response.Fail("Ready, Terminating or Gone", at("state")...)
		return endpoint, address, false
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		response.Fail("host:port", at("addr")...)
	}
	return endpoint, address, endpoint.Engine != "" && response.Err() == nil
}
