package member

import "strings"

// splitStatements returns the non-empty statements of a query. It ignores semicolons and comment markers inside quotes
// and replaces each comment by a space.
func splitStatements(sql string) []string {
	var out []string
	var b strings.Builder
	flush := func() {
		if s := strings.TrimSpace(b.String()); s != "" {
			out = append(out, s)
		}
		b.Reset()
	}
	for i := 0; i < len(sql); {
		n := tokenLength(sql[i:])
		switch token := sql[i : i+n]; {
		case token == ";":
			flush()
		case strings.HasPrefix(token, "--"), strings.HasPrefix(token, "/*"):
			b.WriteByte(' ')
		default:
			b.WriteString(token)
		}
		i += n
	}
	flush()
	return out
}

// tokenLength returns the length of the quoted text or comment at the start of s, or 1 when s starts with neither.
func tokenLength(s string) int {
	until := func(start int, end string) int {
		if i := strings.Index(s[start:], end); i >= 0 {
			return start + i + len(end)
		}
		return len(s)
	}
	switch {
	case s[0] == '\'' || s[0] == '"':
		return until(1, s[:1])
	case strings.HasPrefix(s, "--"):
		return until(2, "\n")
	case strings.HasPrefix(s, "/*"):
		return until(2, "*/")
	default:
		return 1
	}
}
