package cli

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"path/filepath"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
	"magpiebank/internal/router"
	"magpiebank/internal/storage/faultdisk"
	"magpiebank/internal/storage/requestjournal"
	"magpiebank/internal/storage/store"
)

const (
	// A day of a gateway that takes a load a second, as the store's own bound.
	usualState = 64
	leastState = 16
	// A task's record is some sixty bytes in the log, and as many again in memory; a megabyte of the folder has room for some
	// ten thousand. Of these a quarter may be known at a time, so that half of the log may be what no longer holds.
	tasksPerMB = 2500
	// The unit of the project's times.
	tenth = 100 * time.Microsecond
)

// stateLog joins the ledger to the store, which is there only once the ledger has been told of its records.
type stateLog struct{ s *store.Store }

func (l *stateLog) Put(k requestjournal.Key, b []byte, done func(error)) {
	l.s.Put(store.Key(k), b, done)
}
func (l *stateLog) Delete(k requestjournal.Key, done func(error)) { l.s.Delete(store.Key(k), done) }

// openState opens a folder's record of tasks and recovers it; without a folder there is none. shut closes it.
func openState(folder string, megabytes int64, start *config.Config, log *slog.Logger) (keep *router.Journal, shut func() error, err error) {
	if folder == "" {
		return nil, func() error { return nil }, nil
	}
	if megabytes < leastState {
		return nil, nil, fmt.Errorf("flag state-mb: expected at least %d, found %d", leastState, megabytes)
	}
	began := time.Now()
	disk, err := store.CreateFolder(folder)
	if err != nil {
		return nil, nil, fmt.Errorf("state: %w", err)
	}
	var lanes []requestjournal.Class
	for i, l := range start.Deployment.Classes {
		lanes = append(lanes, requestjournal.Class{Effect: l.Effect, DedupWindow: l.DedupWindow, LongestWait: admission.Time(start.Network.LongestWaits[i] / tenth)})
	}
	var behind stateLog
	book := requestjournal.New(&behind, lanes, int(megabytes)*tasksPerMB)
	var bad error
	memories := memoryParts{}
	s, found, err := store.Open(faultdisk.WrapFolder(disk), start.Name, store.Limits{MaxBytes: megabytes << 20}, func(k store.Key, b []byte, gone bool) {
		if n, ok := memoryPart(k); ok {
			memories[n] = append([]byte(nil), b...)
			return
		}
		if e := book.Replay(requestjournal.Key(k), b, gone); e != nil && bad == nil {
			bad = fmt.Errorf("task %s: %w", k[:], e)
		}
	})
	if err != nil {
		return nil, nil, fmt.Errorf("state: %s: %w", folder, err)
	}
	if bad != nil {
		return nil, nil, errors.Join(fmt.Errorf("state: %s: %w", folder, bad), s.Close())
	}
	behind.s = s
	memory, err := memories.whole()
	if err != nil {
		log.Warn("state", "code", "cold", "error", err)
	}
	book.Recover(admission.Time(time.Now().UnixNano() / int64(tenth)))
	log.Info("state", "code", "recovered", "folder", folder, "fresh", found.Fresh, "segments", found.Segments, "records", found.Records,
		"tasks", book.Len(), "open", book.Counts.Recovered, "may_have_run", book.Counts.Uncertain, "cut_bytes", found.TornBytes, "warm", memory != nil, "took", time.Since(began))
	return &router.Journal{Requests: book, Failed: s.Err, Snapshot: memory, SaveSnapshot: func(b []byte) { remember(s, b) }}, func() error {
		if err := s.Close(); err != nil {
			return fmt.Errorf("state: %s: %w", folder, err)
		}
		return nil
	}, nil
}

// What the decisions know is kept in parts, each with its number and how many there are, as a record has a most. The key's
// first byte is none of a task's id.
const (
	memoryKey  = "\x00decisions-"
	memorySize = 60 << 10
)

type memoryParts map[int][]byte

func memoryPart(k store.Key) (n int, ok bool) {
	if string(k[:len(memoryKey)]) != memoryKey {
		return 0, false
	}
	n, err := strconv.Atoi(string(k[len(memoryKey):]))
	return n, err == nil
}

func remember(s *store.Store, b []byte) {
	parts := (len(b) + memorySize - 1) / memorySize
	for n := range parts {
		var k store.Key
		copy(k[:], fmt.Sprintf("%s%0*d", memoryKey, len(k)-len(memoryKey), n))
		value := binary.LittleEndian.AppendUint32(nil, uint32(parts))
		value = binary.LittleEndian.AppendUint32(value, crc32.ChecksumIEEE(b))
		s.Put(k, append(value, b[n*memorySize:min(len(b), (n+1)*memorySize)]...), nil)
	}
}

// whole puts the parts together; nil where there are none. Parts of two times don't fit, by the sum over all of them.
func (m memoryParts) whole() (*admission.Snapshot, error) {
	first := m[0]
	if len(first) < 8 {
		return nil, nil
	}
	var b []byte
	for n := range int(binary.LittleEndian.Uint32(first)) {
		part := m[n]
		if len(part) < 8 || !bytes.Equal(part[:8], first[:8]) {
			return nil, errors.New("what the decisions knew is there in part only")
		}
		b = append(b, part[8:]...)
	}
	if crc32.ChecksumIEEE(b) != binary.LittleEndian.Uint32(first[4:]) {
		return nil, errors.New("what the decisions knew is of two times")
	}
	return admission.DecodeSnapshot(b)
}

// look reads a folder without changing it.
func look(folder string, told func(k store.Key, b []byte, gone bool)) (*store.Inspection, error) {
	disk, err := store.OpenFolder(folder)
	if err != nil {
		return nil, err
	}
	return store.Inspect(disk, told)
}

func storeCommand(out io.Writer) *cobra.Command {
	c := &cobra.Command{Use: "store", Short: "What a folder of --state holds; its gateway must not be running"}
	inspect := &cobra.Command{Use: "inspect FOLDER", Short: "Say what the folder holds", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return inspectState(out, args[0]) }}
	verify := &cobra.Command{Use: "verify FOLDER", Short: "Read all of it; status 2 with file, offset and cause where it is damaged",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var bad error
			l, err := look(args[0], func(k store.Key, b []byte, gone bool) {
				if _, ok := memoryPart(k); ok || gone {
					return
				}
				if _, e := requestjournal.Decode(b); e != nil && bad == nil {
					bad = fmt.Errorf("task %s: %w", k[:], e)
				}
			})
			if err = errors.Join(err, bad); err == nil {
				fmt.Fprintf(out, "sound: %d records, %d bytes torn at the end\n", l.Records, l.TornBytes)
			}
			return err
		}}
	dump := &cobra.Command{Use: "dump FOLDER", Short: "Print all records, a line each, in the order in which they were written",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := look(args[0], func(k store.Key, b []byte, gone bool) { dumpRecord(out, k, b, gone) })
			return err
		}}
	var drop bool
	repair := &cobra.Command{Use: "repair FOLDER", Short: "Say what a damaged folder must lose to be read again, and with --drop lose it",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			disk, err := store.OpenFolder(args[0])
			if err != nil {
				return err
			}
			lost, err := store.Repair(disk, drop)
			for _, line := range lost {
				fmt.Fprintln(out, line)
			}
			switch {
			case err != nil:
				return err
			case len(lost) == 0:
				fmt.Fprintf(out, "%s: nothing is amiss\n", filepath.Clean(args[0]))
			case !drop:
				return errors.New("nothing was changed; --drop loses what is listed, and with it the word on which of those tasks may have run")
			}
			return nil
		}}
	repair.Flags().BoolVar(&drop, "drop", false, "lose what can't be read and all that was written after it; files are kept as *.lost")
	c.AddCommand(inspect, verify, dump, repair)
	return c
}

func inspectState(out io.Writer, folder string) error {
	tasks := map[store.Key]*requestjournal.Entry{}
	l, err := look(folder, func(k store.Key, b []byte, gone bool) {
		if _, ok := memoryPart(k); ok {
			return
		}
		if delete(tasks, k); !gone {
			if e, err := requestjournal.Decode(b); err == nil {
				tasks[k] = e
			}
		}
	})
	if l == nil {
		return err
	}
	fmt.Fprintf(out, "gateway %q, store %x, closed in order %t\n", l.Owner, l.StoreID, l.ClosedCleanly)
	for _, g := range l.Segments {
		fmt.Fprintf(out, "%s  %d bytes, %d records from %d on\n", g.Name, g.Bytes, g.Records, g.FirstSequence)
	}
	counts := map[requestjournal.Outcome]int{}
	doubt := 0
	for _, e := range tasks {
		if counts[e.Outcome]++; e.Outcome == requestjournal.Pending && (e.InFlight || e.MayHaveRun) {
			doubt++
		}
	}
	fmt.Fprintf(out, "%d tasks: %d open, of which %d may have run; %d delivered, %d nacked, %d written off, %d left\n", len(tasks),
		counts[requestjournal.Pending], doubt, counts[requestjournal.Served], counts[requestjournal.Rejected], counts[requestjournal.Failed], counts[requestjournal.Abandoned])
	if l.TornBytes > 0 {
		fmt.Fprintf(out, "%d bytes at the end are torn, as a crash leaves them; the next start cuts them\n", l.TornBytes)
	}
	return err
}

func dumpRecord(out io.Writer, k store.Key, b []byte, gone bool) {
	if n, ok := memoryPart(k); ok {
		fmt.Fprintf(out, "what the decisions know, part %d, %d bytes\n", n, len(b))
		return
	}
	if gone {
		fmt.Fprintf(out, "%s forgotten\n", k[:])
		return
	}
	e, err := requestjournal.Decode(b)
	if err != nil {
		fmt.Fprintf(out, "%s %v\n", k[:], err)
		return
	}
	at := func(t admission.Time) string {
		return time.Unix(0, int64(t)*int64(tenth)).UTC().Format(time.RFC3339Nano)
	}
	fmt.Fprintf(out, "%s lane %d taken %s tries %d out %t may have run %t %s", k[:], e.Class, at(e.AcceptedAt), e.Attempts, e.InFlight, e.MayHaveRun, e.Outcome)
	if e.AnsweredAt > 0 {
		fmt.Fprintf(out, " at %s", at(e.AnsweredAt))
	}
	fmt.Fprintln(out)
}
