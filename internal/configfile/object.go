package configfile

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Object is an object in a file; what it asks for becomes the names that it knows.
type Object struct {
	file     *File
	path     []any
	value    map[string]any
	known    map[string]bool
	children []*Object
}

func (f *File) newObject(path []any, value map[string]any) *Object {
	return &Object{file: f, path: path, value: value, known: map[string]bool{}}
}

// Validate is all that was amiss, in the order of lines; it looks for unknown fields of the objects that were asked.
func (o *Object) Validate() error {
	f := o.file
	o.rejectUnknown()
	sort.SliceStable(f.errs, func(i, j int) bool { return f.errs[i].line < f.errs[j].line })
	var errs []error
	for _, p := range f.errs {
		errs = append(errs, errors.New(p.text))
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
		if near := nearestName(name, o.known); near != "" {
			want = fmt.Sprintf("%q (the nearest known name)", near)
		}
		o.file.addError(o.fieldPath(name), want, strconv.Quote(name))
	}
	for _, kid := range o.children {
		kid.rejectUnknown()
	}
}

func (o *Object) fieldPath(name string) []any { return append(o.path[:len(o.path):len(o.path)], name) }

// RawValue is a field's value as it is.
func (o *Object) RawValue(name string) any {
	o.known[name] = true
	return o.value[name]
}

// Reject notes what was expected of a field, for what only the caller can tell.
func (o *Object) Reject(name, want string) {
	o.file.addError(o.fieldPath(name), want, formatValue(o.value[name]))
}

// RejectError notes what another check found, whose error begins with the path of the field, as in "load.parts[1].rate:
// expected ...".
func (o *Object) RejectError(err error) {
	path, text, _ := strings.Cut(err.Error(), ": ")
	at := parsePath(o.path, path)
	line := o.file.lines.lineOf(at)
	o.file.errs = append(o.file.errs, fieldError{line, o.file.linePrefix(line) + formatPath(at) + ": " + text})
}

// HasField tells whether a field is there.
func (o *Object) HasField(name string) bool {
	o.known[name] = true
	return o.value[name] != nil
}

// Object is an object, nil where there is none.
func (o *Object) Object(name string) *Object {
	v, ok := getField[map[string]any](o, name, "an object")
	if !ok {
		return nil
	}
	kid := o.file.newObject(o.fieldPath(name), v)
	o.children = append(o.children, kid)
	return kid
}

// Objects is a list of objects.
func (o *Object) Objects(name string) (out []*Object) {
	list, _ := getField[[]any](o, name, "a list of objects")
	for i, raw := range list {
		path := append(o.fieldPath(name), i)
		v, ok := raw.(map[string]any)
		if !ok {
			o.file.addError(path, "an object", formatValue(raw))
			continue
		}
		kid := o.file.newObject(path, v)
		o.children = append(o.children, kid)
		out = append(out, kid)
	}
	return out
}
