package admission

// requestIndex is a request's place in the table of those in hand.
type requestIndex int32

// activeRequest is a request in hand: queued, waiting behind its key, or with an attempt in flight.
type activeRequest struct {
	id        RequestID
	class     int
	tenant    int
	tables    int
	orderKey  string // "": it need not wait for others
	arrivedAt Time
	deadline  Time
	objective Time // by when it should be answered
	estimate  Estimate
	sequence  uint64 // in the order of arrival
	queued    bool
	abandoned bool // its client left while an attempt was in flight
	rank      int  // that its attempts were last given

	attempts int
	errors   int          // attempts that ended with an error or a lost answer
	attempt  attempt      // the latest
	prior    PriorAttempt // the first attempt that may have run
}

// attempt is one sending of a request to an engine.
type attempt struct {
	inFlight  bool
	engine    engineIndex
	sentAt    Time
	timeoutAt Time
	noticedAt Time // when it was sent or last gave a notice
	memoryMB  float64
}

// requestTable holds the requests in hand. Places are used again, so that the ordinary path allocates nothing.
type requestTable struct {
	items []activeRequest // a free place has no id
	free  []requestIndex
	byID  map[RequestID]requestIndex
}

func newRequestTable() requestTable { return requestTable{byID: map[RequestID]requestIndex{}} }

// at returns the request at a place. The pointer holds until the next add.
func (t *requestTable) at(index requestIndex) *activeRequest { return &t.items[index] }

// find returns the request of an id, nil if there is none.
func (t *requestTable) find(id RequestID) (requestIndex, *activeRequest) {
	index, ok := t.byID[id]
	if !ok {
		return 0, nil
	}
	return index, &t.items[index]
}

// add gives a request a place.
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

// release gives the place of a request free, which removeID has taken out of the index.
func (t *requestTable) release(index requestIndex) {
	t.items[index] = activeRequest{}
	t.free = append(t.free, index)
}

// removeID takes a request out of the index by id.
func (t *requestTable) removeID(index requestIndex) { delete(t.byID, t.items[index].id) }

// threadsSentTo counts the threads of the attempts that were sent to an engine since a time and are still in flight.
func (t *requestTable) threadsSentTo(engine engineIndex, since Time, classes []Class) (threads float64) {
	for i := range t.items {
		request := &t.items[i]
		if request.attempt.inFlight && request.attempt.engine == engine && request.attempt.sentAt >= since {
			threads += float64(classes[request.class].Threads)
		}
	}
	return threads
}
