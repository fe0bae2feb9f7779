package discovery

import (
	"fmt"
	"testing"

	"magpiebank/internal/jsonvalue"
)

func ExampleAppendPollRequest() {
	fmt.Printf("%q\n", AppendPollRequest(nil, "127.0.0.1:4222", 41, 1000))
	// Output: "GET /v2/stream?follow=41&wait_ms=1000 HTTP/1.1\r\nHost: 127.0.0.1:4222\r\nAccept: application/json\r\n\r\n"
}

func ExampleParseResponse() {
	for _, b := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhellonext",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nConnection: close\r\n\r\n3\r\nhel\r\n2;x=1\r\nlo\r\n0\r\n\r\nnext",
		"HTTP/1.1 204 No Content\r\n\r\nnext",
		"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nhello",
		"SIP/2.0 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		r, err := ParseResponse([]byte(b))
		fmt.Printf("%d %q of %d, %d more, last %v, %v\n", r.Status, r.Body, r.Length, len(b)-r.Length, r.ClosesConnection, err)
	}
	// Output:
	// 200 "hello" of 43, 4 more, last false, <nil>
	// 200 "hello" of 90, 4 more, last true, <nil>
	// 204 "" of 27, 4 more, last false, <nil>
	// 200 "" of 0, 44 more, last false, <nil>
	// 200 "" of 0, 53 more, last false, <nil>
	// 0 "" of 0, 27 more, last false, <nil>
	// 0 "" of 0, 39 more, last false, malformed answer
	// 200 "" of 0, 24 more, last false, malformed answer
	// 0 "" of 0, 18 more, last false, malformed answer
	// 200 "" of 0, 51 more, last false, malformed answer
}

func ExampleEventReader_ReadEvents() {
	text := []byte(`{"index":9,"updates":[
	 {"index":7,"endpoints":{"full":true,"servers":[{"id":"old","state":"Ready"}]}},
	 {"index":8,"endpoints":{"full":true,"servers":[
	  {"id":"s-1","addr":"127.0.0.2:5050","zone":"east","kind":"std","cell":2,"state":"Ready","started_ms":0},
	  {"id":"s-2","addr":"127.0.0.3:5050","zone":"west","kind":"new","cell":3,"state":"Terminating","started_ms":5}]}},
	 {"index":9,"endpoints":{"full":false,"servers":[{"id":"s-3","state":"Lost"},{"id":"s-1","state":"Gone"}]}}]}`)
	response, _ := jsonvalue.Parse("events", text)
	show := func(event WatchEvent) { fmt.Println(event.Full, event.Endpoints, event.Addresses) }
	reader := EventReader{Zones: []string{"west", "east"}, Kinds: []string{"std"}}
	last := reader.ReadEvents(response, 7, show)
	fmt.Println(last, response.Err()) // 8, because the last event is malformed and must be requested again
	response, _ = jsonvalue.Parse("events", text)
	reader.AcceptPartial = true
	fmt.Println(reader.ReadEvents(response, last, show))
	for _, text := range []string{`{"index":9,"updates":[]}`, `{"index":8,"updates":[{"index":8,"endpoints":{"servers":[
	 {"id":"s-4","addr":"127.0.0.2","state":"Ready"}]}}]}`} {
		response, _ := jsonvalue.Parse("events", []byte(text))
		var strict EventReader
		fmt.Println(strict.ReadEvents(response, 7, show), response.Err())
	}
	// Output:
	// true [{s-1 1 0 2 0 0} {s-2 0 -1 3 1 50}] [127.0.0.2:5050 127.0.0.3:5050]
	// 8 field events[updates 2 endpoints servers 0 state]: expected Ready, Terminating or Gone
	// false [{s-1 -1 -1 0 2 0}] []
	// 9
	// 7 field events[index]: expected the events up to it
	// 7 field events[updates 0 endpoints servers 0 addr]: expected host:port
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte(`HTTP/1.1 200 OK` + "\r\nContent-Length: 60\r\n\r\n" +
		`{"index":1,"updates":[{"index":1,"endpoints":{"servers":[{}]}}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		response, err := ParseResponse(b)
		if length := response.Length; length < 0 || length > len(b) || err != nil && length > 0 {
			t.Fatalf("%q: length %d, %v", b, length, err)
		}
		if events, err := jsonvalue.Parse("events", response.Body); err == nil {
			reader := EventReader{AcceptPartial: true}
			reader.ReadEvents(events, 0, func(WatchEvent) {})
		}
	})
}
