package session

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/requestlog"
)

// lateConfiguration is a configuration that arrives some time after the start of a VM.
type lateConfiguration struct {
	mu      sync.Mutex
	doc     *clusterconfig.Document // guarded by mu
	changed chan struct{}           // guarded by mu
}

func (l *lateConfiguration) document() *clusterconfig.Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doc
}

func (l *lateConfiguration) changes() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *lateConfiguration) arrive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doc = &clusterconfig.Document{Classes: []clusterconfig.Class{classWith(clusterconfig.ConsistencySession)},
		Routes: []clusterconfig.Route{{Database: "db", Service: "svc", Class: string(clusterconfig.ConsistencySession)}}}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Callers that return to a VM before it has the configuration must be served once it has, and not be refused one attempt
// after the other. Only a bounded number may wait, none longer than callers do, and none keeps the VM from stopping.
func TestCallersWaitForTheConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		arrives time.Duration // 0: never
		drains  time.Duration // 0: never
		served  int
		took    time.Duration // until the last of the callers that may wait is answered
	}{
		"arrives after 600 ms": {arrives: 600 * time.Millisecond, served: 4, took: 600 * time.Millisecond},
		"never arrives":        {took: startupWait},
		"VM stops":             {drains: 400 * time.Millisecond, took: startupWait},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := &lateConfiguration{changed: make(chan struct{})}
				s := NewServer(Options{Document: config.document, Changed: config.changes, VMName: "vm", MaxConnections: 8,
					RecordFailure: func(requestlog.Entry) {}})
				start := time.Now()
				answers, refusedAtOnce, served := make(chan error, 9), 0, 0
				for range 9 {
					f := newFakeCaller()
					go func() {
						session := &callerSession{server: s, conn: f, session: New(nil)}
						session.startup()
						answers <- <-f.started
					}()
				}
				synctest.Wait()
				for range len(answers) {
					require.True(t, errkind.Is(<-answers, errkind.NotReady))
					refusedAtOnce++
				}
				require.Equal(t, 9-4, refusedAtOnce, "half of the connections may wait")
				if c.arrives > 0 {
					time.AfterFunc(c.arrives, config.arrive)
				}
				if c.drains > 0 {
					time.AfterFunc(c.drains, func() { s.phase.Store(int32(endingIdleSessions)) })
				}
				for range 4 {
					if err := <-answers; err == nil {
						served++
					}
				}
				require.Equal(t, c.served, served)
				require.LessOrEqual(t, time.Since(start), c.took)
				require.Zero(t, s.waiting.Load())
			})
		})
	}
}
