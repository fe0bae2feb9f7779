// Package jsonvalue reads values by path from decoded JSON. The first value that doesn't have the expected type is recorded as
// an error, which Err returns, so that callers can read many values and check for an error once.
package jsonvalue

import (
	"encoding/json"
	"fmt"
)

// Value is a decoded JSON value with a name that its errors contain. In a path to a value within it, a string is a key of an
// object and an int is an index of a list.
type Value struct {
	name string
	root any
	err  error
}

// Parse decodes a JSON object. Its error contains the name, and wraps the decoder's error if the text is not valid JSON.
func Parse(name string, text []byte) (*Value, error) {
	v := &Value{name: name}
	if err := json.Unmarshal(text, &v.root); err != nil {
		return nil, fmt.Errorf("field %s: expected a JSON object: %w", name, err)
	}
	if _, ok := v.root.(map[string]any); !ok {
		return nil, fmt.Errorf("field %s: expected a JSON object", name)
	}
	return v, nil
}

// Object returns the object at a path as a separate Value, which records its own errors. If there is no object at the path,
// the receiver records an error.
func (v *Value) Object(path ...any) *Value {
	value := v.Lookup(path...)
	if _, ok := value.(map[string]any); !ok {
		v.Fail("an object", path...)
	}
	return &Value{name: fmt.Sprint(v.name, path), root: value}
}

// Lookup returns the decoded value at a path, or nil if there is none.
func (v *Value) Lookup(path ...any) any {
	current := v.root
	for _, step := range path {
		switch step := step.(type) {
		case string:
			object, _ := current.(map[string]any)
			current = object[step]
		case int:
			list, _ := current.([]any)
			if step >= len(list) {
				return nil
			}
			current = list[step]
		}
	}
	return current
}

// Fail records an error about the value at a path, unless an error was recorded before. expected describes the expected value.
func (v *Value) Fail(expected string, path ...any) {
	if v.err == nil {
		v.err = fmt.Errorf("field %s%v: expected %s", v.name, path, expected)
	}
}

// Err returns the recorded error, which is the first one.
func (v *Value) Err() error { return v.err }

// get returns the value at a path, or the zero value if there is none or it has another type. A value of another type is an
// error.
func get[T any](v *Value, expected string, path []any) T {
	value := v.Lookup(path...)
	typed, ok := value.(T)
	if value != nil && !ok {
		v.Fail(expected, path...)
	}
	return typed
}

// Float returns the number at a path, or 0 if there is none.
func (v *Value) Float(path ...any) float64 { return get[float64](v, "a number", path) }

// Bool returns the boolean at a path, or false if there is none.
func (v *Value) Bool(path ...any) bool { return get[bool](v, "true or false", path) }

// Text returns the string at a path, or an empty one if there is none.
func (v *Value) Text(path ...any) string { return get[string](v, "a text", path) }

// List returns the list at a path, or nil if there is none.
func (v *Value) List(path ...any) []any { return get[[]any](v, "a list", path) }

// RequireText returns the string at a path. An absent or empty string is an error.
func (v *Value) RequireText(path ...any) string {
	text := v.Text(path...)
	if text == "" {
		v.Fail("a text", path...)
	}
	return text
}

// Floats returns the list of numbers at a path, or nil if there is none.
func (v *Value) Floats(path ...any) []float64 { return readEntries(v, v.Float, path) }

// Texts returns the list of strings at a path, or nil if there is none.
func (v *Value) Texts(path ...any) []string { return readEntries(v, v.Text, path) }

// readEntries calls read for the path of each entry of a list and returns the results.
func readEntries[T any](v *Value, read func(path ...any) T, path []any) (entries []T) {
	for i := range v.List(path...) {
		entries = append(entries, read(append(path[:len(path):len(path)], i)...))
	}
	return entries
}
