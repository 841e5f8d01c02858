package wire

// Delta is the difference between the sections that the receiver holds, whose digest is Base, and the sender's present
// ones.
type Delta struct {
	Base     uint32 // 0 when there is no delta
	Sections []SectionDelta
}

// SectionDelta is the change of the section of one data centre.
type SectionDelta struct {
	DataCentre string
	Dropped    bool       // the sender no longer passes this section on
	Changed    []VMStatus // new VMs and those whose status differs
	Removed    []string   // VMs that the section no longer names
}

const deltaFields = 2

// delta encodes a missing delta as an empty array, which takes one byte in every heartbeat without a change.
func (e *Encoder) delta(diff *Delta) {
	if diff.Base == 0 {
		e.arrayLen(0)
		return
	}
	e.arrayLen(deltaFields)
	e.uint(uint64(diff.Base))
	e.arrayLen(len(diff.Sections))
	for i := range diff.Sections {
		s := &diff.Sections[i]
		e.str(s.DataCentre)
		e.boolean(s.Dropped)
		e.vmStatuses(s.Changed)
		e.arrayLen(len(s.Removed))
		for _, name := range s.Removed {
			e.str(name)
		}
	}
}

func (d *Decoder) delta() (diff Delta) {
	if d.arrayLen() < deltaFields || d.err != nil {
		return diff
	}
	diff.Base = uint32(d.uint())
	sections := d.arrayLen()
	for i := 0; i < sections && d.err == nil; i++ {
		s := SectionDelta{DataCentre: d.internedStr(), Dropped: d.uint() != 0, Changed: d.vmStatuses()}
		removed := d.arrayLen()
		for j := 0; j < removed && d.err == nil; j++ {
			s.Removed = append(s.Removed, d.internedStr())
		}
		diff.Sections = append(diff.Sections, s)
	}
	return diff
}
