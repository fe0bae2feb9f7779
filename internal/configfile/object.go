package configfile

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Object is an object in a file. A field name is known once a method has read that field. Validate rejects fields with unknown
// names.
type Object struct {
	file     *File
	path     []pathStep
	value    map[string]any
	known    map[string]bool // the names of the fields that methods have read
	children []*Object
}

func (f *File) newObject(path []pathStep, value map[string]any) *Object {
	return &Object{file: f, path: path, value: value, known: map[string]bool{}}
}

// Validate adds an error for each unknown field of this object and of the objects within it. It returns all errors of the
// file up to now, joined: *FieldErrors in the order of their lines.
func (o *Object) Validate() error {
	o.rejectUnknown()
	fieldErrors := o.file.errs
	sort.SliceStable(fieldErrors, func(i, j int) bool { return fieldErrors[i].Line < fieldErrors[j].Line })
	errs := make([]error, len(fieldErrors))
	for i, err := range fieldErrors {
		errs[i] = err
	}
	return errors.Join(errs...)
}

func (o *Object) rejectUnknown() {
	var names []string
	for name := range o.value {
		if !o.known[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		want := "no such field"
		if nearest := nearestName(name, o.known); nearest != "" {
			want = fmt.Sprintf("%q (the nearest known name)", nearest)
		}
		o.file.addError(o.fieldPath(name), want, strconv.Quote(name))
	}
	for _, child := range o.children {
		child.rejectUnknown()
	}
}

func (o *Object) fieldPath(name string) []pathStep {
	return append(o.path[:len(o.path):len(o.path)], pathStep{name: name})
}

// RawValue returns a field's decoded value, or nil if the field is absent.
func (o *Object) RawValue(name string) any {
	o.known[name] = true
	return o.value[name]
}

// Reject adds an error for a field's value. want describes the value that the caller expected.
func (o *Object) Reject(name, want string) {
	o.file.addError(o.fieldPath(name), want, formatValue(o.value[name]))
}

// RejectError adds an error that another check returned. The error's text must begin with the field's path relative to this
// object, as in "parts[1].rate: expected ...".
func (o *Object) RejectError(err error) {
	path, problem, _ := strings.Cut(err.Error(), ": ")
	o.file.addProblem(parsePath(o.path, path), problem)
}

// HasField reports whether a field is present and not null.
func (o *Object) HasField(name string) bool {
	o.known[name] = true
	return o.value[name] != nil
}

// Object returns the object in a field, or nil if the field is absent.
func (o *Object) Object(name string) *Object {
	value, ok := getField[map[string]any](o, name, "an object")
	if !ok {
		return nil
	}
	child := o.file.newObject(o.fieldPath(name), value)
	o.children = append(o.children, child)
	return child
}

// Objects returns the objects in a field that is a list. The result is empty if the field is absent.
func (o *Object) Objects(name string) (objects []*Object) {
	list, _ := getField[[]any](o, name, "a list of objects")
	for i, raw := range list {
		path := append(o.fieldPath(name), pathStep{index: i, isIndex: true})
		value, ok := raw.(map[string]any)
		if !ok {
			o.file.addError(path, "an object", formatValue(raw))
			continue
		}
		child := o.file.newObject(path, value)
		o.children = append(o.children, child)
		objects = append(objects, child)
	}
	return objects
}
