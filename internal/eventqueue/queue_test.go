package eventqueue

import (
	"slices"
	"sync"
	"testing"
)

func TestDrainHandlesEventsInOrder(t *testing.T) {
	q := New[int]()
	q.Put(1)
	q.Put(2)
	var handled []int
	q.Drain(func(event int) {
		handled = append(handled, event)
		if event == 1 {
			q.Put(3) // while the queue is drained
		}
	})
	if want := []int{1, 2, 3}; !slices.Equal(handled, want) {
		t.Errorf("handled %v, want %v", handled, want)
	}
	q.Drain(func(event int) { t.Errorf("event %d is handled twice", event) })
}

func TestWakeIsSignalledWhileEventsAreQueued(t *testing.T) {
	q := New[int]()
	select {
	case <-q.Wake:
		t.Fatal("Wake holds a value though the queue is empty")
	default:
	}
	q.Put(1)
	q.Put(2) // must not wait for the consumer
	<-q.Wake
	q.Put(3)
	<-q.Wake
}

func TestNoEventIsLostBetweenGoroutines(t *testing.T) {
	const producers, events = 8, 1000
	q := New[int]()
	var producing sync.WaitGroup
	for producer := range producers {
		producing.Go(func() {
			for n := range events {
				q.Put(producer*events + n)
			}
		})
	}
	last := make([]int, producers)
	for handled := 0; handled < producers*events; {
		<-q.Wake
		q.Drain(func(event int) {
			handled++
			if producer, n := event/events, event%events; n != last[producer] {
				t.Errorf("producer %d: event %d is handled in place of event %d", producer, n, last[producer])
			}
			last[event/events]++
		})
	}
	producing.Wait()
}
