package router

import (
	"bufio"
	"net"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/enginelist"
	"magpiebank/internal/sheet"
)

// follower polls the engine list.
type follower struct {
	o       *owner
	address string
	held    int64 // number of the last event
}

// tell takes in events; whole is the form of those that hold the whole list.
func (f *follower) tell(s *sheet.Sheet, whole admission.Form) {
	f.held = enginelist.Events(s, f.held, f.o.network.Zones, f.o.network.Kinds,
		func(all bool, list []admission.Listing, addresses []string) {
			form := admission.Changes
			if all {
				form = whole
			}
			f.o.tell(func(now admission.Time) { f.o.listed(now, form, list, addresses) })
		})
	if s.Err() != nil {
		f.o.log.Warn("engine list", "code", "bad_event", "error", s.Err())
	}
}

// pollWait is how long the list may hold a poll back: of the 7 s after which its events count as told, a
// silent connection then takes no more than a sixth, and a restart of the poll another.
const pollWait = time.Second

// serve polls until stop is closed.
func (f *follower) serve(stop <-chan struct{}) {
	for {
		f.connect(stop)
		select {
		case <-stop:
			return
		case <-time.After(f.o.network.ConnectWithin):
		}
	}
}

// connect polls on one connection until it ends.
func (f *follower) connect(stop <-chan struct{}) {
	code := "panic"
	f.o.connections.Add(1)
	defer func() { f.o.connectionEnded("engine list", f.address, code, 0, recover()) }()
	code = f.poll(stop)
}

func (f *follower) poll(stop <-chan struct{}) (code string) {
	within := f.o.network.ConnectWithin
	tcp, err := net.DialTimeout("tcp", f.address, within)
	if err != nil {
		return endCode(err)
	}
	over := make(chan struct{})
	defer close(over)
	go func() { // closes it at the stop of the router, too, where a poll would go on
		select {
		case <-stop:
		case <-over:
		}
		tcp.Close()
	}()
	r := bufio.NewReaderSize(tcp, 4096)
	var request, buffer []byte
	for {
		request = enginelist.Request(request[:0], f.address, f.held, pollWait.Milliseconds())
		tcp.SetDeadline(time.Now().Add(pollWait + within))
		if _, err := tcp.Write(request); err != nil {
			return endCode(err)
		}
		for {
			status, body, length, last, err := enginelist.Answer(buffer)
			if err != nil || len(buffer) > 2*enginelist.MostAnswer {
				return "bad_answer"
			}
			if length == 0 {
				if _, err := r.Peek(1); err != nil {
					return endCode(err)
				}
				more, _ := r.Peek(r.Buffered())
				buffer = append(buffer, more...)
				r.Discard(len(more))
				continue
			}
			if status == 200 {
				s, err := sheet.Parse("events", body)
				if err != nil {
					return "bad_answer"
				}
				f.tell(s, admission.Whole)
			}
			buffer = append(buffer[:0], buffer[length:]...)
			if last {
				return "closed"
			}
			if status != 200 && status != 204 && status != 304 {
				return "status"
			}
			break
		}
	}
}
