package resp

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"magpiebank/internal/admission"
)

func ExampleAppendAttempt() {
	for _, a := range []Attempt{
		{ID: "9b1f03aa5c7e2d41", Class: "report", TimeoutMS: 1500, MemoryMB: 640, Priority: 2, Statement: []byte("SELECT 1")},
		{ID: "9b1f03aa5c7e2d41", Class: "report", TimeoutMS: 1500, Priority: 1},
		{ID: "9b1f03aa5c7e2d41", Class: "load", TimeoutMS: 1500, Priority: 1, Token: []byte("6520e9b9eb7682de")},
	} {
		fmt.Printf("%q\n", bytes.Join(AppendAttempt(nil, a), nil))
	}
	// Output:
	// "*4\r\n$2\r\ndo\r\n$16\r\n9b1f03aa5c7e2d41\r\n$34\r\nkind=report,ms=1500,mem=640,prio=2\r\n$8\r\nSELECT 1\r\n"
	// "*4\r\n$2\r\ndo\r\n$16\r\n9b1f03aa5c7e2d41\r\n$26\r\nkind=report,ms=1500,prio=1\r\n$0\r\n\r\n"
	// "*4\r\n$2\r\ndo\r\n$16\r\n9b1f03aa5c7e2d41\r\n$47\r\nkind=load,ms=1500,prio=1,token=6520e9b9eb7682de\r\n$0\r\n\r\n"
}

func ExampleParse() {
	b := append(AppendArray(nil, "id1", "data", "pages=2,cost=31,need=12", "a\tb\tc\n"), AppendArray(nil, "id2", "full")...)
	for len(b) > 0 {
		elements, n, err := Parse(b, nil)
		fmt.Printf("%q %d %v\n", elements, n, err)
		b = b[n:]
	}
	elements, n, err := Parse(AppendArray(nil, "id1", "data")[:20], nil)
	fmt.Println(len(elements) < 2, n, err)
	// Output:
	// ["id1" "data" "pages=2,cost=31,need=12" "a\tb\tc\n"] 65 <nil>
	// ["id2" "full"] 23 <nil>
	// true 0 <nil>
}

func TestParseRejectsMalformedArrays(t *testing.T) {
	for _, b := range []string{"+OK\r\n", "*0\r\n", "*-1\r\n", "*99\r\n", "*1\r\n:5\r\n", "*1\r\n$-1\r\n", "*1\r\n$1\r\nab\r\n",
		"*1\r\n$99999999\r\n", "*x\r\n", "*1\n", "*111111111111111111111"} {
		if _, n, err := Parse([]byte(b), nil); !errors.Is(err, ErrMalformedArray) || n != 0 {
			t.Errorf("%q: got %d, %v", b, n, err)
		}
	}
}

func TestParseFields(t *testing.T) {
	fields := []byte("pages=3,cost=1.5,res=so_far,v=0.25,gauges=inflight:7;util:0.61;x0:0.5;x1:0.75;new:1;bad:x")
	if got, want := ParseLoadReport(fields), (admission.Report{InFlight: 7, Utilization: 0.61, Memory: 0.5, Disks: 0.75}); got != want {
		t.Errorf("report: got %v", got)
	}
	if kind, value, ok := ParseProgress(fields); kind != admission.ProgressNotice || value != 0.25 || !ok {
		t.Errorf("progress: got %v %v %v", kind, value, ok)
	}
	if got, ok := ParseAmount(fields, "cost"); got != 1.5 || !ok {
		t.Errorf("cost: got %v %v", got, ok)
	}
	for _, text := range []string{"-1", "x", "NaN", "Inf", "1e300", "1,5e"} {
		if got, ok := ParseAmount([]byte("cost="+text), "cost"); ok && text != "1,5e" {
			t.Errorf("cost %s: got %v", text, got)
		}
	}
	for _, empty := range []string{"-", "", "res", "=", "gauges=,res=other"} {
		if _, _, ok := ParseProgress([]byte(empty)); ok || ParseLoadReport([]byte(empty)) != admission.NoReport {
			t.Errorf("%q: got a notice or a load report", empty)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(AppendArray(nil, "id1", "data", "pages=2,gauges=util:0.5", "a\tb\tc\n"))
	f.Add([]byte("*1\r\n$-1\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		elements, n, err := Parse(b, nil)
		if err != nil || n == 0 {
			return
		}
		for _, element := range elements {
			ParseProgress(element)
			ParseLoadReport(element)
		}
		if reparsed, _, err := Parse(b[:n], nil); err != nil || len(reparsed) != len(elements) {
			t.Errorf("%q: %d elements, then %d, %v", b[:n], len(elements), len(reparsed), err)
		}
		if _, truncatedLength, _ := Parse(b[:n-1], nil); truncatedLength != 0 {
			t.Errorf("%q: parsed as complete without its last byte", b[:n])
		}
	})
}
