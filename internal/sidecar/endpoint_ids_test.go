package sidecar

import "testing"

// Gossip refers to endpoints by ID, so every release must assign the same ID to a name.
func TestEndpointIDIsTheHashOfTheName(t *testing.T) {
	ids := newEndpointIDs()
	for _, c := range []struct {
		name string
		want uint32
	}{
		{"a", 0xe40c292c}, // test vectors of FNV-1a, 32 bits
		{"foobar", 0xbf9cf968},
	} {
		if got := ids.assign(c.name); got != c.want {
			t.Errorf("%q: ID %#x, want %#x", c.name, got, c.want)
		}
		if again := ids.assign(c.name); again != c.want {
			t.Errorf("%q: ID %#x the second time, want %#x", c.name, again, c.want)
		}
	}
}

// Names with the same hash get IDs of their own.
func TestEndpointIDsAreUnique(t *testing.T) {
	const first, second = "costarring", "liquid" // FNV-1a gives both 0x5e4daa9d
	ids := newEndpointIDs()
	firstID, secondID := ids.assign(first), ids.assign(second)
	if secondID != firstID+1 {
		t.Errorf("IDs %#x and %#x, want the second to follow the first", firstID, secondID)
	}
	if ids.name(firstID) != first || ids.name(secondID) != second {
		t.Errorf("names %q and %q, want %q and %q", ids.name(firstID), ids.name(secondID), first, second)
	}
	if id, ok := ids.lookup(second); !ok || id != secondID {
		t.Errorf("lookup of %q: %#x, %v", second, id, ok)
	}
	if _, ok := ids.lookup("unknown"); ok {
		t.Error("lookup finds a name without an ID")
	}
}
