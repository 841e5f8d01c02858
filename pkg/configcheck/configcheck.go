// Package configcheck looks for what is wrong with a configuration that every daemon would apply: entries that can never
// match, and limits that contradict each other. It does no I/O. What a daemon refuses is found by clusterconfig.Parse, which
// the daemons use too.
package configcheck

import (
	"bytes"
	"fmt"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// Finding is one thing that is probably not meant.
type Finding struct {
	Path    string `json:"path"`           // of the entry, such as classes[2].target
	Line    int    `json:"line,omitempty"` // of the entry's name, 0 if it is not found
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// shortestReplicaAge is the age of a replica's data below which reads nearly always go to the primary: an idle service is
// polled less often.
const shortestReplicaAge = 400 * time.Millisecond

// Check parses a document as the daemons do and returns what is probably not meant. An error means that no daemon would apply
// the document.
func Check(data []byte) (*clusterconfig.Document, []Finding, error) {
	doc, err := clusterconfig.Parse(data)
	if err != nil {
		return nil, nil, err
	}
	c := checker{doc: doc, data: data}
	c.checkClasses()
	c.checkRoutes()
	c.checkTeams()
	return doc, c.findings, nil
}

type checker struct {
	doc      *clusterconfig.Document
	data     []byte
	findings []Finding
}

// add adds a finding about the entry with the given name in a list of the document.
func (c *checker) add(list, name, path, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Line: c.lineOf(list, name), Remedy: remedy, Message: fmt.Sprintf(format, args...)})
}

// lineOf returns the line of the first place after the key of the list at which the name stands.
func (c *checker) lineOf(list, name string) int {
	start := bytes.Index(c.data, []byte(`"`+list+`"`))
	if start < 0 {
		return 0
	}
	offset := bytes.Index(c.data[start:], []byte(`"`+name+`"`))
	if offset < 0 {
		return 0
	}
	return 1 + bytes.Count(c.data[:start+offset], []byte("\n"))
}

func (c *checker) checkClasses() {
	used := map[string]bool{c.doc.Default: true}
	for _, r := range c.doc.Routes {
		used[r.Class] = true
	}
	for i, class := range c.doc.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		if len(c.doc.Routes) > 0 && !used[class.Name] {
			c.add("classes", class.Name, path, "remove the class, or name it in a route", "class %q is named by no route and is not the default", class.Name)
		}
		switch {
		case !class.MaxAge.Stated():
		case class.Consistency == clusterconfig.ConsistencyPrimary:
			c.add("classes", class.Name, path+".maxAge", "remove maxAge, or choose another consistency",
				"class %q reads from the primary, so that its maximum age of %v has no effect", class.Name, class.MaxAge)
		case class.MaxAge == unit.NoAge:
		case time.Duration(class.MaxAge) < shortestReplicaAge:
			c.add("classes", class.Name, path+".maxAge", `state "0s" if nothing may be missing, or a longer age`,
				"replicas are rarely known to be as young as %v, so that nearly all reads of class %q go to the primary", class.MaxAge, class.Name)
		}
	}
}

func (c *checker) checkRoutes() {
	for i, r := range c.doc.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		class := c.doc.ClassOf(r)
		if r.Timeout < class.Target.Latency {
			c.add("routes", r.Database, path+".timeout", "raise the timeout, or lower the class's target",
				"statements of %q end after %v, before the target of %v of class %q", r.Database, time.Duration(r.Timeout),
				time.Duration(class.Target.Latency), class.Name)
		}
		if r.Public && !c.doc.KeysRequired {
			c.add("routes", r.Database, path+".public", "remove public, or set keysRequired", "%q is public, but no route asks for keys", r.Database)
		}
		if c.doc.KeysRequired && !r.Public && !c.anyKey() {
			c.add("routes", r.Database, path, "give a team a key, or make the route public", "nobody can use %q: no team has a key", r.Database)
		}
	}
}

func (c *checker) anyKey() bool {
	for _, t := range c.doc.Teams {
		if len(t.Keys) > 0 {
			return true
		}
	}
	return false
}

func (c *checker) checkTeams() {
	for i, t := range c.doc.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		if len(t.Keys) == 0 {
			c.add("teams", t.Name, path+".keys", "give the team a key, or remove it", "nobody can call as team %q: it has no key", t.Name)
		}
		switch l := t.Limit; {
		case l == nil:
		case l.PerSecond == 0:
			c.add("teams", t.Name, path+".limit.perSecond", "state a rate, or remove the team's keys", "team %q may do nothing once its burst is used up", t.Name)
		case l.Burst < 1:
			c.add("teams", t.Name, path+".limit.burst", "state a burst of 1 or more", "the burst %g of team %q counts as 1, since operations are whole", l.Burst, t.Name)
		}
	}
}
