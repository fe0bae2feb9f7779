// Package discovery parses and writes the engine list's wire, polls over HTTP/1.1, on bytes alone.
package discovery

import (
	"bytes"
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/jsonvalue"
)

// AppendPollRequest appends the poll for events after one that is held.
func AppendPollRequest(dst []byte, host string, follow, waitMS int64) []byte {
	dst = strconv.AppendInt(append(dst, "GET /v2/stream?follow="...), follow, 10)
	dst = strconv.AppendInt(append(dst, "&wait_ms="...), waitMS, 10)
	return append(append(append(dst, " HTTP/1.1\r\nHost: "...), host...), "\r\nAccept: application/json\r\n\r\n"...)
}

// ErrMalformedResponse is what is no answer in HTTP/1.1 with a body.
var ErrMalformedResponse = errors.New("malformed answer")

// MaxResponseBytes is the longest answer that Answer takes: some ten thousand entries. Its head is far shorter.
const (
	MaxResponseBytes = 1 << 21
	maxHeadBytes     = 1 << 13
)

// ParseResponse reads the answer at the start of b and tells how long it is; 0 where b does not hold all of it. last:
// the connection carries no further one.
func ParseResponse(b []byte) (status int, body []byte, length int, last bool, err error) {
	at := bytes.Index(b, []byte("\r\n\r\n"))
	if at < 0 && len(b) <= maxHeadBytes {
		return 0, nil, 0, false, nil
	}
	if at < 0 || at > maxHeadBytes {
		return 0, nil, 0, false, ErrMalformedResponse
	}
	lines := strings.Split(string(b[:at]), "\r\n")
	protocol, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	if status, err = strconv.Atoi(code); err != nil || !strings.HasPrefix(protocol, "HTTP/1.") {
		return 0, nil, 0, false, ErrMalformedResponse
	}
	at += 4
	size, chunked := -1, false
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if size, err = strconv.Atoi(value); err != nil || size < 0 || size > MaxResponseBytes {
				return 0, nil, 0, false, ErrMalformedResponse
			}
		case "transfer-encoding":
			chunked = strings.EqualFold(value, "chunked")
		case "connection":
			last = strings.EqualFold(value, "close")
		}
	}
	switch {
	case chunked:
		body, length, err = readChunks(b, at)
	case status == 204 || status == 304:
		length = at
	case size < 0:
		err = ErrMalformedResponse
	case at+size <= len(b):
		body, length = b[at:at+size], at+size
	}
	return status, body, length, last, err
}

// readChunks reads a body in chunks that starts at a place, and tells where the next answer begins.
func readChunks(b []byte, at int) (body []byte, next int, err error) {
	for {
		i := bytes.Index(b[at:], []byte("\r\n"))
		if i < 0 {
			return nil, 0, nil
		}
		digits, _, _ := bytes.Cut(b[at:at+i], []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil || size > MaxResponseBytes {
			return nil, 0, ErrMalformedResponse
		}
		at += i + 2
		if size == 0 {
			i := bytes.Index(b[at-2:], []byte("\r\n\r\n")) // trailers, if any, end here
			if i < 0 {
				return nil, 0, nil
			}
			return body, at + i + 2, nil
		}
		if at+int(size)+2 > len(b) {
			return nil, 0, nil
		}
		body = append(body, b[at:at+int(size)]...)
		at += int(size) + 2
	}
}

// ReadWatchEvents calls told for each event after one that is held, in turn, with the addresses of the listed engines
// beside them, and returns the number of the last. It stops before an event that can't be read, as a list that
// broke off or was spoilt on its way is whole when it is asked for again; pass: that event is told with the
// entries that can be read, and it stops behind it.
func ReadWatchEvents(s *jsonvalue.Value, held int64, pass bool, zones, kinds []string,
	told func(whole bool, list []admission.Listing, addresses []string)) int64 {
	for i := range s.List("updates") {
		index := int64(s.Float("updates", i, "index"))
		if index <= held {
			continue
		}
		var list []admission.Listing
		var addresses []string
		for k := range s.List("updates", i, "endpoints", "servers") {
			if l, address, ok := readEndpoint(s, zones, kinds, "updates", i, "endpoints", "servers", k); ok {
				list, addresses = append(list, l), append(addresses, address)
			}
		}
		whole := s.Bool("updates", i, "endpoints", "full")
		if s.Err() != nil && !pass {
			return held
		}
		told(whole, list, addresses)
		if held = index; s.Err() != nil {
			return held
		}
	}
	if last := int64(s.Float("index")); last > held {
		s.Fail("the events up to it", "index")
		if pass {
			held = last
		}
	}
	return held
}

// readEndpoint reads one entry of an event; ok tells whether all that it needs could be read.
func readEndpoint(s *jsonvalue.Value, zones, kinds []string, at ...any) (l admission.Listing, address string, ok bool) {
	entry := func(field string) []any { return append(at[:len(at):len(at)], field) }
	l = admission.Listing{
		Engine: admission.EngineID(s.RequireText(entry("id")...)),
		Zone:   slices.Index(zones, s.Text(entry("zone")...)),
		Kind:   slices.Index(kinds, s.Text(entry("kind")...)),
		Group:  int(s.Float(entry("cell")...)),
		Since:  admission.Time(s.Float(entry("started_ms")...)) * admission.Millisecond,
	}
	address = s.Text(entry("addr")...)
	switch s.Text(entry("state")...) {
	case "Ready":
		l.State = admission.Live
	case "Terminating":
		l.State = admission.Draining
	case "Gone":
		l.State = admission.Gone
		return l, address, l.Engine != ""
	default:
		s.Fail("Ready, Terminating or Gone", entry("state")...)
		return l, address, false
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		s.Fail("host:port", entry("addr")...)
	}
	return l, address, l.Engine != "" && s.Err() == nil
}
