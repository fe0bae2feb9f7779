// Package jsonvalue reads values by path out of decoded JSON. The first value that is not of the expected type is kept as an
// error until it is asked for, so that many values can be read in a row.
package jsonvalue

import (
	"encoding/json"
	"fmt"
)

// Value is a JSON value with a name, by which its errors name it. A path into it has a string for a key of an object, and an
// int for an index of a list.
type Value struct {
	name string
	root any
	err  error
}

// Parse decodes a JSON object. Its error names the value, and wraps the decoder's if the text is no JSON.
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

// Object returns the object at a path as a value of its own, which keeps its own error. An absent or other value is an error
// of the receiver.
func (v *Value) Object(path ...any) *Value {
	at := v.Lookup(path...)
	if _, ok := at.(map[string]any); !ok {
		v.Fail("an object", path...)
	}
	return &Value{name: fmt.Sprint(v.name, path), root: at}
}

// Lookup returns the decoded value at a path, and nil if there is none.
func (v *Value) Lookup(path ...any) any {
	at := v.root
	for _, step := range path {
		switch step := step.(type) {
		case string:
			object, _ := at.(map[string]any)
			at = object[step]
		case int:
			list, _ := at.([]any)
			if step >= len(list) {
				return nil
			}
			at = list[step]
		}
	}
	return at
}

// Fail records what was expected at a path, unless an error was recorded before.
func (v *Value) Fail(expected string, path ...any) {
	if v.err == nil {
		v.err = fmt.Errorf("field %s%v: expected %s", v.name, path, expected)
	}
}

// Err returns the first error that was recorded.
func (v *Value) Err() error { return v.err }

// get returns the value at a path, and the zero value if there is none or it is of another type. The latter is an error.
func get[T any](v *Value, expected string, path []any) T {
	at := v.Lookup(path...)
	typed, ok := at.(T)
	if at != nil && !ok {
		v.Fail(expected, path...)
	}
	return typed
}

// Float returns a number, 0 if there is none.
func (v *Value) Float(path ...any) float64 { return get[float64](v, "a number", path) }

// Bool returns a boolean, false if there is none.
func (v *Value) Bool(path ...any) bool { return get[bool](v, "true or false", path) }

// Text returns a string, empty if there is none.
func (v *Value) Text(path ...any) string { return get[string](v, "a text", path) }

// List returns a list, nil if there is none.
func (v *Value) List(path ...any) []any { return get[[]any](v, "a list", path) }

// RequireText returns a string. An absent or empty one is an error.
func (v *Value) RequireText(path ...any) string {
	text := v.Text(path...)
	if text == "" {
		v.Fail("a text", path...)
	}
	return text
}

// Floats returns a list of numbers, nil if there is none.
func (v *Value) Floats(path ...any) []float64 { return each(v, v.Float, path) }

// Texts returns a list of strings, nil if there is none.
func (v *Value) Texts(path ...any) []string { return each(v, v.Text, path) }

// each reads the entries of a list one by one.
func each[T any](v *Value, read func(path ...any) T, path []any) (entries []T) {
	for i := range v.List(path...) {
		entries = append(entries, read(append(path[:len(path):len(path)], i)...))
	}
	return entries
}
