// Package configfile reads the files that operators write: Jsonnet, with units in texts ("250ms", "64MB"). All errors of a
// file are reported at once, as FILE:LINE: FIELD: expected WHAT, found WHAT; for an unknown field the nearest known name is
// suggested.
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

// File is a file that was evaluated, and collects the errors of its fields.
type File struct {
	name  string // empty: a text without a file
	lines *lineFinder
	errs  []*FieldError
}

// FieldError is an error of one field.
type FieldError struct {
	File    string // empty: the text is not from a file, and has no lines
	Line    int
	Field   string // its path, as in load.parts[1].rate
	Problem string
}

func (e *FieldError) Error() string {
	if e.File == "" {
		return e.Field + ": " + e.Problem
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Problem)
}

// Read evaluates a file; imports are looked for beside it. The object is the file's root.
func Read(path string) (*File, *Object, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	return Parse(path, string(text))
}

// Parse evaluates a text as if it were in a file of that name.
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

// ParseJSON reads a JSON text that is not from a file. Its errors name no line.
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

// LocateError puts the file's name and the field's line before the text of an error that begins with the path of a field,
// as in "load.parts[1].rate: expected ...".
func (f *File) LocateError(text string) string {
	path, _, _ := strings.Cut(text, ": ")
	return fmt.Sprintf("%s:%d: %s", f.name, f.lines.lineOf(parsePath(nil, path)), text)
}

// maxDepth bounds the nesting of calls, so that the evaluation of a file that calls itself without end fails.
const maxDepth = 200

// evaluatorError returns the place and reason of an error of the evaluator, without the trace of calls behind it.
func evaluatorError(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	if len(lines) > 1 && strings.HasPrefix(lines[0], "RUNTIME ERROR") {
		return strings.TrimSpace(strings.Fields(lines[1])[0]) + ": " + strings.TrimPrefix(lines[0], "RUNTIME ERROR: ")
	}
	return lines[0]
}

// addError notes that a field is not what was expected.
func (f *File) addError(path []pathStep, want, found string) {
	f.addProblem(path, fmt.Sprintf("expected %s, found %s", want, found))
}

func (f *File) addProblem(path []pathStep, problem string) {
	f.errs = append(f.errs, &FieldError{File: f.name, Line: f.lines.lineOf(path), Field: formatPath(path), Problem: problem})
}

// nothing stands for the value of a field that is absent.
const nothing = "nothing"

// maxShownValue is the length up to which errors show a value; of a longer one they show the kind.
const maxShownValue = 60

func formatValue(value any) string {
	if value == nil {
		return nothing
	}
	text, err := json.Marshal(value)
	if err != nil || len(text) > maxShownValue {
		return kindOf(value)
	}
	return string(text)
}

func kindOf(value any) string {
	switch value.(type) {
	case nil:
		return nothing
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
