package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const settings = `{"classes":[{"name":"look","sloUs":1000000,"worth":1,"effect":"read_like"}],
 "limits":{"connectTimeoutUs":250000,"keepaliveUs":30000000,"maxOpen":%d}}`

// readConfig writes a configuration to a temporary file and reads it with ReadFile.
func readConfig(t *testing.T, text string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return ReadFile(path)
}

// Client connections may use a third of the file descriptors, so the limit of outstanding requests must not exceed that.
func TestRequestsAreLimitedByDescriptors(t *testing.T) {
	for _, c := range []struct{ descriptors, configured, requests int }{{1024, 20000, 341}, {1024, 100, 100}, {0, 100, 100}, {1024, 0, 341}} {
		config, err := readConfig(t, fmt.Sprintf(`{"name":"n","listen":"l","coordinator":"c","seed":"ffffffffffffffff","known":{},
		 "limits":{"sockets":%d},"settings":`+settings+`}`, c.descriptors, c.configured))
		if err != nil || config.Deployment.MaxRequests != c.requests || config.Seed != -1 {
			t.Errorf("%v: got %+v, %v", c, config, err)
		}
	}
}

func TestErrorsNameTheField(t *testing.T) {
	for text, want := range map[string]string{
		``:                        "field configuration: expected a JSON object: unexpected end of JSON input",
		`[]`:                      "field configuration: expected a JSON object",
		`{"name":"n"}`:            "field configuration[listen]: expected a text",
		`{"name":"n","listen":5}`: "field configuration[listen]: expected a text",
		`{"name":"n","listen":"l","coordinator":"c","known":{},"seed":"xyz","settings":{}}`: "field configuration[seed]: " +
			"expected up to 16 hex digits",
		`{"name":"n","listen":"l","coordinator":"c","known":{},"seed":"1"}`: "field configuration[settings]: " +
			"expected an object",
		`{"name":"n","listen":"l","coordinator":"c","known":{},"seed":"1","settings":{}}`: "field configuration[settings]" +
			"[classes]: expected at least one class",
		`{"name":"n","listen":"l","coordinator":"c","known":{},"seed":"1",
		 "settings":{"classes":[{"name":"a","effect":"read_like"}]}}`: "field configuration[settings]" +
			"[limits connectTimeoutUs]: expected a time above 0",
		`{"name":"n","listen":"l","coordinator":"c","known":{},"seed":"1","settings":{"classes":[{"name":"a",
		 "effect":"read_like"}],"familyInfo":{"progressPaceUs":-5},"limits":{"connectTimeoutUs":1,"keepaliveUs":1}}}`: "field " +
			"configuration[settings][familyInfo progressPaceUs]: expected a time of 0 or more",
		`{"name":"n","listen":"l","coordinator":"c","known":{},"seed":"1","settings":{"classes":[{"name":"a",
		 "effect":"read_like"}],"stats":{"how":"answer"},"limits":{"connectTimeoutUs":1,"keepaliveUs":1}}}`: "field " +
			"configuration[settings][stats how]: expected answers, probe or none",
	} {
		if _, err := readConfig(t, text); err == nil || err.Error() != want {
			t.Errorf("%s: got %v, want %s", text, err, want)
		}
	}
	if _, err := ReadFile(""); err == nil {
		t.Error("ReadFile returned no error for a missing file")
	}
}

// Notices and load reports in answers are disabled unless the settings enable them.
func TestNoticesAndReportsInAnswers(t *testing.T) {
	for text, want := range map[string]string{
		`{}`: "pace 0, answers tell false",
		`{"familyInfo":{"progressPaceUs":500000},"stats":{"how":"answers","fields":["inflight","x0"]}}`: "pace 5000, " +
			"answers tell true",
		`{"stats":{"how":"probe"}}`: "pace 0, answers tell false",
	} {
		text = `{"name":"n","listen":"l","coordinator":"c","known":{},"seed":"1","settings":{"classes":[{"name":"a",
		 "effect":"read_like"}],"limits":{"connectTimeoutUs":1,"keepaliveUs":1},` + text[1:] + `}`
		text = strings.Replace(text, ",}", "}", 1)
		config, err := readConfig(t, text)
		if err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprintf("pace %d, answers tell %v", config.Deployment.NoticeInterval, config.Network.ReportsInAnswers); got != want {
			t.Errorf("%s: got %s, want %s", text, got, want)
		}
	}
}
