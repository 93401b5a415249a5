package core

import "testing"

func TestEveryKindHasARow(t *testing.T) {
	seen := map[string]bool{}
	for _, kind := range Kinds() {
		row := AnswerTo(kind)
		if row.Name == "" || row.Status == 0 || seen[row.Name] {
			t.Errorf("kind %d has no row of its own: %+v", kind, row)
		}
		seen[row.Name] = true
	}
}

func TestFingerprintSeparatesParts(t *testing.T) {
	a := FingerprintOf([]byte("ab"), []byte("c"))
	b := FingerprintOf([]byte("a"), []byte("bc"))
	if a == b {
		t.Error("different lists of parts have the same fingerprint")
	}
}
