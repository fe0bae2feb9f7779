package faulttest

import "sync"

// limit bounds how many scenarios are played at a time: fewer, once a run shows that they are too many for the machine.
type limit struct {
	mu   sync.Mutex
	free sync.Cond
	most int
	in   int
}

// playing is the limit of this package's tests. They begin with as many as go test -parallel lets run.
var playing = newLimit(1 << 10)

func newLimit(most int) *limit {
	l := &limit{most: most}
	l.free.L = &l.mu
	return l
}

// enter waits for a turn, and tells how many there are by now.
func (l *limit) enter() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.in >= l.most {
		l.free.Wait()
	}
	l.in++
	return l.most
}

// leave ends a turn that was taken when there were so many. A disturbed run has half as many turns be there as are taken; the others of
// its time say nothing more.
func (l *limit) leave(disturbed bool, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if disturbed && l.most == most {
		l.most = max(1, min(most, l.in)/2)
	}
	l.in--
	l.free.Broadcast()
}
