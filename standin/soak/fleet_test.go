package soak

import "testing"

func TestReservedAddressesDiffer(t *testing.T) {
	const count = 400 // of some 14,000 ports, so that repeated ones are nearly certain
	values := make([]string, count)
	addresses := make([]*string, count)
	for i := range values {
		addresses[i] = &values[i]
	}
	if err := reserveAddresses("127.1.0.1", addresses...); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, address := range values {
		if seen[address] {
			t.Fatalf("%s was reserved twice", address)
		}
		seen[address] = true
	}
}
