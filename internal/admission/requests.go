package admission

// requestIndex is a request's index in requestTable.items.
type requestIndex int32

// activeRequest is an outstanding request: it is queued, waits for an earlier request of its key, or has an attempt in flight.
type activeRequest struct {
	id         RequestID
	class      int
	tenant     int
	tableGroup int
	orderKey   string // "": the request need not wait for others
	arrivedAt  Time
	deadline   Time
	objective  Time // when the latency objective ends
	estimate   Estimate
	sequence   uint64 // position in the order of arrival
	queued     bool
	abandoned  bool // the client disconnected while an attempt was in flight
	rank       int  // rank that was last set for its attempts

	attempts int
	errors   int          // attempts that ended with an error or a lost answer
	attempt  attempt      // the latest attempt
	prior    PriorAttempt // the first attempt that may have run
}

// attempt is one attempt to run a request on an engine.
type attempt struct {
	inFlight  bool
	engine    engineIndex
	sentAt    Time
	timeoutAt Time
	noticedAt Time // when the attempt was sent or its last notice arrived
	memoryMB  float64
}

// requestTable holds the outstanding requests. Entries are reused so that the ordinary path makes no allocations.
type requestTable struct {
	items []activeRequest // a free entry has an empty id
	free  []requestIndex
	byID  map[RequestID]requestIndex
}

func newRequestTable() requestTable { return requestTable{byID: map[RequestID]requestIndex{}} }

// at returns the request at an index. The pointer is valid until the next call of add.
func (t *requestTable) at(index requestIndex) *activeRequest { return &t.items[index] }

// find returns the request with an id, or nil if there is none.
func (t *requestTable) find(id RequestID) (requestIndex, *activeRequest) {
	index, ok := t.byID[id]
	if !ok {
		return 0, nil
	}
	return index, &t.items[index]
}

// add stores a request in a free entry.
func (t *requestTable) add(r activeRequest) requestIndex {
	index := requestIndex(len(t.items))
	if n := len(t.free); n > 0 {
		index = t.free[n-1]
		t.free = t.free[:n-1]
	} else {
		t.items = append(t.items, activeRequest{})
	}
	t.items[index] = r
	t.byID[r.id] = index
	return index
}

// release frees the entry of a request. removeID must have removed the request from byID before.
func (t *requestTable) release(index requestIndex) {
	t.items[index] = activeRequest{}
	t.free = append(t.free, index)
}

// removeID removes a request from byID.
func (t *requestTable) removeID(index requestIndex) { delete(t.byID, t.items[index].id) }

// threadsSentTo returns the threads of the attempts that were sent to an engine at the given time or later and are in flight.
func (t *requestTable) threadsSentTo(engine engineIndex, since Time, classes []Class) (threads float64) {
	for i := range t.items {
		request := &t.items[i]
		if request.attempt.inFlight && request.attempt.engine == engine && request.attempt.sentAt >= since {
			threads += float64(classes[request.class].Threads)
		}
	}
	return threads
}
