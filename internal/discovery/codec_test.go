package discovery_test

import (
	"encoding/json"
	"errors"
	"testing"

	"bramblestand/internal/discovery"
)

// The error for a malformed list has the index of the invalid entry and the JSON key of the invalid field.
func TestMalformedListNamesEntryAndField(t *testing.T) {
	for _, c := range []struct {
		name, body string
		index      int
		field      string
	}{
		{"no version", `{"whole":true,"hosts":[]}`, -1, "seq"},
		{"not said whether full", `{"seq":9,"hosts":[]}`, -1, "whole"},
		{"no name", `{"seq":9,"whole":true,"hosts":[{"host":"s-1","dial":"10.0.0.1:1","health":"Ready"},{"health":"Gone"}]}`, 1, "host"},
		{"unknown state", `{"seq":9,"whole":true,"hosts":[{"host":"s-1","health":"Well"}]}`, 0, "health"},
		{"no port", `{"seq":9,"whole":false,"hosts":[{"host":"s-1","dial":"10.0.0.1","health":"Ready"}]}`, 0, "dial"},
		{"not JSON", `<html>`, -1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, err := discovery.ParseList([]byte(c.body))
			var malformed *discovery.MalformedError
			if !errors.As(err, &malformed) || malformed.Index != c.index || malformed.Field != c.field {
				t.Errorf("error %#v, want entry %d, field %q", err, c.index, c.field)
			}
			if len(list.Endpoints) > 0 || list.Version != 0 {
				t.Errorf("list %+v together with an error, want an empty list", list)
			}
		})
	}
	_, err := discovery.ParseList([]byte(`{"seq":"9"}`))
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) || wrongType.Field != "seq" {
		t.Errorf("error %v, want an UnmarshalTypeError for the field seq", err)
	}
}
