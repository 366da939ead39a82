package simwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"bramblestand/balancer"
)

// maxListItems is the maximum length of a list of objects in a settings text.
const maxListItems = 256

// settingsText holds the key=value pairs of a settings text and the first error met while values are read. In its methods, a
// parameter called field is the name of a field of balancer.Settings, and one called key is a key of the text.
type settingsText struct {
	values map[string]string
	err    error
}

// splitSettings splits a settings text into its pairs, one per line. If a key is repeated, its last value is used.
func splitSettings(text string) (*settingsText, error) {
	t := &settingsText{values: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, &balancer.SettingError{Key: fmt.Sprintf("line %d", i+1), Value: line,
				Reason: "not of the form path=value"}
		}
		t.values[key] = value
	}
	return t, nil
}

// fail records an error. Only the first one is kept.
func (t *settingsText) fail(key, value, reason string) {
	if t.err == nil {
		t.err = &balancer.SettingError{Key: key, Value: value, Reason: reason}
	}
}

// parseValue returns the value of a key, or fallback if the key is absent. If the value cannot be parsed, it records the error
// "not <expected>" and returns fallback.
func parseValue[T any](t *settingsText, key string, fallback T, expected string, parse func(string) (T, error)) T {
	text, ok := t.values[key]
	if !ok {
		return fallback
	}
	value, err := parse(text)
	if err != nil {
		t.fail(key, text, "not "+expected)
		return fallback
	}
	return value
}

// text returns the text of a field, or "" if the field is absent.
func (t *settingsText) text(field string) string { return t.values[mustSettingKey(field)] }

// number returns the value of a field that must be a finite number.
func (t *settingsText) number(field string, fallback float64) float64 {
	return parseValue(t, mustSettingKey(field), fallback, "a finite number", func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
			err = strconv.ErrRange
		}
		return value, err
	})
}

// integer returns the value of a field that must be a whole number. Durations are whole numbers of microseconds.
func (t *settingsText) integer(field string, fallback int64) int64 {
	return parseValue(t, mustSettingKey(field), fallback, "a whole number", parseInteger)
}

func parseInteger(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) }

// bool returns the value of a field that must be true or false.
func (t *settingsText) bool(field string, fallback bool) bool {
	return parseValue(t, mustSettingKey(field), fallback, "true or false", strconv.ParseBool)
}

// enum returns the value that words assigns to the text of a field. A text that is not in words is an error.
func enum[T any](t *settingsText, field string, fallback T, words map[string]T) T {
	return enumAt(t, mustSettingKey(field), fallback, words)
}

// enumAt is enum for a key in place of a field.
func enumAt[T any](t *settingsText, key string, fallback T, words map[string]T) T {
	return parseValue(t, key, fallback, "a known word", func(text string) (T, error) {
		if meaning, ok := words[text]; ok {
			return meaning, nil
		}
		return fallback, strconv.ErrSyntax
	})
}

// require records an error if a key is absent.
func (t *settingsText) require(key string) {
	if _, ok := t.values[key]; !ok {
		t.fail(key, "", "is missing")
	}
}

// countKey returns the key for the length of a list of objects.
func countKey(field string) string { return mustSettingKey(field) + ".count" }

// listLength returns the length of a list of objects. It records an error if the length is out of range or if there is no key
// for one of the objects.
func (t *settingsText) listLength(field string) int {
	countKey := countKey(field)
	length := parseValue(t, countKey, 0, "a whole number", parseInteger)
	lengthText := strconv.FormatInt(length, 10)
	if length < 0 || length > maxListItems {
		t.fail(countKey, lengthText, "out of range")
		return 0
	}
	for i := range int(length) {
		item := fmt.Sprintf("%s.%d", mustSettingKey(field), i)
		if !t.hasKeyUnder(item + ".") {
			t.fail(countKey, lengthText, item+" is missing")
		}
	}
	return int(length)
}

func (t *settingsText) hasKeyUnder(prefix string) bool {
	for key := range t.values {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// itemCount returns the length of a list of plain values, given as comma-separated text.
func itemCount(list string) int {
	if list == "" {
		return 0
	}
	return strings.Count(list, ",") + 1
}
