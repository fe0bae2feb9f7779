// Package golden compares encodings of stored data and messages with files that an earlier version wrote. Each encoding has a file
// with its bytes and a file with the values that the earlier version encoded. So tests detect if renamed or regrouped fields no longer
// decode to the same values. The files are in testdata/format of the package that decodes them, and are never regenerated.
package golden

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const folder = "testdata/format"

// Read returns the bytes of a file in testdata/format.
func Read(t *testing.T, file string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(folder, file))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// CheckRoundTrip decodes the file NAME.form, compares the decoded values with those listed in NAME.values, and checks that encoding
// the value again yields the bytes of the file.
func CheckRoundTrip[T any](t *testing.T, name string, decode func([]byte) (T, error), encode func(T) []byte) {
	t.Helper()
	encoded := Read(t, name+".form")
	value, err := decode(encoded)
	if err != nil {
		t.Fatalf("%s: decoding what an earlier version wrote: %v", name, err)
	}
	CheckValues(t, name, value)
	reencoded := encode(value)
	if string(reencoded) != string(encoded) {
		t.Errorf("%s: encoding the decoded value yields different bytes:\nexpected %q\nfound    %q", name, encoded, reencoded)
	}
}

// CheckValues compares the result of Values for a value with the list in the file NAME.values.
func CheckValues(t *testing.T, name string, value any) {
	t.Helper()
	expected := strings.Split(strings.TrimSuffix(string(Read(t, name+".values")), "\n"), "\n")
	found := Values(value)
	for i := range max(len(expected), len(found)) {
		switch {
		case i >= len(found):
			t.Fatalf("%s: value %d: expected %s, found no more", name, i+1, expected[i])
		case i >= len(expected):
			t.Fatalf("%s: value %d: expected no more, found %s", name, i+1, found[i])
		case expected[i] != found[i]:
			t.Fatalf("%s: value %d: expected %s, found %s (values are in the order of the fields)", name, i+1, expected[i], found[i])
		}
	}
}

// Values lists the numbers, strings and booleans inside a value, in exported and unexported fields, in the order of the fields. Zero
// numbers and empty strings are left out, so that fields may be added. False booleans are listed, because only the position shows
// which field a true one belongs to.
func Values(value any) []string { return appendValues(nil, reflect.ValueOf(value)) }

func appendValues(list []string, v reflect.Value) []string {
	switch {
	case !v.IsValid():
		return list
	case v.Kind() == reflect.Bool:
		return append(list, strconv.FormatBool(v.Bool()))
	case v.IsZero() && v.Kind() != reflect.Struct && v.Kind() != reflect.Array:
		return list
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return appendValues(list, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			list = appendValues(list, v.Field(i))
		}
		return list
	case reflect.Slice, reflect.Array:
		return appendElements(list, v)
	case reflect.Map:
		return appendEntries(list, v)
	case reflect.String:
		return append(list, strconv.Quote(v.String()))
	case reflect.Float32, reflect.Float64:
		return append(list, strconv.FormatFloat(v.Float(), 'g', -1, 64))
	}
	if v.CanInt() {
		return append(list, strconv.FormatInt(v.Int(), 10))
	}
	if v.CanUint() {
		return append(list, strconv.FormatUint(v.Uint(), 10))
	}
	panic("golden: cannot list a value of kind " + v.Kind().String())
}

func appendElements(list []string, v reflect.Value) []string {
	if v.Type().Elem().Kind() == reflect.Uint8 {
		if v.IsZero() {
			return list
		}
		content := make([]byte, v.Len())
		for i := range content {
			content[i] = byte(v.Index(i).Uint())
		}
		return append(list, hex.EncodeToString(content))
	}
	for i := range v.Len() {
		list = appendValues(list, v.Index(i))
	}
	return list
}

// appendEntries lists the entries of a map in sorted order, each as the values in its key followed by those in its value.
func appendEntries(list []string, v reflect.Value) []string {
	var entries [][]string
	for _, key := range v.MapKeys() {
		entries = append(entries, appendValues(appendValues(nil, key), v.MapIndex(key)))
	}
	slices.SortFunc(entries, slices.Compare)
	return append(list, slices.Concat(entries...)...)
}

// ZeroFields lists the paths of the fields inside a value that are zero or empty. It does not look into maps and arrays.
func ZeroFields(value any) []string { return appendZeroFields(nil, "", reflect.ValueOf(value)) }

func appendZeroFields(list []string, path string, v reflect.Value) []string {
	if !v.IsValid() || v.IsZero() || v.Kind() == reflect.Slice && v.Len() == 0 {
		return append(list, path)
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return appendZeroFields(list, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			list = appendZeroFields(list, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return list
		}
		for i := range v.Len() {
			list = appendZeroFields(list, path+"["+strconv.Itoa(i)+"]", v.Index(i))
		}
	}
	return list
}

// CopyFolder copies a folder of testdata/format to one that the test may write to, and returns its path.
func CopyFolder(t *testing.T, name string) string {
	t.Helper()
	path := t.TempDir()
	if err := os.CopyFS(path, os.DirFS(filepath.Join(folder, name))); err != nil {
		t.Fatal(err)
	}
	return path
}

// DecodeJSON decodes a value and returns an error if the JSON has fields that T does not have.
func DecodeJSON[T any](content []byte) (*T, error) {
	value := new(T)
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	return value, decoder.Decode(value)
}

// EncodeJSON encodes a value. It returns nil if the value cannot be encoded.
func EncodeJSON[T any](value *T) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return content
}
