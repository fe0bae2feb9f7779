package discovery

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// ErrMalformedResponse is returned for what is no HTTP/1.1 response with a body.
var ErrMalformedResponse = errors.New("malformed answer")

// MaxResponseBytes is the longest body that is taken: some ten thousand endpoints.
const MaxResponseBytes = 1 << 21

// maxHeaderBytes bounds the status line and the header fields.
const maxHeaderBytes = 1 << 13

// The statuses of responses that have no body.
const (
	statusNoContent   = 204
	statusNotModified = 304
)

const (
	lineEnd   = "\r\n"
	headerEnd = "\r\n\r\n"
)

// Response is an HTTP response.
type Response struct {
	Status           int
	Body             []byte // it may lie in the bytes that were parsed
	Length           int    // bytes that the response takes; 0: it has not arrived completely
	ClosesConnection bool   // the server closes the connection after it
}

// ParseResponse parses the response at the start of b. The error is ErrMalformedResponse.
func ParseResponse(b []byte) (Response, error) {
	end := bytes.Index(b, []byte(headerEnd))
	if end < 0 && len(b) <= maxHeaderBytes {
		return Response{}, nil
	}
	if end < 0 || end > maxHeaderBytes {
		return Response{}, ErrMalformedResponse
	}
	header, err := parseHeader(string(b[:end]))
	if err != nil {
		return Response{}, err
	}
	response := Response{Status: header.status, ClosesConnection: header.last}
	bodyStart := end + len(headerEnd)
	switch {
	case header.chunked:
		response.Body, response.Length, err = parseChunks(b, bodyStart)
	case header.status == statusNoContent || header.status == statusNotModified:
		response.Length = bodyStart
	case header.bodyBytes < 0:
		err = ErrMalformedResponse
	case bodyStart+header.bodyBytes <= len(b):
		response.Length = bodyStart + header.bodyBytes
		response.Body = b[bodyStart:response.Length]
	}
	return response, err
}

type responseHeader struct {
	status    int
	bodyBytes int // -1: not stated
	chunked   bool
	last      bool
}

func parseHeader(text string) (responseHeader, error) {
	lines := strings.Split(text, lineEnd)
	protocol, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(protocol, "HTTP/1.") {
		return responseHeader{}, ErrMalformedResponse
	}
	header := responseHeader{status: status, bodyBytes: -1}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			header.bodyBytes, err = strconv.Atoi(value)
			if err != nil || header.bodyBytes < 0 || header.bodyBytes > MaxResponseBytes {
				return responseHeader{}, ErrMalformedResponse
			}
		case "transfer-encoding":
			header.chunked = strings.EqualFold(value, "chunked")
		case "connection":
			header.last = strings.EqualFold(value, "close")
		}
	}
	return header, nil
}

// parseChunks parses a chunked body that starts at offset, and returns the offset behind it, 0 if the body has not
// arrived completely.
func parseChunks(b []byte, offset int) (body []byte, end int, err error) {
	for {
		sizeLength := bytes.Index(b[offset:], []byte(lineEnd))
		if sizeLength < 0 {
			return nil, 0, nil
		}
		digits, _, _ := bytes.Cut(b[offset:offset+sizeLength], []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil || size > MaxResponseBytes {
			return nil, 0, ErrMalformedResponse
		}
		offset += sizeLength + len(lineEnd)
		if size == 0 {
			// Trailers, if there are any, end with an empty line; without them it is the line end just read and the next.
			trailerLength := bytes.Index(b[offset-len(lineEnd):], []byte(headerEnd))
			if trailerLength < 0 {
				return nil, 0, nil
			}
			return body, offset - len(lineEnd) + trailerLength + len(headerEnd), nil
		}
		chunkEnd := offset + int(size)
		if chunkEnd+len(lineEnd) > len(b) {
			return nil, 0, nil
		}
		body = append(body, b[offset:chunkEnd]...)
		offset = chunkEnd + len(lineEnd)
	}
}
