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

// storeCommand returns the command that inspects and repairs a folder of the request journal.
func storeCommand(out io.Writer) *cobra.Command {
	command := &cobra.Command{Use: "store", Short: "Inspect or repair a folder of --state while its gateway is not running"}
	inspect := &cobra.Command{Use: "inspect FOLDER", Short: "Print a summary of the folder's content", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return inspectState(out, args[0]) }}
	verify := &cobra.Command{Use: "verify FOLDER", Short: "Read all records; if the folder is damaged, print file, offset and cause and exit with status 2",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return verifyState(out, args[0]) }}
	dump := &cobra.Command{Use: "dump FOLDER", Short: "Print all records in the order in which they were written, one per line",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := inspectFolder(args[0], func(key store.Key, record []byte, deleted bool) { dumpRecord(out, key, record, deleted) })
			return err
		}}
	var drop bool
	repair := &cobra.Command{Use: "repair FOLDER", Short: "Print what has to be removed from a damaged folder to make it readable, and with --drop remove it",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return repairState(out, args[0], drop) }}
	repair.Flags().BoolVar(&drop, "drop", false, "remove what can't be read and everything written after it; copies are kept in files named *.lost")
	command.AddCommand(inspect, verify, dump, repair)
	return command
}

// inspectFolder reads a folder without changing it. It calls handle for each record, in the order in which the records were written.
func inspectFolder(folder string, handle func(key store.Key, record []byte, deleted bool)) (*store.Inspection, error) {
	disk, err := store.OpenFolder(folder)
	if err != nil {
		return nil, err
	}
	return store.Inspect(disk, handle)
}

// inspectState prints a summary of a folder: its owner, its segments and the number of requests per outcome. If the folder is corrupt,
// it prints the summary of what precedes the corruption and returns the error.
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

// printOutcomes prints the number of requests per outcome, and how many of the pending ones may have run.
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

// verifyState reads all records of a folder and prints their number if all can be decoded. Otherwise it returns the error of the store
// and that of the first request that can't be decoded.
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

// repairState prints what has to be removed from a corrupt folder to make it readable again, and removes it if drop is true.
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
		return errors.New("nothing was changed; --drop removes what is listed, including the records of which of those requests may have run")
	}
	return nil
}

// dumpRecord prints one record as a line of the command "store dump".
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

// formatTime formats a time of the journal, which is a Unix time in units of admission.Time, as in RFC 3339.
func formatTime(t admission.Time) string {
	return time.Unix(0, int64(t)*int64(timeUnit)).UTC().Format(time.RFC3339Nano)
}
