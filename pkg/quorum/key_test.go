package quorum

import "cmp"

// modelKey is a modelState packed without loss for logs of up to three entries.
type modelKey [3]uint64

func (s *modelState) key() modelKey {
	var k modelKey
	bits, word := 0, 0
	put := func(v uint64, n int) {
		if bits+n > 64 {
			word, bits = word+1, 0
		}
		k[word] |= v << bits
		bits += n
	}
	flag := func(v bool) {
		if v {
			put(1, 1)
		} else {
			put(0, 1)
		}
	}
	for _, e := range s.members {
		put(uint64(e.fenced), 2)
		put(uint64(e.by), 3)
		put(uint64(e.log), 10)
		flag(e.primary)
		flag(e.lost)
	}
	for t := 1; t <= modelTerms; t++ {
		put(uint64(s.logs[t]), 10)
		put(uint64(s.owner[t]), 2)
	}
	for t := 1; t < modelTerms; t++ {
		for _, p := range s.reported[t] {
			put(uint64(p), 2)
		}
	}
	for _, a := range s.attempts {
		for _, e := range a.answers {
			put(uint64(e.last), 2)
			put(uint64(e.size), 3)
			flag(e.lost)
		}
		put(uint64(a.chosen), 2)
	}
	return k
}

// canonical swaps the two attempts of a term into a fixed order. They differ by name only, so that one of two mirrored
// states stands for both.
func (s *modelState) canonical() {
	for k := 0; k < len(s.attempts); k += 2 {
		by := func(i int) uint8 { return s.members[i].by - uint8(k) } // 1: first of the pair, 2: second
		order := compareAttempts(s.attempts[k], s.attempts[k+1])
		for i := 0; order == 0 && i < modelMembers; i++ {
			if b := by(i); b == 1 || b == 2 {
				order = int(b)*2 - 3
			}
		}
		if order <= 0 {
			continue
		}
		s.attempts[k], s.attempts[k+1] = s.attempts[k+1], s.attempts[k]
		for i := range s.members {
			if b := by(i); b == 1 || b == 2 {
				s.members[i].by = uint8(k) + 3 - b
			}
		}
	}
}

func compareAttempts(a, b attemptState) int {
	for i := range a.answers {
		x, y := a.answers[i], b.answers[i]
		if c := cmp.Or(cmp.Compare(x.last, y.last), cmp.Compare(x.size, y.size)); c != 0 {
			return c
		}
	}
	return cmp.Compare(a.chosen, b.chosen)
}
