package discovery

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// ErrMalformedResponse is returned for bytes that are not a valid HTTP response, and for a response whose header or body is
// too long or which doesn't state the length of its body.
var ErrMalformedResponse = errors.New("malformed answer")

// MaxResponseBytes is the maximum length of a body with a stated length, and of each chunk of a chunked body. About ten
// thousand endpoints fit.
const MaxResponseBytes = 1 << 21

// maxHeaderBytes is the maximum length of the status line and the header fields together.
const maxHeaderBytes = 1 << 13

// The status codes of responses that have no body.
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
	Body             []byte // may point into the bytes that were parsed
	Length           int    // length of the whole response in bytes; 0: it has not arrived completely
	ClosesConnection bool   // the server closes the connection after this response
}

// ParseResponse parses the response at the start of b. Any error is ErrMalformedResponse.
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
	response := Response{Status: header.status, ClosesConnection: header.closesConnection}
	bodyStart := end + len(headerEnd)
	switch {
	case header.chunked:
		response.Body, response.Length, err = parseChunks(b, bodyStart)
	case header.status == statusNoContent || header.status == statusNotModified:
		response.Length = bodyStart
	case header.contentLength < 0:
		err = ErrMalformedResponse
	case bodyStart+header.contentLength <= len(b):
		response.Length = bodyStart + header.contentLength
		response.Body = b[bodyStart:response.Length]
	}
	return response, err
}

type responseHeader struct {
	status           int
	contentLength    int // -1: the header doesn't state it
	chunked          bool
	closesConnection bool
}

func parseHeader(text string) (responseHeader, error) {
	lines := strings.Split(text, lineEnd)
	protocol, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(protocol, "HTTP/1.") {
		return responseHeader{}, ErrMalformedResponse
	}
	header := responseHeader{status: status, contentLength: -1}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			header.contentLength, err = strconv.Atoi(value)
			if err != nil || header.contentLength < 0 || header.contentLength > MaxResponseBytes {
				return responseHeader{}, ErrMalformedResponse
			}
		case "transfer-encoding":
			header.chunked = strings.EqualFold(value, "chunked")
		case "connection":
			header.closesConnection = strings.EqualFold(value, "close")
		}
	}
	return header, nil
}

// parseChunks parses a chunked body that starts at offset. It returns the body and the offset at which it ends, or 0 if the
// body has not arrived completely.
func parseChunks(b []byte, offset int) (body []byte, end int, err error) {
	for {
		sizeLineLength := bytes.Index(b[offset:], []byte(lineEnd))
		if sizeLineLength < 0 {
			return nil, 0, nil
		}
		digits, _, _ := bytes.Cut(b[offset:offset+sizeLineLength], []byte{';'})
		size, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil || size > MaxResponseBytes {
			return nil, 0, ErrMalformedResponse
		}
		offset += sizeLineLength + len(lineEnd)
		if size == 0 {
			// The body ends with an empty line after the trailers. Without trailers, the end of the size line is the first half
			// of headerEnd, so the search begins there.
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
