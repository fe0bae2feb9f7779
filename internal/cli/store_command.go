package cli

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
	"magpiebank/internal/storage/store"
)

// storeCommand returns the command that looks at a folder of the request journal, and repairs it.
func storeCommand(out io.Writer) *cobra.Command {
	command := &cobra.Command{Use: "store", Short: "What a folder of --state holds; its gateway must not be running"}
	inspect := &cobra.Command{Use: "inspect FOLDER", Short: "Say what the folder holds", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return inspectState(out, args[0]) }}
	verify := &cobra.Command{Use: "verify FOLDER", Short: "Read all of it; status 2 with file, offset and cause where it is damaged",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return verifyState(out, args[0]) }}
	dump := &cobra.Command{Use: "dump FOLDER", Short: "Print all records, a line each, in the order in which they were written",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := inspectFolder(args[0], func(key store.Key, record []byte, deleted bool) { dumpRecord(out, key, record, deleted) })
			return err
		}}
	var drop bool
	repair := &cobra.Command{Use: "repair FOLDER", Short: "Say what a damaged folder must lose to be read again, and with --drop lose it",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return repairState(out, args[0], drop) }}
	repair.Flags().BoolVar(&drop, "drop", false, "lose what can't be read and all that was written after it; files are kept as *.lost")
	command.AddCommand(inspect, verify, dump, repair)
	return command
}

// inspectFolder reads a folder without changing it, and calls handle for each record in the order in which they were written.
func inspectFolder(folder string, handle func(key store.Key, record []byte, deleted bool)) (*store.Inspection, error) {
	disk, err := store.OpenFolder(folder)
	if err != nil {
		return nil, err
	}
	return store.Inspect(disk, handle)
}

// inspectState prints what a folder holds.
func inspectState(out io.Writer, folder string) error {
	requests := map[store.Key]*requestjournal.Entry{}
	inspection, err := inspectFolder(folder, func(key store.Key, record []byte, deleted bool) {
		if _, ok := snapshotPart(key); ok {
			return
		}
		delete(requests, key)
		if deleted {
			return
		}
		if entry, err := requestjournal.Decode(record); err == nil {
			requests[key] = entry
		}
	})
	if inspection == nil {
		return err
	}
	fmt.Fprintf(out, "gateway %q, store %x, closed in order %t\n", inspection.Owner, inspection.StoreID, inspection.ClosedCleanly)
	for _, segment := range inspection.Segments {
		fmt.Fprintf(out, "%s  %d bytes, %d records from %d on\n", segment.Name, segment.Bytes, segment.Records, segment.FirstSequence)
	}
	printOutcomes(out, requests)
	if inspection.TornBytes > 0 {
		fmt.Fprintf(out, "%d bytes at the end are torn, as a crash leaves them; the next start cuts them\n", inspection.TornBytes)
	}
	return err
}

// printOutcomes prints how many requests have which outcome.
func printOutcomes(out io.Writer, requests map[store.Key]*requestjournal.Entry) {
	counts := map[requestjournal.Outcome]int{}
	uncertain := 0
	for _, entry := range requests {
		counts[entry.Outcome]++
		if entry.Outcome == requestjournal.Pending && (entry.InFlight || entry.MayHaveRun) {
			uncertain++
		}
	}
	fmt.Fprintf(out, "%d tasks: %d open, of which %d may have run; %d delivered, %d nacked, %d written off, %d left\n",
		len(requests), counts[requestjournal.Pending], uncertain, counts[requestjournal.Served],
		counts[requestjournal.Rejected], counts[requestjournal.Failed], counts[requestjournal.Abandoned])
}

// verifyState reads all records of a folder, and prints their number if all can be read.
func verifyState(out io.Writer, folder string) error {
	var recordError error
	inspection, err := inspectFolder(folder, func(key store.Key, record []byte, deleted bool) {
		if _, ok := snapshotPart(key); ok || deleted {
			return
		}
		if _, err := requestjournal.Decode(record); err != nil && recordError == nil {
			recordError = fmt.Errorf("task %s: %w", key[:], err)
		}
	})
	err = errors.Join(err, recordError)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "sound: %d records, %d bytes torn at the end\n", inspection.Records, inspection.TornBytes)
	return nil
}

// repairState prints what a folder must lose to be read again, and drops it if it is told to.
func repairState(out io.Writer, folder string, drop bool) error {
	disk, err := store.OpenFolder(folder)
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
		fmt.Fprintf(out, "%s: nothing is amiss\n", filepath.Clean(folder))
	case !drop:
		return errors.New("nothing was changed; --drop loses what is listed, and with it the word on which of those tasks may have run")
	}
	return nil
}

// dumpRecord prints one record.
func dumpRecord(out io.Writer, key store.Key, record []byte, deleted bool) {
	if part, ok := snapshotPart(key); ok {
		fmt.Fprintf(out, "what the decisions know, part %d, %d bytes\n", part, len(record))
		return
	}
	if deleted {
		fmt.Fprintf(out, "%s forgotten\n", key[:])
		return
	}
	entry, err := requestjournal.Decode(record)
	if err != nil {
		fmt.Fprintf(out, "%s %v\n", key[:], err)
		return
	}
	fmt.Fprintf(out, "%s lane %d taken %s tries %d out %t may have run %t %s", key[:], entry.Class, formatTime(entry.AcceptedAt),
		entry.Attempts, entry.InFlight, entry.MayHaveRun, entry.Outcome)
	if entry.AnsweredAt > 0 {
		fmt.Fprintf(out, " at %s", formatTime(entry.AnsweredAt))
	}
	fmt.Fprintln(out)
}

// formatTime returns a time of the journal, which is in Unix time, as RFC 3339 has it.
func formatTime(t admission.Time) string {
	return time.Unix(0, int64(t)*int64(timeUnit)).UTC().Format(time.RFC3339Nano)
}
