package member

import (
	"regexp"
	"strconv"
	"strings"
)

// Kinds of statements, which are the keys of Counters.ByKind.
const (
	KindEmpty    = "empty"
	KindBegin    = "begin"
	KindCommit   = "commit"
	KindRollback = "rollback"
	KindSet      = "set"
	KindShow     = "show"
	KindCreate   = "create"
	KindInsert   = "insert"
	KindUpsert   = "upsert"
	KindUpdate   = "update"
	KindDelete   = "delete"
	KindGet      = "get"    // SELECT of one key
	KindScan     = "scan"   // SELECT of a whole table
	KindCount    = "count"  // SELECT count(*)
	KindInteger  = "one"    // SELECT of an integer literal
	KindSeries   = "series" // SELECT generate_series
	KindRepeat   = "repeat" // SELECT repeat_rows
	KindSleep    = "sleep"  // SELECT sleep_ms
	KindName     = "name"   // SELECT member_name
)

// Type OIDs of parameters and columns.
const (
	oidInt8 = 20
	oidInt2 = 21
	oidInt4 = 23
	oidText = 25
)

// argument is one value in a statement: a literal or a reference to a parameter.
type argument struct {
	param   int // number of the parameter, 1 for $1; 0 for a literal
	literal string
}

// column describes a result column.
type column struct {
	name string
	oid  uint32
}

// statement is the parsed form of an SQL statement.
type statement struct {
	kind     string
	table    string
	args     []argument
	argTypes []uint32 // of args
	columns  []column // nil if the statement returns no rows
	option   string   // access mode of BEGIN, parameter name of SET and SHOW, or the integer of KindInteger
	setValue string   // new value of SET
	setLocal bool     // SET LOCAL: until the transaction ends
}

// paramTypes returns the type OIDs of the statement's parameters. Types declared by the client take precedence.
func (s *statement) paramTypes(declared []uint32) []uint32 {
	out := append([]uint32(nil), declared...)
	for i, a := range s.args {
		for len(out) < a.param {
			out = append(out, 0)
		}
		if a.param > 0 && out[a.param-1] == 0 {
			out[a.param-1] = s.argTypes[i]
		}
	}
	for i := range out {
		if out[i] == 0 {
			out[i] = oidText
		}
	}
	return out
}

// Fragments of the statement patterns: a table with optional schema, a column, and a value with optional cast.
const (
	tablePattern  = `((?:"?\w+"?\.)?"?\w+"?)`
	columnPattern = `"?(\w+)"?`
	valuePattern  = `('(?:[^']|'')*'|\$\d+|-?\d+)(?:::\w+)?`
)

// pattern recognises one form of statement. build converts the submatches of expr, the whole match first.
type pattern struct {
	expr  *regexp.Regexp
	build func(groups []string) *statement
}

// compilePattern compiles a statement pattern. In it <i> stands for a table, <f> for a column and <v> for a value, a
// space for required white space and ~ for optional white space. Patterns match whole statements in either case.
func compilePattern(expr string) *regexp.Regexp {
	expr = strings.NewReplacer("<i>", tablePattern, "<f>", columnPattern, "<v>", valuePattern, " ", `\s+`, "~", `\s*`).Replace(expr)
	return regexp.MustCompile(`(?is)^\s*` + expr + `\s*$`)
}

// patterns holds the supported statements. The first pattern that matches decides.
var patterns = []pattern{
	{compilePattern(`(?:begin|start transaction)(?: transaction| work)?(?: isolation level [a-z ]+?)?~,?~(read only|read write)?`),
		func(g []string) *statement {
			return &statement{kind: KindBegin, option: strings.ToLower(strings.Join(strings.Fields(g[1]), " "))}
		}},
	{compilePattern(`(?:commit|end)(?: transaction| work)?`), func([]string) *statement { return &statement{kind: KindCommit} }},
	{compilePattern(`(?:rollback|abort)(?: transaction| work)?`), func([]string) *statement { return &statement{kind: KindRollback} }},
	{compilePattern(`set transaction(?: isolation level [a-z ]+?)?~,?~(read only|read write)?`), func(g []string) *statement {
		return setStatement("transaction_read_only", readOnlyValue(g[1]), true)
	}},
	{compilePattern(`set session characteristics as transaction (read only|read write)`), func(g []string) *statement {
		return setStatement(paramDefaultReadOnly, readOnlyValue(g[1]), false)
	}},
	{compilePattern(`set (?:(local|session) )?"?([\w.]+)"?~(?:=|\bto\b)~(.*?)`), func(g []string) *statement {
		return setStatement(g[2], unquote(g[3]), strings.EqualFold(g[1], "local"))
	}},
	{compilePattern(`show "?([\w.]+)"?`), func(g []string) *statement {
		name := strings.ToLower(g[1])
		return &statement{kind: KindShow, option: name, columns: []column{{name, oidText}}}
	}},
	{compilePattern(`create (?:unlogged )?table .*`), func([]string) *statement { return &statement{kind: KindCreate} }},
	{compilePattern(`insert into <i>~\(~"?key"?~,~<f>~\)~values~\(~<v>~,~<v>~\)(~on conflict~\(~"?key"?~\)~do update set .*)?`),
		func(g []string) *statement {
			kind := KindInsert
			if g[5] != "" {
				kind = KindUpsert
			}
			return textStatement(kind, g[1], nil, g[3], g[4])
		}},
	{compilePattern(`update <i> set <f>~=~<v> where "?key"?~=~<v>`), func(g []string) *statement {
		return textStatement(KindUpdate, g[1], nil, g[4], g[3])
	}},
	{compilePattern(`delete from <i> where "?key"?~=~<v>`), func(g []string) *statement {
		return textStatement(KindDelete, g[1], nil, g[2])
	}},
	{compilePattern(`select count\(~\*~\) from <i>`), func(g []string) *statement {
		return &statement{kind: KindCount, table: tableName(g[1]), columns: []column{{"count", oidInt8}}}
	}},
	{compilePattern(`select "?key"?~,~<f> from <i>(?: order by "?key"?)?`), func(g []string) *statement {
		return &statement{kind: KindScan, table: tableName(g[2]), columns: []column{{"key", oidText}, {strings.ToLower(g[1]), oidText}}}
	}},
	{compilePattern(`select <f> from <i> where "?key"?~=~<v>`), func(g []string) *statement {
		return textStatement(KindGet, g[2], []column{{strings.ToLower(g[1]), oidText}}, g[3])
	}},
	{compilePattern(`select (\d+)`), func(g []string) *statement {
		return &statement{kind: KindInteger, option: g[1], columns: []column{{"?column?", oidInt8}}}
	}},
	{compilePattern(`select generate_series~\(~<v>~,~<v>~\)`), func(g []string) *statement {
		return int8Statement(KindSeries, column{"generate_series", oidInt8}, g[1], g[2])
	}},
	{compilePattern(`select repeat_rows~\(~<v>~,~<v>~\)`), func(g []string) *statement {
		return int8Statement(KindRepeat, column{"repeat_rows", oidText}, g[1], g[2])
	}},
	{compilePattern(`select sleep_ms~\(~<v>~\)`), func(g []string) *statement {
		return int8Statement(KindSleep, column{"sleep_ms", oidInt8}, g[1])
	}},
	{compilePattern(`select member_name~\(~\)`), func([]string) *statement {
		return &statement{kind: KindName, columns: []column{{"member_name", oidText}}}
	}},
}

// parseSupported parses one statement and returns an error for a statement that the emulator does not support.
func parseSupported(text string) (*statement, error) {
	st := parse(text)
	if st == nil {
		return nil, sqlErrorf(stateSyntaxError, "syntax error: statement is not supported by the emulator: %.100s", text)
	}
	return st, nil
}

// parse parses one statement without its semicolon. It returns nil when no pattern matches.
func parse(sql string) *statement {
	if strings.TrimSpace(sql) == "" {
		return &statement{kind: KindEmpty}
	}
	for _, p := range patterns {
		if g := p.expr.FindStringSubmatch(sql); g != nil {
			return p.build(g)
		}
	}
	return nil
}

func setStatement(name, value string, local bool) *statement {
	return &statement{kind: KindSet, option: strings.ToLower(name), setValue: value, setLocal: local}
}

// readOnlyValue returns the value of transaction_read_only for an access mode, or an empty string without a mode.
func readOnlyValue(mode string) string {
	switch {
	case mode == "":
		return ""
	case strings.HasSuffix(strings.ToLower(mode), "only"):
		return "on"
	default:
		return "off"
	}
}

func textStatement(kind, table string, columns []column, args ...string) *statement {
	s := &statement{kind: kind, table: tableName(table), columns: columns}
	for _, a := range args {
		s.args = append(s.args, parseArgument(a))
		s.argTypes = append(s.argTypes, oidText)
	}
	return s
}

func int8Statement(kind string, c column, args ...string) *statement {
	s := &statement{kind: kind, columns: []column{c}}
	for _, a := range args {
		s.args = append(s.args, parseArgument(a))
		s.argTypes = append(s.argTypes, oidInt8)
	}
	return s
}

func parseArgument(s string) argument {
	if n, ok := strings.CutPrefix(s, "$"); ok {
		if i, err := strconv.Atoi(n); err == nil && i > 0 {
			return argument{param: i}
		}
	}
	return argument{literal: unquote(s)}
}

func unquote(s string) string {
	if len(s) >= 2 && s[0] == '\'' && s[len(s)-1] == '\'' {
		return strings.ReplaceAll(s[1:len(s)-1], "''", "'")
	}
	return s
}

// tableName removes quotes and the schema public and folds the name to lower case. Unlike in PostgreSQL, quoted names
// are not case-sensitive either.
func tableName(s string) string {
	s = strings.TrimPrefix(strings.ReplaceAll(s, `"`, ""), "public.")
	return strings.ToLower(s)
}
