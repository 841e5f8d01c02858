package frontend

import (
	"encoding/binary"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// add appends one message to the unit. done is true when the unit is complete.
func (c *session) add(typ byte, body []byte) (done bool, err error) {
	a := &c.w.asm
	a.begun, a.flush = true, false
	switch {
	case typ == 'd', typ == 'c', typ == 'f':
		return false, nil // left over from a COPY that was refused
	case typ == 'H':
		a.flush = !a.skip
		return false, nil
	case typ == 'S':
		a.last = 'S'
		a.check(typ, body)
		a.msgs = appendRaw(a.msgs, typ, body)
		return true, nil
	case a.skip:
		return false, nil
	case len(a.msgs)+len(body) > maxUnitBytes:
		return false, errkind.New(errkind.ProtocolViolation, "unit exceeds %d bytes", maxUnitBytes)
	}
	a.check(typ, body)
	if typ == 'Q' || typ == 'F' {
		a.addSimple(typ, body)
		return true, nil
	}
	if a.refuse == nil {
		a.refuse = c.addExtended(typ, body)
	}
	return false, nil
}

// addSimple takes in a Query, or a FunctionCall, which is refused. Either is a unit of its own.
func (a *assembly) addSimple(typ byte, body []byte) {
	a.last = typ
	if typ == 'F' {
		a.refuse = errkind.New(errkind.Unsupported, "function call messages are not supported")
		return
	}
	a.execute = true
	a.query(cstring(body))
	a.msgs = appendRaw(a.msgs, typ, body)
}

// check refuses the unit if the message is malformed.
func (a *assembly) check(typ byte, body []byte) {
	if a.refuse == nil && !wellFormed(typ, body) {
		a.refuse = errkind.New(errkind.ProtocolViolation, "malformed message of type %q", typ)
	}
}

func appendRaw(dst []byte, typ byte, body []byte) []byte {
	dst = binary.BigEndian.AppendUint32(append(dst, typ), uint32(4+len(body)))
	return append(dst, body...)
}

// query notes the command of a simple query.
func (a *assembly) query(text []byte) {
	a.note(classify(text))
	a.side(a.cmd.local())
}

// note keeps the unit's leading command; of several, a BEGIN decides the access mode.
func (a *assembly) note(m command) {
	if a.cmd.kind == kindOther || m.kind == kindBegin {
		a.cmd = m
	}
}

// addExtended appends a message of the extended protocol with statement names rewritten.
func (c *session) addExtended(typ byte, body []byte) error {
	switch typ {
	case 'P':
		name, rest, ok := cutString(body)
		if !ok {
			return errkind.New(errkind.ProtocolViolation, "malformed Parse")
		}
		return c.addParse(name, rest)
	case 'B':
		portal, rest, ok := cutString(body)
		name, rest, ok2 := cutString(rest)
		if !ok || !ok2 {
			return errkind.New(errkind.ProtocolViolation, "malformed Bind")
		}
		return c.addReference(typ, portal, true, name, rest)
	case 'D', 'C':
		return c.addDescribeOrClose(typ, body)
	}
	c.w.asm.execute = true
	c.w.asm.msgs = appendRaw(c.w.asm.msgs, typ, body)
	return nil
}

func (c *session) addDescribeOrClose(typ byte, body []byte) error {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
		return errkind.New(errkind.ProtocolViolation, "malformed Describe or Close")
	}
	name, rest, ok := cutString(body[1:])
	switch {
	case !ok:
		return errkind.New(errkind.ProtocolViolation, "malformed Describe or Close")
	case body[0] == 'P':
		c.w.asm.msgs = appendRaw(c.w.asm.msgs, typ, body)
		return nil
	case typ == 'C':
		c.addClose(name)
		return nil
	}
	return c.addReference(typ, body[:1], false, name, rest)
}

func (c *session) addParse(name, rest []byte) error {
	a := &c.w.asm
	if len(name) == 0 {
		m := classify(cstring(rest))
		a.note(m)
		a.unnamed = true
		c.setUnnamed(rest)
		a.side(m.local())
		a.msgs = appendNamed(a.msgs, 'P', "", "", rest)
		return nil
	}
	st, err := c.addStatement(string(name), rest)
	if err != nil {
		return err
	}
	a.parsed = append(a.parsed, string(name))
	a.note(st.cmd)
	a.side(st.cmd.local())
	if st.cmd.local() {
		a.msgs = appendNamed(a.msgs, 'P', "", string(name), rest)
		return nil
	}
	a.msgs = append(a.msgs, st.parse...)
	return nil
}

// side notes whether a message is answered here or by the executor.
func (a *assembly) side(local bool) {
	if local {
		a.local = true
	} else {
		a.remote = true
	}
}

// addReference appends a Bind or Describe of a statement. prefix is what precedes the statement's name.
func (c *session) addReference(typ byte, prefix []byte, terminated bool, name, rest []byte) error {
	a := &c.w.asm
	backendName := ""
	if len(name) > 0 || !a.unnamed {
		st, err := c.lookup(name)
		if err != nil {
			return err
		}
		a.note(st.cmd)
		a.side(st.cmd.local())
		if st.cmd.local() {
			backendName = string(name)
		} else {
			backendName = st.name
			c.w.use(st, a.wasParsed(name))
		}
	}
	n := 4 + len(prefix) + len(backendName) + 1 + len(rest)
	if terminated {
		n++
	}
	a.msgs = binary.BigEndian.AppendUint32(append(a.msgs, typ), uint32(n))
	a.msgs = append(a.msgs, prefix...)
	if terminated {
		a.msgs = append(a.msgs, 0)
	}
	a.msgs = append(append(a.msgs, backendName...), 0)
	a.msgs = append(a.msgs, rest...)
	return nil
}

// wasParsed reports whether this unit parses the named statement.
func (a *assembly) wasParsed(name []byte) bool {
	for _, p := range a.parsed { // slices.Contains would allocate the string for each statement
		if p == string(name) {
			return true
		}
	}
	return false
}

// use lists a statement that the executor may have to prepare first.
func (w *work) use(st *statement, parsedHere bool) {
	if parsedHere {
		return
	}
	for i := range w.unit.Statements {
		if w.unit.Statements[i].Name == st.name {
			return
		}
	}
	w.unit.Statements = append(w.unit.Statements, unit.Statement{Name: st.name, Parse: st.parse})
}

// addClose ends the session's use of a statement. The shared one may stay prepared at the member, so the message is
// rewritten to close nothing; it keeps its place among the answers.
func (c *session) addClose(name []byte) {
	if len(name) == 0 {
		c.srv.shared.release(c.unnamed)
		c.unnamed, c.unnamedRest = nil, nil
	} else {
		c.dropStatement(string(name))
	}
	c.w.asm.msgs = appendNamed(c.w.asm.msgs, 'C', "S", noStatement, nil)
}
