package capture

import (
	"io"
	"log/slog"
	"path/filepath"
	"testing"

	"magpiebank/internal/traffic/trace"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

const (
	sql       = "/* class=look,id=00000000000000aa,wait=700,retry=1 */ SELECT 5 FROM actas_3.m"
	statement = "SELECT 5 FROM actas_3.m"
)

var query = Query{Class: "look", Group: 3, WaitMS: 700, SQL: []byte(sql), Statement: []byte(statement)}

// A recording can be read back: the fields and shapes, and the text if it was requested.
func TestRecordedQueriesCanBeRead(t *testing.T) {
	for _, withText := range []bool{false, true} {
		path := filepath.Join(t.TempDir(), "x.trace")
		c, err := Start(path, 1<<20, withText, quiet)
		if err != nil {
			t.Fatal(err)
		}
		for range 100 {
			c.RecordQuery(query)
		}
		c.Stop()
		c.Stop()
		c.RecordQuery(query) // a query after the end of the recording is ignored
		got, err := trace.ReadFile(path, false)
		if err != nil || len(got.Records) != 100 {
			t.Fatalf("%v, %v", got, err)
		}
		r := got.Records[99]
		if r.Class != "look" || r.Group != 3 || r.WaitMS != 700 || !r.Retry || r.Shape == 0 || (r.Text == statement) != withText {
			t.Errorf("%+v", r)
		}
		if _, err := Start(path, 1, withText, quiet); err == nil {
			t.Error("an existing file is overwritten")
		}
	}
	var none *Recorder
	none.RecordQuery(Query{Class: "look", Group: 3, WaitMS: 700})
	none.Stop()
}

// A file that reaches its maximum size is complete, and the recorder keeps accepting queries.
func TestFileSizeIsLimited(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.trace")
	const maxBytes = 4000
	c, err := Start(path, maxBytes, true, quiet)
	if err != nil {
		t.Fatal(err)
	}
	for range 5000 {
		c.RecordQuery(query)
	}
	c.Stop()
	got, err := trace.ReadFile(path, false)
	if err != nil || len(got.Records) < 40 || len(got.Records) > maxBytes/len(statement) || c.dropped.Load()+int64(len(got.Records)) != 5000 {
		t.Errorf("%d records, %d dropped, %v", len(got.Records), c.dropped.Load(), err)
	}
}
