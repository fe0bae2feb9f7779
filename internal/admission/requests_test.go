package admission

import "testing"

func TestRequestTableReusesEntries(t *testing.T) {
	table := newRequestTable()
	first := table.add(activeRequest{id: "first"})
	second := table.add(activeRequest{id: "second"})
	table.removeID(first)
	if _, request := table.find("first"); request != nil {
		t.Error("found a request whose ID was removed")
	}
	table.release(first)
	if third := table.add(activeRequest{id: "third"}); third != first {
		t.Errorf("the third request has index %d, want %d", third, first)
	}
	for id, want := range map[RequestID]requestIndex{"second": second, "third": first} {
		if index, request := table.find(id); request == nil || request.id != id || index != want {
			t.Errorf("find(%s) returned %v at index %d, want index %d", id, request, index, want)
		}
	}
}

func TestRequestTableCountsThreadsSentTo(t *testing.T) {
	classes := []Class{{Threads: 1}, {Threads: 4}}
	table := newRequestTable()
	for _, r := range []activeRequest{
		{id: "before", class: 1, attempt: attempt{inFlight: true, engine: 7, sentAt: Second - 1}},
		{id: "since", class: 1, attempt: attempt{inFlight: true, engine: 7, sentAt: Second}},
		{id: "later", class: 0, attempt: attempt{inFlight: true, engine: 7, sentAt: 2 * Second}},
		{id: "ended", class: 1, attempt: attempt{engine: 7, sentAt: 2 * Second}},
		{id: "elsewhere", class: 1, attempt: attempt{inFlight: true, engine: 8, sentAt: 2 * Second}},
	} {
		table.add(r)
	}
	if got := table.threadsSentTo(7, Second, classes); got != 5 {
		t.Errorf("%g threads sent, want 5", got)
	}
}
