package store

import (
	"fmt"
	"time"
)

// serve writes batches until the store is closed or has failed.
func (s *Store) serve() {
	defer close(s.ended)
	rest := time.NewTimer(time.Hour)
	defer rest.Stop()
	for {
		rest.Reset(s.restFor())
		select {
		case <-s.wake:
		case <-rest.C:
		}
		s.gather()
		s.mu.Lock()
		batch, closing := s.queue, s.closing
		s.queue = nil
		s.mu.Unlock()
		err := s.commit(batch, closing)
		if err == nil {
			err = s.compact()
		}
		if err != nil {
			s.fail(err)
			return
		}
		if closing && len(batch) == 0 {
			return
		}
		if closing {
			s.ring()
		}
	}
}

// restFor is how long there is nothing to do if nothing comes.
func (s *Store) restFor() time.Duration {
	rest := time.Hour
	if !s.lazySet.IsZero() {
		rest = max(0, lazily-time.Since(s.lazySet))
	}
	if s.compacting() {
		rest = min(rest, max(0, s.limits.Rewrite-time.Since(s.rewrote)))
	}
	return rest
}

// gather waits a little for as many writers as the last batch had.
func (s *Store) gather() {
	if s.waiters < 2 {
		return
	}
	within := min(mostGather, s.syncTook/gatherShare)
	if within < leastGather {
		return
	}
	for by := time.Now().Add(within); time.Now().Before(by); {
		s.mu.Lock()
		waiters := 0
		for i := range s.queue {
			if s.queue[i].done != nil {
				waiters++
			}
		}
		closing := s.closing
		s.mu.Unlock()
		if waiters == 0 || waiters >= s.waiters || closing {
			return
		}
		time.Sleep(leastGather / 4)
	}
}

// fail has all writes that wait, and all to come, told that the store has failed.
func (s *Store) fail(err error) {
	failed := &Failed{err}
	s.mu.Lock()
	s.failed = failed
	waiting := s.queue
	s.queue = nil
	s.mu.Unlock()
	for _, w := range waiting {
		if w.done != nil {
			w.done(failed)
		}
	}
}

// commit writes a batch and has it survive if somebody waits for it, or has waited long enough for nobody.
func (s *Store) commit(batch []write, closing bool) error {
	told := 0
	for told < len(batch) {
		n, err := s.some(batch[told:])
		if err != nil {
			s.refuse(batch[told:], &Failed{err})
			return err
		}
		told += n
	}
	s.waiters = 0
	for i := range batch {
		if batch[i].done != nil {
			s.waiters++
		}
	}
	if s.last > s.synced && s.lazySet.IsZero() {
		s.lazySet = time.Now()
	}
	if s.last > s.synced && (s.waiters > 0 || closing || time.Since(s.lazySet) >= lazily) {
		if err := s.sync(); err != nil {
			s.refuse(batch, &Failed{err})
			return err
		}
	}
	for i := range batch {
		if done := batch[i].done; done != nil {
			done(nil)
		}
	}
	return nil
}

// refuse tells those that wait why their writes may not survive.
func (s *Store) refuse(batch []write, err error) {
	for i := range batch {
		if batch[i].done != nil {
			batch[i].done(err)
			batch[i].done = nil
		}
	}
}

func (s *Store) sync() error {
	began := time.Now()
	if err := s.active().file.Sync(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	took := time.Since(began)
	if s.syncTook == 0 {
		s.syncTook = took
	}
	s.syncTook += (took - s.syncTook) / 8
	s.synced, s.lazySet = s.last, time.Time{}
	s.mu.Lock()
	s.counts.Syncs++
	s.mu.Unlock()
	return nil
}

func (s *Store) active() *segment { return s.segments[len(s.segments)-1] }

// some writes as many of a batch as go into the segment, at once, and returns how many are dealt with. What finds no room
// is refused and counts as dealt with.
func (s *Store) some(batch []write) (n int, err error) {
	if s.active().size >= s.limits.Segment {
		if s.last > s.synced { // only the last segment may be torn
			if err := s.sync(); err != nil {
				return 0, err
			}
		}
		if err := s.begin(); err != nil {
			return s.noRoom(batch, err)
		}
	}
	g := s.active()
	bytes, _, _ := s.Size()
	s.buffer = s.buffer[:0]
	var records []record
	for ; n < len(batch) && g.size+int64(len(s.buffer)) < s.limits.Segment; n++ {
		w := &batch[n]
		room := s.limits.Most
		if w.gone {
			room += reserve * s.limits.Segment
		}
		if bytes+int64(len(s.buffer)+recordHead+len(w.value)) > room {
			s.refuse(batch[n:n+1], ErrFull)
			s.mu.Lock()
			s.counts.Refused++
			s.mu.Unlock()
			continue
		}
		r := record{sequence: s.last + 1 + uint64(len(records)), synced: s.synced, key: w.key, gone: w.gone, value: w.value}
		s.buffer = appendRecord(s.buffer, &r)
		records = append(records, r)
	}
	if len(records) == 0 {
		return n, nil
	}
	if err := s.append(g, records); err != nil {
		return s.noRoom(batch[:n], err)
	}
	return n, nil
}

// noRoom takes a write's error for a disk that is full where the file can be put back to what it was: then those writes
// are refused, and others may find room later.
func (s *Store) noRoom(batch []write, err error) (n int, again error) {
	if !isFull(err) {
		return 0, err
	}
	if e := s.active().file.Truncate(s.active().size); e != nil {
		return 0, fmt.Errorf("%w, and its part can't be taken back: %w", err, e)
	}
	s.refuse(batch, fmt.Errorf("%w: %w", ErrFull, err))
	s.mu.Lock()
	s.counts.Refused += int64(len(batch))
	s.mu.Unlock()
	return len(batch), nil
}

// append writes the buffer, which holds these records, to a segment, and has the index find them.
func (s *Store) append(g *segment, records []record) error {
	if n, err := g.file.Write(s.buffer); err != nil {
		return fmt.Errorf("write: %w", err)
	} else if n < len(s.buffer) {
		return fmt.Errorf("write: %d of %d bytes", n, len(s.buffer))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range records {
		r := &records[i]
		s.point(g, r, g.size)
		g.size += int64(r.size())
		s.last = r.sequence
	}
	s.counts.Writes += int64(len(records))
	s.counts.Bytes += int64(len(s.buffer))
	return nil
}

// compacting tells whether the oldest segment should go: half of what is closed no longer holds, or room is short.
func (s *Store) compacting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.segments) < 2 {
		return false
	}
	var bytes, live int64
	for _, g := range s.segments[:len(s.segments)-1] {
		bytes += g.size
		live += g.live
	}
	const short = 0.75 // of the bound: with the reserve there is room to write on meanwhile
	return live < bytes/2 || float64(bytes) > short*float64(s.limits.Most) && live < bytes-s.limits.Segment
}

// compact writes some live records of the oldest segment again, at the log's end. Once all of them survive there, the
// manifest says that the log begins with the next segment, and the file goes: deletions in it have nothing left to hide,
// as nothing older is there.
func (s *Store) compact() error {
	if !s.compacting() || time.Since(s.rewrote) < s.limits.Rewrite {
		return nil
	}
	s.rewrote = time.Now()
	old := s.segments[0]
	if s.cursor == 0 {
		s.cursor = segmentHead
	}
	part := make([]byte, min(compactBytes+recordHead+mostValue, old.size-s.cursor))
	if n, err := old.file.ReadAt(part, s.cursor); n < len(part) {
		return fmt.Errorf("%s: %w", segmentName(old.number), err)
	}
	var again []record
	s.buffer = s.buffer[:0]
	at := 0
	for at < len(part) && at < compactBytes {
		r, ok := readRecord(part[at:])
		if !ok {
			return &Damage{segmentName(old.number), s.cursor + int64(at), "a record that was written there can't be read"}
		}
		s.mu.Lock()
		p, there := s.index.get(&r.key)
		s.mu.Unlock()
		if there && p.segment == uint32(old.number) && int64(p.at) == s.cursor+int64(at) {
			moved := record{sequence: s.last + 1 + uint64(len(again)), synced: s.synced, key: r.key, value: r.value}
			s.buffer = appendRecord(s.buffer, &moved)
			again = append(again, moved)
		}
		at += r.size()
	}
	if len(again) > 0 {
		if s.active().size >= s.limits.Segment {
			if s.last > s.synced {
				if err := s.sync(); err != nil {
					return err
				}
			}
			if err := s.begin(); err != nil {
				return s.later(err)
			}
		}
		if err := s.append(s.active(), again); err != nil {
			if _, err := s.noRoom(nil, err); err != nil {
				return err
			}
			return nil // the disk is full: once more, later
		}
		s.mu.Lock()
		s.counts.Moved += int64(len(again))
		s.mu.Unlock()
		if s.lazySet.IsZero() {
			s.lazySet = time.Now()
		}
	}
	if s.cursor += int64(at); s.cursor < old.size {
		return nil
	}
	if s.last > s.synced {
		if err := s.sync(); err != nil {
			return err
		}
	}
	h := make([]byte, segmentHead)
	if _, err := s.segments[1].file.ReadAt(h, 0); err != nil {
		return err
	}
	next, ok := readHead(h)
	if !ok {
		return &Damage{segmentName(s.segments[1].number), 0, "its head can't be read"}
	}
	before := s.man
	s.man.first, s.man.begins = next.number, next.first
	if err := s.writeManifest(); err != nil {
		s.man = before
		return s.later(err)
	}
	s.mu.Lock()
	s.segments = s.segments[1:]
	s.mu.Unlock()
	s.cursor = 0
	old.file.Close()
	return s.folder.Remove(segmentName(old.number))
}

// later puts off what a full disk did not allow; any other error is the store's end.
func (s *Store) later(err error) error {
	if isFull(err) {
		return nil
	}
	return err
}
