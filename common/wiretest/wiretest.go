// Package wiretest helps to test that JSON messages are compatible with messages recorded from
// another build. Lost finds recorded fields that this build loses when it decodes them.
// Missing finds recorded fields that this build doesn't write, or writes with another type.
package wiretest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// filledPrefix is the prefix of the strings that Fill sets.
const filledPrefix = "s"

// Fill sets all exported fields of the struct that v points to, also in nested values, to
// values other than zero.
func Fill(v any) { fill(reflect.ValueOf(v).Elem(), 1) }

func fill(v reflect.Value, n int64) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(n, 0).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), n+int64(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		fillScalar(v, n)
	}
}

func fillScalar(v reflect.Value, n int64) {
	switch {
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprint(filledPrefix, n))
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(n)
	case v.CanUint():
		v.SetUint(uint64(n))
	case v.CanFloat():
		v.SetFloat(float64(n) + 0.5)
	}
}

// Lost decodes a recorded message into v, encodes v again, and returns the sorted paths of the
// fields that are lost or changed. It returns an error if the message can't be decoded.
func Lost(recorded []byte, v any) ([]string, error) {
	if err := json.Unmarshal(recorded, v); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	return compare(recorded, v, func(before, after any) bool { return reflect.DeepEqual(before, after) })
}

// Missing returns the sorted paths of the fields of a recorded message that v lacks or holds
// with another JSON type.
func Missing(recorded []byte, v any) ([]string, error) {
	return compare(recorded, v, func(before, after any) bool { return reflect.TypeOf(before) == reflect.TypeOf(after) })
}

func compare(recorded []byte, v any, same func(before, after any) bool) ([]string, error) {
	encoded, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	var before, after any
	if err := json.Unmarshal(recorded, &before); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	if err := json.Unmarshal(encoded, &after); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	found := differences("", before, after, same)
	slices.Sort(found)
	return found, nil
}

// differences returns the paths of values in before that are missing from after or differ there.
// The function same reports whether two values count as equal.
func differences(path string, before, after any, same func(before, after any) bool) []string {
	switch b := before.(type) {
	case map[string]any:
		if a, ok := after.(map[string]any); ok {
			return fieldDifferences(path, b, a, same)
		}
		return []string{path}
	case []any:
		if a, ok := after.([]any); ok && len(a) >= len(b) {
			return itemDifferences(path, b, a, same)
		}
		return []string{path}
	}
	if same(before, after) {
		return nil
	}
	return []string{path}
}

func fieldDifferences(path string, before, after map[string]any, same func(before, after any) bool) []string {
	var found []string
	for key, value := range before {
		other, ok := findField(after, key, len(before))
		if !ok {
			found = append(found, path+"/"+key)
			continue
		}
		found = append(found, differences(path+"/"+key, value, other, same)...)
	}
	return found
}

// findField returns the field with the given key. The parameter count is the number of keys in the
// recorded object. A sole key that starts with filledPrefix is taken for a map key that Fill set,
// and then matches any field.
func findField(fields map[string]any, key string, count int) (value any, ok bool) {
	if value, ok = fields[key]; ok || count != 1 || !strings.HasPrefix(key, filledPrefix) {
		return value, ok
	}
	for _, value = range fields {
		return value, true
	}
	return nil, false
}

func itemDifferences(path string, before, after []any, same func(before, after any) bool) []string {
	var found []string
	for i := range before {
		found = append(found, differences(fmt.Sprintf("%s/%d", path, i), before[i], after[i], same)...)
	}
	return found
}
