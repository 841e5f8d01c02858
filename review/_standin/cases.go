package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	slowLag     = 20 * time.Millisecond // of replicas, as on the small sites
	configApply = 3 * time.Second       // config_apply_ms
)

func bounded(host string, staleness float64) route {
	return route{Name: "r-" + host, Host: host, Prefix: "/", Type: "bounded_stale", Timeout: 1500, Target: 600, Priority: 1,
		Service: "svc1", Attempts: 2, Staleness: staleness}
}

// recordRuns records what members run.
func recordRuns(rec *record, d *deployment) {
	d.svc.mu.Lock()
	defer d.svc.mu.Unlock()
	d.svc.onRun = func(r run) { rec.at(r.at, "member %s runs %s %q, log up to %d", r.member, r.id, r.text, r.logEnd) }
}

// lineEnd sends writes whose data holds a line feed without a carriage return before it, which ends no line.
func lineEnd(rec *record, trouble bool) (broken []string, err error) {
	d, err := newDeployment(slowLag, nil)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return nil, err
	}
	recordRuns(rec, d)
	sent := map[string]string{}
	between := " "
	if trouble {
		between = "\n"
	}
	answered := 0
	for i := range 9 {
		c, err := connect(rec, d.vms[i%len(d.vms)].front, "orders")
		if err != nil {
			return nil, err
		}
		text := fmt.Sprintf("WRITE item%d first%sQUERY %s WRITE other%d second", i, between, newID(), i)
		a := c.query(text)
		sent[a.id] = text
		if a.ok() {
			answered++
		}
		time.Sleep(300 * time.Millisecond)
		c.close()
	}
	if answered == 0 {
		return nil, fmt.Errorf("no write was served")
	}
	d.svc.mu.Lock()
	defer d.svc.mu.Unlock()
	for _, r := range d.svc.runs {
		switch text, ok := sent[r.id]; {
		case !ok:
			broken = append(broken, fmt.Sprintf("UNASKED: member %s ran request %s %q, which no client sent", r.member, r.id, r.text))
		case text != r.text:
			broken = append(broken, fmt.Sprintf("UNASKED: member %s ran request %s with the text %q, the client sent %q", r.member, r.id, r.text, text))
		}
	}
	return broken, nil
}

// ack is a commit that was acknowledged to its client.
type ack struct {
	number int
	at     time.Time
}

// judgeStale returns the reads that ran on a log which lacks a commit that was acknowledged more than maxStaleness before the
// first byte of the read.
func judgeStale(d *deployment, acks []ack, reads []answer, maxStaleness time.Duration) (broken []string) {
	d.svc.mu.Lock()
	defer d.svc.mu.Unlock()
	runs := map[string]run{}
	for _, r := range d.svc.runs {
		runs[r.id] = r
	}
	for _, a := range reads {
		r, ok := runs[a.id]
		if !ok || !a.ok() {
			continue
		}
		for _, k := range acks {
			if k.number > r.logEnd && a.sent.Sub(k.at) > maxStaleness {
				broken = append(broken, fmt.Sprintf("STALE: read %s ran on %s with a log up to %d; commit %d was acknowledged %v before the read was sent, %v are allowed",
					a.id, r.member, r.logEnd, k.number, a.sent.Sub(k.at).Round(time.Microsecond), maxStaleness))
				break
			}
		}
	}
	return broken
}

// ackOf returns the commit of a write that was answered.
func ackOf(d *deployment, a answer) (ack, bool) {
	d.svc.mu.Lock()
	defer d.svc.mu.Unlock()
	if !a.ok() {
		return ack{}, false
	}
	for _, r := range d.svc.runs {
		if r.id == a.id {
			return ack{r.logEnd, a.ended}, true
		}
	}
	return ack{}, false
}

// zeroStaleness changes the configuration so that reads of a route may lack nothing that was acknowledged before them.
func zeroStaleness(rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(slowLag, []route{bounded("lookups", 1500)})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return nil, err
	}
	recordRuns(rec, d)
	staleness := 1500.0
	if trouble {
		staleness = 0
	}
	version := d.configure([]route{bounded("lookups", staleness)})
	rec.line("operator's configuration %d is acknowledged: max_staleness_ms of route lookups is %v", version, staleness)
	time.Sleep(configApply + time.Second)
	writer, err := connect(rec, d.vms[0].front, "orders")
	if err != nil {
		return nil, err
	}
	defer writer.close()
	reader, err := connect(rec, d.vms[1].front, "lookups")
	if err != nil {
		return nil, err
	}
	defer reader.close()
	var acks []ack
	var reads []answer
	for i := range 200 {
		if k, ok := ackOf(d, writer.query(fmt.Sprintf("WRITE item value%d", i))); ok {
			acks = append(acks, k)
		}
		reads = append(reads, reader.query("READ item"))
		time.Sleep(10 * time.Millisecond)
	}
	if len(acks) < 100 {
		return nil, fmt.Errorf("only %d of 200 writes were served", len(acks))
	}
	return judgeStale(d, acks, reads, time.Duration(staleness)*time.Millisecond), nil
}

const (
	restartTime = 300 * time.Millisecond // between the crash of a member and its start
	catchUp     = 4 * time.Second        // catch_up_s
)

// emptyReplica lets a replica start again under its id, with an empty log.
func emptyReplica(rec *record, trouble bool) ([]string, error) {
	const maxStaleness = 1500
	d, err := newDeployment(slowLag, []route{bounded("lookups", maxStaleness)})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return nil, err
	}
	recordRuns(rec, d)
	var mu sync.Mutex
	var acks []ack
	var reads []answer
	done := make(chan struct{})
	var wg sync.WaitGroup
	loop := func(v *vm, database string, pause time.Duration, f func(c *client, i int) answer) {
		wg.Go(func() {
			var c *client
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				if c == nil {
					if c, err = connect(rec, v.front, database); err != nil {
						c = nil
						continue
					}
				}
				if a := f(c, i); a.state == "" {
					c.close()
					c = nil
				}
			}
		})
	}
	loop(d.vms[0], "orders", 50*time.Millisecond, func(c *client, i int) answer {
		a := c.query(fmt.Sprintf("WRITE item value%d", i))
		if k, ok := ackOf(d, a); ok {
			mu.Lock()
			acks = append(acks, k)
			mu.Unlock()
		}
		return a
	})
	for _, v := range d.vms {
		loop(v, "lookups", 50*time.Millisecond, func(c *client, i int) answer {
			a := c.query("READ item")
			mu.Lock()
			reads = append(reads, a)
			mu.Unlock()
			return a
		})
	}
	time.Sleep(4 * time.Second)
	for i := range 4 {
		m := d.svc.members[1+i%2]
		if trouble {
			rec.line("member %s crashes", m.id)
			m.crash()
			time.Sleep(restartTime)
			if err := m.restart(catchUp); err != nil {
				close(done)
				wg.Wait()
				return nil, err
			}
			d.register(m)
			rec.line("member %s has started again under its id; it holds nothing of before and catches up within %v", m.id, catchUp)
		}
		time.Sleep(8 * time.Second)
	}
	close(done)
	wg.Wait()
	if len(acks) < 100 {
		return nil, fmt.Errorf("only %d writes were served", len(acks))
	}
	return judgeStale(d, acks, reads, maxStaleness*time.Millisecond), nil
}

// manyTargets adds routes whose targets differ.
func manyTargets(rec *record, trouble bool) (broken []string, err error) {
	d, err := newDeployment(slowLag, nil)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return nil, err
	}
	const added = 80
	var routes []route
	for i := range added {
		r := bounded(fmt.Sprintf("db%02d", i), 1500)
		if trouble {
			r.Target = float64(600 + 10*i)
		}
		routes = append(routes, r)
	}
	version := d.configure(routes)
	rec.line("operator's configuration %d is acknowledged, with %d more routes", version, added)
	time.Sleep(configApply + 2*time.Second)
	served := 0
	for _, v := range d.vms {
		for _, r := range routes {
			c, err := connect(rec, v.front, r.Host)
			rec.line("client opens a session for %s at %s: %v", r.Host, v.name, err)
			if err == nil {
				served++
				c.close()
				continue
			}
			if strings.Contains(err.Error(), "NODB") {
				broken = append(broken, fmt.Sprintf("CONFIG: %s refused a session for database %s, which has a route since version %d: %v", v.name, r.Host, version, err))
			}
		}
	}
	if served == 0 {
		return nil, fmt.Errorf("no session was accepted")
	}
	return broken, nil
}

// noRoutes writes a configuration without routes.
func noRoutes(rec *record, trouble bool) (broken []string, err error) {
	d, err := newDeployment(slowLag, nil)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return nil, err
	}
	recordRuns(rec, d)
	if trouble {
		version := d.write(d.nextVersion(), []any{})
		rec.line("operator's configuration %d is acknowledged, without routes", version)
	}
	time.Sleep(configApply + 2*time.Second)
	for i, v := range d.vms {
		c, err := connect(rec, v.front, "orders")
		if err != nil {
			continue
		}
		a := c.query(fmt.Sprintf("WRITE item value%d", i))
		c.close()
		if trouble && a.ok() {
			broken = append(broken, fmt.Sprintf("CONFIG: %s served write %s of a database whose route was dropped 5 s before", v.name, a.id))
		}
		if !trouble && !a.ok() {
			return nil, fmt.Errorf("the write was not served")
		}
	}
	return broken, nil
}
