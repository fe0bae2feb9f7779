// Package configfile reads configuration files that operators write in Jsonnet. Times and sizes are strings with a unit
// ("250ms", "64MB"). All errors in the fields of a file are reported together, each in the format FILE:LINE: FIELD: expected
// WHAT, found WHAT. The error for an unknown field suggests the most similar known name.
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

// File is an evaluated file. It collects the errors in its fields.
type File struct {
	name  string // empty: the text is not from a file
	lines *lineFinder
	errs  []*FieldError
}

// FieldError is an error in one field.
type FieldError struct {
	File    string // empty: the text is not from a file, and Line means nothing
	Line    int
	Field   string // path of the field, for example load.parts[1].rate
	Problem string
}

func (e *FieldError) Error() string {
	if e.File == "" {
		return e.Field + ": " + e.Problem
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Problem)
}

// Read evaluates a file and returns it with its root object. Imports are resolved relative to the file's directory.
func Read(path string) (*File, *Object, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	return Parse(path, string(text))
}

// Parse evaluates a text as if it were the content of a file with the given name.
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
		return nil, nil, fmt.Errorf("%s:1: expected an object, found %s", name, describeType(root))
	}
	return f, f.newObject(nil, object), nil
}

// ParseJSON reads a JSON object that is not from a file. Its errors contain no line.
func ParseJSON(text []byte) (*Object, error) {
	var root any
	if err := json.Unmarshal(text, &root); err != nil {
		return nil, err
	}
	object, ok := root.(map[string]any)
	if !ok {
		return nil, fmt.Errorf("expected an object, found %s", describeType(root))
	}
	return (&File{lines: &lineFinder{}}).newObject(nil, object), nil
}

// LocateError prefixes the text of an error with the file's name and the line of a field. The text must begin with the
// field's path, as in "load.parts[1].rate: expected ...".
func (f *File) LocateError(text string) string {
	path, _, _ := strings.Cut(text, ": ")
	return fmt.Sprintf("%s:%d: %s", f.name, f.lines.lineOf(parsePath(nil, path)), text)
}

// maxDepth limits the depth of nested calls, so that the evaluation of a file with an endless recursion fails. It also limits
// the search for the line of a field.
const maxDepth = 200

// evaluatorError shortens the text of an evaluator's error to the position and the reason, without the stack trace.
func evaluatorError(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	if len(lines) > 1 && strings.HasPrefix(lines[0], "RUNTIME ERROR") {
		return strings.TrimSpace(strings.Fields(lines[1])[0]) + ": " + strings.TrimPrefix(lines[0], "RUNTIME ERROR: ")
	}
	return lines[0]
}

// addError records that a field has another value than expected.
func (f *File) addError(path []pathStep, want, found string) {
	f.addProblem(path, fmt.Sprintf("expected %s, found %s", want, found))
}

func (f *File) addProblem(path []pathStep, problem string) {
	f.errs = append(f.errs, &FieldError{File: f.name, Line: f.lines.lineOf(path), Field: formatPath(path), Problem: problem})
}

// absentValue describes the value of an absent field in errors.
const absentValue = "nothing"

// maxShownValueBytes is the maximum length in bytes of a value that errors show. For a longer value they show its type.
const maxShownValueBytes = 60

func formatValue(value any) string {
	if value == nil {
		return absentValue
	}
	text, err := json.Marshal(value)
	if err != nil || len(text) > maxShownValueBytes {
		return describeType(value)
	}
	return string(text)
}

func describeType(value any) string {
	switch value.(type) {
	case nil:
		return absentValue
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
