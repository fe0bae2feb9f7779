// Package configfile reads the files that operators write: Jsonnet, with units in texts ("250ms", "64MB"). Everything amiss
// is named as FILE:LINE: FIELD: expected WHAT, found WHAT; unknown fields get the nearest known name.
package configfile

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/go-jsonnet"
)

// File is one file that was evaluated.
type File struct {
	name  string
	lines *lineFinder
	errs  []fieldError
}

type fieldError struct {
	line int
	text string
}

// Read evaluates a file; imports are looked for beside it.
func Read(path string) (*File, *Object, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	return Parse(path, string(text))
}

// Parse evaluates a text that stands for a file of that name.
func Parse(name, text string) (*File, *Object, error) {
	vm := jsonnet.MakeVM()
	vm.Importer(&jsonnet.FileImporter{JPaths: []string{filepath.Dir(name)}})
	vm.MaxStack = maxDepth
	out, err := vm.EvaluateAnonymousSnippet(name, text)
	if err != nil {
		return nil, nil, errors.New(evaluatorError(err.Error()))
	}
	var root any
	if err := json.Unmarshal([]byte(out), &root); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", name, err)
	}
	f := &File{name: name, lines: newLineFinder(name, text)}
	object, ok := root.(map[string]any)
	if !ok {
		return nil, nil, fmt.Errorf("%s:1: expected an object, found %s", name, kindOf(root))
	}
	return f, f.newObject(nil, object), nil
}

// ParseJSON reads a text with nothing to evaluate, and no lines to name: errors begin with the field.
func ParseJSON(text []byte) (*Object, error) {
	var root any
	if err := json.Unmarshal(text, &root); err != nil {
		return nil, err
	}
	object, ok := root.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("expected an object, found %s", kindOf(root))
	}
	return (&File{lines: &lineFinder{}}).newObject(nil, object), nil
}

// LocateError puts the file's name and line before an error that begins with the path of a field, as in "load.parts[1].rate: expected ...".
func (f *File) LocateError(text string) string {
	path, _, _ := strings.Cut(text, ": ")
	return fmt.Sprintf("%s:%d: %s", f.name, f.lines.lineOf(parsePath(nil, path)), text)
}

// maxDepth ends a file that calls itself without end; no useful one nests deeper.
const maxDepth = 200

// evaluatorError is where an error of the evaluator says what and where; the rest is the trace of calls.
func evaluatorError(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	if len(lines) > 1 && strings.HasPrefix(lines[0], "RUNTIME ERROR") {
		return strings.TrimSpace(strings.Fields(lines[1])[0]) + ": " + strings.TrimPrefix(lines[0], "RUNTIME ERROR: ")
	}
	return lines[0]
}

func (f *File) addError(path []any, want, found string) {
	line := f.lines.lineOf(path)
	f.errs = append(f.errs, fieldError{line, fmt.Sprintf("%s%s: expected %s, found %s", f.linePrefix(line), formatPath(path), want, found)})
}

// linePrefix is the place that an error begins with; a text that is no file has none.
func (f *File) linePrefix(line int) string {
	if f.name == "" {
		return ""
	}
	return fmt.Sprintf("%s:%d: ", f.name, line)
}

func formatValue(v any) string {
	b, err := json.Marshal(v)
	if err != nil || len(b) > 60 {
		return kindOf(v)
	}
	if v == nil {
		return "nothing"
	}
	return string(b)
}

func kindOf(v any) string {
	switch v.(type) {
	case nil:
		return "nothing"
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a text"
	case float64:
		return "a number"
	}
	return "true or false"
}
