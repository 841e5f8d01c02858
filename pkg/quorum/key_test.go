package quorum

import "cmp"

// modelKey is a modelState packed into 192 bits, without loss for logs of up to three entries.
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
	for _, member := range s.members {
		put(uint64(member.fencedTerm), 2)
		put(uint64(member.fencedBy), 3)
		put(uint64(member.log), 10)
		flag(member.primary)
		flag(member.stateLost)
	}
	for t := 1; t <= modelTerms; t++ {
		put(uint64(s.primaryLogs[t]), 10)
		put(uint64(s.primaries[t]), 2)
	}
	for t := 1; t < modelTerms; t++ {
		for _, p := range s.countedPositions[t] {
			put(uint64(p), 2)
		}
	}
	for _, a := range s.attempts {
		for _, answer := range a.answers {
			put(uint64(answer.lastTerm), 2)
			put(uint64(answer.lengthPlusOne), 3)
			flag(answer.stateLost)
		}
		put(uint64(a.chosen), 2)
	}
	return k
}

// canonicalize puts the two attempts of a term into a fixed order. The two differ only in their ID. Of two states in
// which they are swapped, it is therefore enough to explore one.
func (s *modelState) canonicalize() {
	for k := 0; k < len(s.attempts); k += 2 {
		// holder returns which attempt of the pair set the fence of member i; 1: the first, 2: the second, others:
		// none of them.
		holder := func(i int) uint8 { return s.members[i].fencedBy - uint8(k) }
		order := compareAttempts(s.attempts[k], s.attempts[k+1])
		for i := 0; order == 0 && i < modelMembers; i++ {
			if b := holder(i); b == 1 || b == 2 {
				order = int(b)*2 - 3
			}
		}
		if order <= 0 {
			continue
		}
		s.attempts[k], s.attempts[k+1] = s.attempts[k+1], s.attempts[k]
		for i := range s.members {
			if b := holder(i); b == 1 || b == 2 {
				s.members[i].fencedBy = uint8(k) + 3 - b
			}
		}
	}
}

// compareAttempts orders attempts by their answers, then by the chosen member.
func compareAttempts(a, b attemptState) int {
	for i := range a.answers {
		x, y := a.answers[i], b.answers[i]
		if c := cmp.Or(cmp.Compare(x.lastTerm, y.lastTerm), cmp.Compare(x.lengthPlusOne, y.lengthPlusOne)); c != 0 {
			return c
		}
	}
	return cmp.Compare(a.chosen, b.chosen)
}
