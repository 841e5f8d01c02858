package member

import "testing"

// BenchmarkParse measures parsing a statement whose pattern is near the end of the list.
func BenchmarkParse(b *testing.B) {
	for b.Loop() {
		if parse("SELECT value FROM t WHERE key = 'some key of usual length'") == nil {
			b.Fatal("statement is not recognised")
		}
	}
}
