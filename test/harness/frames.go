package harness

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// record makes RequireCompatible write the recordings that it otherwise reads. They are
// made by the last landed build.
var record = flag.Bool("harness.record", false, "record the frames of this build")

// fillDepth bounds the nesting of what Fill fills.
const fillDepth = 8

// Fill returns a value of the type in which each exported field, element and pointer is set.
func Fill[T any]() *T {
	value := new(T)
	fill(reflect.ValueOf(value).Elem(), fillDepth)
	return value
}

func fill(v reflect.Value, depth int) {
	if depth == 0 || !v.CanSet() {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), depth-1)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), depth-1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), depth-1)
	case reflect.Map:
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, depth-1)
		fill(element, depth-1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1.5)
	default:
		if v.CanInt() {
			v.SetInt(1)
		}
		if v.CanUint() {
			v.SetUint(1)
		}
	}
}

// RequireCompatible checks a frame with all fields set against the recording of the last
// landed build at path, which is returned: each key that both builds use must have the same
// type. Keys that only one of them uses are ignored by the other.
func RequireCompatible(tb testing.TB, path string, frame []byte) (recorded []byte) {
	tb.Helper()
	if *record {
		require.NoError(tb, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(tb, os.WriteFile(path, frame, 0o600))
	}
	recorded, err := os.ReadFile(path)
	require.NoError(tb, err)
	var before, now any
	require.NoError(tb, cbor.Unmarshal(recorded, &before))
	require.NoError(tb, cbor.Unmarshal(frame, &now))
	requireSameTypes(tb, "", before, now)
	return recorded
}

func requireSameTypes(tb testing.TB, at string, before, now any) {
	tb.Helper()
	require.IsType(tb, before, now, "type of %s", at)
	switch before := before.(type) {
	case map[any]any:
		for key, value := range before {
			if other, ok := now.(map[any]any)[key]; ok {
				requireSameTypes(tb, at+"/"+reflect.ValueOf(key).String(), value, other)
			}
		}
	case []any:
		for i, other := range now.([]any)[:min(len(before), len(now.([]any)))] {
			requireSameTypes(tb, at+"/[]", before[i], other)
		}
	}
}
