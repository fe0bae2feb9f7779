package simadapter

import (
	"os"
	"strings"
	"testing"
)

const bootLine = "boot\t3\t7\t" + `{"fleetSize":1,"classes":[{"name":"x","sloUs":400000,"worth":1,"effect":"read_like"}],` +
	`"familyInfo":{"dop":[1],"kindCores":[4]},"limits":{"maxAttempts":2,"retryAfter":true,"maxRetryAfterUs":1000050},` +
	`"rules":{},"unknown":{"new":[1]}}`

const dayInput = "clock\t1000050\t1\n" + bootLine + "\ndirectory\t0\t1\n" +
	"entry\t10.0.0.1:1\t0\t0\t0\tlive\t1\t-\nmembers\t3\tC\t41\t0\nflush\n" +
	"clock\t1000150\t2\narrival\t3\t00000000000000aa\t1100099\t1\t-\t0\t-\t-\t0\t-\n" +
	"arrival\t3\t00000000000000bb\t9000000\t1\t12000\t0\t-\t-\t1\t64\ndue\t3\ttick\nflush\n" +
	"clock\t1050000\t3\nresponse\t3\t00000000000000aa\t253\t-\t49850\t0\t0\t10.0.0.1:1\t-\n" +
	"response\t3\t00000000000000bb\t0\t-\t49850\t0\t1\t10.0.0.1:1\tutil:0.5,new:3\nflush\n" +
	"clock\t1060000\t4\nretire\t3\ndue\t3\ttick\nflush\n"

func TestServeRecordedDay(t *testing.T) {
	var out strings.Builder
	if err := Serve(strings.NewReader(dayInput), &out); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/day.txt")
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", out.String(), want)
	}
}

func TestMalformedMessage(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"hello\t3", "line 3: hello: field name: expected a known message"},
		{"due\t9\ttick", "line 3: due: field routerId: expected an instance that was booted"},
		{"due\t3", "line 3: due: field mark: expected a value, found the end of the line"},
		{"clock\tsoon\t1", "line 3: clock: field tUs: expected a whole number"},
		{"boot\t4\t1\t{", "line 3: boot: field info: expected a JSON object: unexpected end of JSON input"},
		{"boot\t4\t1\t{\"classes\":[{}]}", "line 3: boot: field info[classes 0 effect]: expected read_like, " +
			"idempotency_key or non_idempotent"},
		{"directory\t16\t0", "line 3: directory: field sheet: expected 0 to 15"},
		{"directory\t0\t1\nflush", "line 4: flush: field entries: expected 1 more entry lines"},
		{"entry\ta\t0\t0\t0\tlive\t1\t-", "line 3: entry: field engine: expected no entry outside a directory"},
		{"members\t3\tZ\t1\t0", "line 3: members: field form: expected D, F, C or X"},
		{"arrival\t3\taa\t9\t1\t-\t5\t-\t-\t0\t-", "line 3: arrival: field profile: expected a class of the settings"},
		{"response\t3\taa\t7\t-\t0\t0\t0\te\t-", "line 3: response: field disposition: expected 0 or 249 to 255"},
		{"health\t3\te\t0\t0\tutil", "line 3: health: field serverStats: expected name:value pairs set apart by commas"},
		{"interim\t3\taa\t0\te\t4\t1", "line 3: interim: field what: expected 1 to 3"},
	} {
		var out strings.Builder
		err := Serve(strings.NewReader("clock\t1\t1\n"+bootLine+"\n"+c.line+"\nflush\n"), &out)
		if err == nil || err.Error() != c.want {
			t.Errorf("%q: got %v, want %s", c.line, err, c.want)
		}
		if out.Len() > 0 {
			t.Errorf("%q: wrote %q", c.line, out.String())
		}
	}
}

// A panic in an instance is reported as one line, and does not end the process.
func TestPanicEndsInstance(t *testing.T) {
	a := &adapter{}
	i := &instance{adapter: a, id: 5}
	i.recoverPanic(func() { panic("two\nlines") })
	if got := string(a.reply); got != "die\t5\ttwo lines\n" {
		t.Errorf("got %q", got)
	}
}

// For any input, output that is not empty ends with a ready line, and errors begin with the number of the input line.
func FuzzServe(f *testing.F) {
	f.Add(dayInput)
	f.Add("clock\t1\t1\nflush\n")
	f.Add("clock\t1\t1\n" + bootLine + "\nmembers\t3\tX\t0\t-\nflush\n")
	f.Fuzz(func(t *testing.T, in string) {
		var out strings.Builder
		err := Serve(strings.NewReader(in), &out)
		if err != nil && !strings.HasPrefix(err.Error(), "line ") {
			t.Fatalf("the error has no line number: %v", err)
		}
		if s := out.String(); s != "" && !strings.HasPrefix(s[strings.LastIndex(s[:len(s)-1], "\n")+1:], "ready\t") {
			t.Fatalf("the output ends in %q", s)
		}
	})
}

// Instance 0 broadcasts one message after it could not reach an engine. A payload that is not a valid report causes no error.
func TestInstancesExchangeReports(t *testing.T) {
	boot := func(n string) string {
		return "boot\t" + n + "\t7\t" + `{"fleetSize":4,"me":` + n + `,"classes":[{"name":"x","sloUs":400000,"worth":1,"effect":"read_like"}],` +
			`"familyInfo":{"dop":[1],"kindCores":[4]},"limits":{"maxAttempts":2,"peerMessages":true},"rules":{}}` + "\n"
	}
	list := "directory\t0\t1\nentry\t10.0.0.1:1\t0\t0\t0\tlive\t1\t-\n"
	var out strings.Builder
	err := Serve(strings.NewReader("clock\t1000000\t1\n"+boot("0")+boot("1")+list+"members\t0\tC\t1\t0\nmembers\t1\tC\t1\t0\n"+
		"arrival\t0\t00000000000000aa\t9000000\t1\t1000\t0\t-\t-\t0\t-\nflush\n"+
		"clock\t1100000\t2\nresponse\t0\t00000000000000aa\t252\t-\t49850\t0\t0\t10.0.0.1:1\t-\nneighbour_says\t1\t0\tff00\nflush\n"), &out)
	if err != nil {
		t.Fatal(err)
	}
	var messages []string
	for _, line := range strings.Split(out.String(), "\n") {
		if message, ok := strings.CutPrefix(line, "broadcast_to\t0\tall\t"); ok {
			messages = append(messages, message)
		}
	}
	if len(messages) != 1 || len(messages[0]) > 512 {
		t.Errorf("instance 0 broadcast %q about an unreachable engine, want one message of at most 512 characters; output:\n%s", messages, &out)
	}
}
