package frontend

import (
	"bytes"
	"strings"
)

// commandKind classifies a statement by its leading keyword. There is no SQL parser: all other statements are passed
// on as they are.
type commandKind uint8

const (
	kindOther commandKind = iota
	kindEmpty
	kindBegin          // BEGIN, START TRANSACTION
	kindTransactionEnd // COMMIT, END, ROLLBACK, ABORT
	kindSet
	kindSetLocal               // SET LOCAL, SET TRANSACTION, SET CONSTRAINTS
	kindSessionCharacteristics // SET SESSION CHARACTERISTICS
	kindShow
	kindReset
	kindDiscard
	kindDeallocate
	kindSessionState // PREPARE, LISTEN, UNLISTEN, LOAD: would leave state on a connection that sessions share
)

// accessMode is the access mode that a statement states.
type accessMode uint8

const (
	accessUnstated accessMode = iota
	accessReadOnly
	accessReadWrite
)

// command is what classify found in a statement.
type command struct {
	kind        commandKind
	access      accessMode
	name        string // parameter of SET, SHOW and RESET in lower case; statement of DEALLOCATE; otherwise a keyword
	value       string // value of SET
	toDefault   bool   // SET ... TO DEFAULT
	moreFollows bool   // further statements follow
	malformed   bool   // SET without = or TO
}

// answeredLocally reports whether the frontend answers the command itself. A SHOW of a parameter that the session
// does not keep goes to the member.
func (cmd *command) answeredLocally() bool {
	switch cmd.kind {
	case kindSet, kindSessionCharacteristics, kindReset, kindDiscard, kindDeallocate, kindSessionState:
		return true
	case kindShow:
		return strings.HasPrefix(cmd.name, systemParameterPrefix) || cmd.name == "application_name" || cmd.name == readOnlyParameter
	}
	return false
}

// classify returns the command that the leading keyword of a statement stands for.
func classify(text []byte) command {
	l := lexer{rest: text}
	word := l.word()
	if len(word) == 0 {
		l.skipSpace()
		if len(bytes.Trim(l.rest, ";\t\r\n ")) == 0 {
			return command{kind: kindEmpty}
		}
		return command{}
	}
	switch upperKeyword(word) {
	case "BEGIN", "START":
		cmd := command{kind: kindBegin}
		cmd.access, cmd.moreFollows = l.readAccessMode()
		return cmd
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return l.transactionEnd()
	case "SET":
		return l.set()
	case "SHOW":
		return l.namedCommand(kindShow)
	case "RESET":
		return l.namedCommand(kindReset)
	case "DISCARD":
		return l.namedCommand(kindDiscard)
	case "DEALLOCATE":
		return l.deallocate()
	case "PREPARE", "LISTEN", "UNLISTEN", "LOAD":
		return command{kind: kindSessionState, name: upperKeyword(word)}
	}
	return command{}
}

// transactionEnd reads what follows COMMIT, END, ROLLBACK or ABORT. The name of the command is the next keyword, as
// in ROLLBACK TO, AND CHAIN and PREPARED; it is empty when the command ends the transaction and does nothing else.
func (l *lexer) transactionEnd() command {
	word := upperKeyword(l.word())
	if word == "WORK" || word == "TRANSACTION" {
		word = upperKeyword(l.word())
	}
	cmd := command{kind: kindTransactionEnd, name: word}
	cmd.moreFollows = l.moreFollows()
	return cmd
}

// maxKeywordBytes bounds the words that are compared with keywords.
const maxKeywordBytes = 16

// upperKeyword returns the word in upper case, or nothing if it is too long for a keyword.
func upperKeyword(word []byte) string {
	if len(word) > maxKeywordBytes {
		return ""
	}
	return strings.ToUpper(string(word))
}

// lexer splits the text of a statement into tokens.
type lexer struct{ rest []byte }

// skipSpace skips white space and comments.
func (l *lexer) skipSpace() {
	for {
		l.rest = bytes.TrimLeft(l.rest, " \t\r\n\f\v")
		switch {
		case bytes.HasPrefix(l.rest, []byte("--")):
			i := bytes.IndexByte(l.rest, '\n')
			if i < 0 {
				i = len(l.rest) - 1
			}
			l.rest = l.rest[i+1:]
		case bytes.HasPrefix(l.rest, []byte("/*")):
			l.skipComment()
		default:
			return
		}
	}
}

// skipComment skips a block comment. Block comments nest.
func (l *lexer) skipComment() {
	depth := 0
	for len(l.rest) > 0 {
		switch {
		case bytes.HasPrefix(l.rest, []byte("/*")):
			depth++
			l.rest = l.rest[2:]
		case bytes.HasPrefix(l.rest, []byte("*/")):
			l.rest = l.rest[2:]
			if depth--; depth == 0 {
				return
			}
		default:
			l.rest = l.rest[1:]
		}
	}
}

func isWordByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '_' || b == '$' || b >= 0x80
}

// word returns the next word, or nothing when another token follows.
func (l *lexer) word() []byte {
	l.skipSpace()
	n := 0
	for n < len(l.rest) && isWordByte(l.rest[n]) {
		n++
	}
	w := l.rest[:n]
	l.rest = l.rest[n:]
	return w
}

// accept skips white space and then b, if it is next. It reports whether it was.
func (l *lexer) accept(b byte) bool {
	l.skipSpace()
	if len(l.rest) > 0 && l.rest[0] == b {
		l.rest = l.rest[1:]
		return true
	}
	return false
}

// identifier returns a possibly qualified name, in lower case except for quoted parts.
func (l *lexer) identifier() string {
	var sb strings.Builder
	for {
		if l.accept('"') {
			sb.Write(l.quotedText('"'))
		} else {
			sb.WriteString(strings.ToLower(string(l.word())))
		}
		if !l.accept('.') {
			return sb.String()
		}
		sb.WriteByte('.')
	}
}

// quotedText returns the text up to the closing quote. A doubled quote stands for one.
func (l *lexer) quotedText(quote byte) []byte {
	var out []byte
	for {
		i := bytes.IndexByte(l.rest, quote)
		if i < 0 {
			out, l.rest = append(out, l.rest...), nil
			return out
		}
		out = append(out, l.rest[:i]...)
		l.rest = l.rest[i+1:]
		if len(l.rest) == 0 || l.rest[0] != quote {
			return out
		}
		out = append(out, quote)
		l.rest = l.rest[1:]
	}
}

// readAccessMode reads transaction modes up to the end of the statement and returns the last access mode among them.
// more reports whether another statement follows.
func (l *lexer) readAccessMode() (mode accessMode, more bool) {
	afterRead := false
	for {
		w := l.word()
		switch {
		case len(w) == 0 && len(l.rest) == 0:
			return mode, false
		case len(w) == 0:
			if l.rest[0] == ';' {
				return mode, l.moreFollows()
			}
			l.rest = l.rest[1:]
		case afterRead && bytes.EqualFold(w, []byte("ONLY")):
			mode = accessReadOnly
		case afterRead && bytes.EqualFold(w, []byte("WRITE")):
			mode = accessReadWrite
		}
		afterRead = bytes.EqualFold(w, []byte("READ"))
	}
}

// moreFollows skips semicolons and reports whether anything follows them.
func (l *lexer) moreFollows() bool {
	for l.accept(';') {
	}
	return len(l.rest) > 0
}

// namedCommand reads the name that follows the keyword of a command.
func (l *lexer) namedCommand(k commandKind) command {
	cmd := command{kind: k, name: l.identifier()}
	cmd.moreFollows = l.moreFollows()
	return cmd
}

// deallocate reads what follows DEALLOCATE: [PREPARE] name.
func (l *lexer) deallocate() command {
	cmd := command{kind: kindDeallocate, name: l.identifier()}
	if cmd.name == "prepare" {
		cmd.name = l.identifier()
	}
	cmd.moreFollows = l.moreFollows()
	return cmd
}

// set reads what follows SET: [SESSION | LOCAL] name {= | TO} value.
func (l *lexer) set() command {
	name := l.identifier()
	switch name {
	case "local", "transaction", "constraints":
		cmd := command{kind: kindSetLocal, name: name}
		cmd.access, cmd.moreFollows = l.readAccessMode()
		return cmd
	case "session":
		if name = l.identifier(); name == "characteristics" {
			cmd := command{kind: kindSessionCharacteristics}
			cmd.access, cmd.moreFollows = l.readAccessMode()
			return cmd
		}
	case "time":
		l.word()
		return command{kind: kindSet, name: "timezone"}
	case "names":
		cmd := command{kind: kindSet, name: "client_encoding", value: l.value()}
		cmd.moreFollows = l.moreFollows()
		return cmd
	}
	cmd := command{kind: kindSet, name: name}
	if !l.accept('=') && !bytes.EqualFold(l.word(), []byte("TO")) {
		cmd.malformed = true
		return cmd
	}
	l.skipSpace()
	quoted := len(l.rest) > 0 && l.rest[0] == '\''
	cmd.value = l.value()
	cmd.toDefault = !quoted && strings.EqualFold(cmd.value, "DEFAULT")
	for l.accept(',') {
		cmd.value += "," + l.value()
	}
	cmd.moreFollows = l.moreFollows()
	return cmd
}

// value returns a string literal, a quoted or plain word, or a number.
func (l *lexer) value() string {
	switch {
	case l.accept('\''):
		return string(l.quotedText('\''))
	case l.accept('"'):
		return string(l.quotedText('"'))
	}
	sign := ""
	if l.accept('-') {
		sign = "-"
	}
	v := string(l.word())
	if l.accept('.') {
		v += "." + string(l.word())
	}
	return sign + v
}
