package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/frontend"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/owner"
	"github.com/sycamorehub/sycamorehub/pkg/peer"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
)

const (
	namespace = "sycamorehub"

	// Latency buckets from 100 µs, the added latency of one hop, to 30 s, the longest class target.
	firstBucket  = 0.0001
	bucketFactor = 2
	bucketCount  = 19
)

// collector reads the services' counters when metrics are scraped.
type collector struct{ k *kernel.Kernel }

var (
	descConnections = desc("caller_connections", "Open connections of callers.")
	descConfig      = desc("config_version", "Version of the configuration in force, 0 for none.")
	descLiveVMs     = desc("live_vms", "Entry VMs that take work in this daemon's view.")
	descStartups    = desc("startups_waiting", "Callers that wait until their connection is started up.")
	descStartDelay  = desc("startups_delayed_total", "Callers that had to wait for their startup.")
	descStartRefuse = desc("startups_refused_total", "Callers refused because too many waited or their time was up.")
	descRingDepth   = desc("ring_depth", "Items that wait in a ring between goroutines.", "ring")
	descRingCap     = desc("ring_capacity", "Items that a ring holds at most.", "ring")
	descRingIn      = desc("ring_accepted_total", "Items put into a ring.", "ring")
	descRingReject  = desc("ring_rejected_total", "New items refused because a ring was full.", "ring")
	descRingDropped = desc("ring_dropped_total", "Oldest items dropped because a ring was full.", "ring")
	descQueue       = desc("queue_depth", "Items that wait in a queue that is no ring.", "queue")
	descQueued      = desc("scheduler_queued", "Units that wait for a slot.", "member", "class")
	descRunning     = desc("scheduler_running", "Units that run.", "member", "class")
	descGranted     = desc("scheduler_granted_total", "Units that got a slot.", "member", "class")
	descRefused     = desc("scheduler_refused_total", "Units refused as not run.", "member", "class", "reason")
	descPeerBytes   = desc("peer_bytes_total", "Bytes exchanged with other daemons.", "region", "kind", "direction")
	descPeerSuspect = desc("peer_suspect_total", "Connections to other daemons that became suspect.")
	descPromotions  = desc("promotions_total", "Primaries promoted by this daemon.")
	descMoves       = desc("primary_moves_total", "Planned moves of primaries between regions by this daemon.", "result")
	descFences      = desc("fences_total", "Fence requests sent by this daemon.")
	descPolls       = desc("member_polls_total", "Status requests sent to members.")
	descRelays      = desc("watch_relays_total", "Views of services asked from the lead of their watchers.")
	descPollBytes   = desc("member_poll_bytes_total", "Estimated bytes of control traffic with members.")
	descHeartbeats  = desc("heartbeats_total", "Heartbeats sent.")
	descStoreReads  = desc("config_store_reads_total", "Reads of the configuration row.")
)

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}

func newMetrics(k *kernel.Kernel) (any, error) {
	r := prometheus.NewRegistry()
	r.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		kernel.MustLookup[*unitMetrics](k, nameUnitMetrics).latency, collector{k},
	)
	return r, nil
}

// Describe implements prometheus.Collector; the metrics depend on members and classes, so none are announced.
func (collector) Describe(chan<- *prometheus.Desc) {}

// gaugeFunc and counterFunc emit one value.
type (
	gaugeFunc   func(d *prometheus.Desc, v float64, labels ...string)
	counterFunc func(d *prometheus.Desc, v uint64, labels ...string)
)

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	c.collectScheduler(gauge, counter)
	c.collectPeers(counter)
	c.collectQueues(gauge, counter)
	c.collectStartups(gauge, counter)
	cfg := kernel.MustLookup[*configsync.Sync](c.k, nameConfig)
	version, _ := cfg.State()
	gauge(descConfig, float64(version))
	counter(descStoreReads, cfg.StoreReads())
	view := kernel.MustLookup[*membership.View](c.k, nameMembership)
	gauge(descLiveVMs, float64(len(view.Live())))
	sent, _ := view.Traffic()
	counter(descHeartbeats, sent)
	gauge(descConnections, float64(connections(c.k)))
	w := kernel.MustLookup[watcher](c.k, nameWatcher).Stats()
	counter(descPromotions, w.Promotions)
	counter(descMoves, w.Moves, "done")
	counter(descMoves, w.MovesAbandoned, "given-up")
	counter(descFences, w.Fences)
	counter(descPolls, w.Polls+w.LongPolls)
	counter(descRelays, w.Relays)
	counter(descPollBytes, w.Bytes)
}

func (c collector) collectStartups(gauge gaugeFunc, counter counterFunc) {
	callers, err := kernel.Lookup[*callers](c.k, nameFrontend)
	if err != nil {
		return // the front end starts last
	}
	server, ok := callers.server.(*frontend.Server)
	if !ok {
		return // other protocols have no expensive startup
	}
	st := server.Startups()
	gauge(descStartups, float64(st.Waiting))
	counter(descStartDelay, st.Delayed)
	counter(descStartRefuse, st.Refused)
}

// collectQueues reports the rings, and the depth of the queues between goroutines that are none.
func (c collector) collectQueues(gauge gaugeFunc, counter counterFunc) {
	for _, st := range []ring.Stats{
		kernel.MustLookup[*unitMetrics](c.k, nameUnitMetrics).ring.Stats(),
		kernel.MustLookup[*configsync.Sync](c.k, nameConfig).OfferStats(),
		kernel.MustLookup[*gonePeers](c.k, nameGone).ring.Stats(),
		kernel.MustLookup[*listFetcher](c.k, nameLists).offers.Stats(),
	} {
		gauge(descRingDepth, float64(st.Depth), st.Name)
		gauge(descRingCap, float64(st.Capacity), st.Name)
		counter(descRingIn, st.Accepted, st.Name)
		counter(descRingReject, st.Rejected, st.Name)
		counter(descRingDropped, st.Discarded, st.Name)
	}
	p := kernel.MustLookup[*peers](c.k, namePeers)
	dialled, accepted := p.Queued(), kernel.MustLookup[*peerServer](c.k, namePeerServer).server.Queued()
	gauge(descQueue, float64(dialled.Writers+accepted.Writers), "peer-writers")
	gauge(descQueue, float64(dialled.Chunks), "peer-answers")
	gauge(descQueue, float64(accepted.Units), "peer-units")
	gauge(descQueue, float64(p.options.Limiter.Waiting()), "region-link")
	gauge(descQueue, float64(kernel.MustLookup[*owner.Set](c.k, nameOwners).Waiting()), "member-connections")
	acknowledgements, replicas := kernel.MustLookup[watcher](c.k, nameWatcher).Waiting()
	gauge(descQueue, float64(acknowledgements), "acknowledgements")
	gauge(descQueue, float64(replicas), "replica-positions")
}

func (c collector) collectScheduler(gauge gaugeFunc, counter counterFunc) {
	for member, st := range kernel.MustLookup[*owner.Set](c.k, nameOwners).Stats() {
		for _, cl := range st.Classes {
			gauge(descQueued, float64(cl.Queued), member, cl.Class)
			gauge(descRunning, float64(cl.Running), member, cl.Class)
			counter(descGranted, cl.Granted, member, cl.Class)
			counter(descRefused, cl.RefusedPredicted, member, cl.Class, "predicted")
			counter(descRefused, cl.RefusedDeadline, member, cl.Class, "deadline")
			counter(descRefused, cl.RefusedFull, member, cl.Class, "full")
		}
	}
}

func (c collector) collectPeers(counter counterFunc) {
	stats := kernel.MustLookup[*peers](c.k, namePeers).options.Stats
	counter(descPeerSuspect, stats.Suspect.Load())
	stats.Each(func(key peer.TrafficKey, t *peer.Traffic) {
		kind := "data"
		if key.Control {
			kind = "control"
		}
		counter(descPeerBytes, t.SentBytes.Load(), key.Region, kind, "sent")
		counter(descPeerBytes, t.ReceivedBytes.Load(), key.Region, kind, "received")
	})
}
