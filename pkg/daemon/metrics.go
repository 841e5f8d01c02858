package daemon

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/sycamorehub/sycamorehub/pkg/configsync"
	"github.com/sycamorehub/sycamorehub/pkg/directory"
	"github.com/sycamorehub/sycamorehub/pkg/frontend"
	"github.com/sycamorehub/sycamorehub/pkg/kernel"
	"github.com/sycamorehub/sycamorehub/pkg/membership"
	"github.com/sycamorehub/sycamorehub/pkg/membudget"
	"github.com/sycamorehub/sycamorehub/pkg/owner"
	"github.com/sycamorehub/sycamorehub/pkg/panics"
	"github.com/sycamorehub/sycamorehub/pkg/peer"
	"github.com/sycamorehub/sycamorehub/pkg/ring"
	"github.com/sycamorehub/sycamorehub/pkg/session"
	"github.com/sycamorehub/sycamorehub/pkg/teamlimit"
)

const (
	namespace = "sycamorehub"

	// The latency buckets double from 100 µs, the latency that one hop adds, to 26.2 s. Slower requests, up to the longest
	// class target of 30 s and beyond, count in the last bucket, which has no upper bound.
	firstBucketSeconds = 0.0001
	bucketFactor       = 2
	bucketCount        = 19
)

// collector implements prometheus.Collector. It reads the counters of the kernel services when the metrics are scraped.
type collector struct{ k *kernel.Kernel }

var (
	descCallerConnections = desc("caller_connections", "Open connections of callers.")
	descConfigVersion     = desc("config_version", "Version of the configuration in force, 0 for none.")
	descConfigIgnored     = desc("config_ignored_entries", "Entries of the operators' document in force that cannot be used; see config show.")
	descConfigRefused     = desc("config_refused", "1 while the row that this daemon has read last is refused as a whole, else 0.")
	descLiveVMs           = desc("live_vms", "Entry VMs that take work in this daemon's view.")
	descStartupsWaiting   = desc("startups_waiting", "Callers that wait until their connection is started up.")
	descStartupsDelayed   = desc("startups_delayed_total", "Callers that had to wait for their startup.")
	descStartupsRefused   = desc("startups_refused_total", "Callers refused because too many waited or their time was up.")
	descRingDepth         = desc("ring_depth", "Items that wait in a ring between goroutines.", "ring")
	descRingCapacity      = desc("ring_capacity", "Items that a ring holds at most.", "ring")
	descRingAccepted      = desc("ring_accepted_total", "Items put into a ring.", "ring")
	descRingRejected      = desc("ring_rejected_total", "New items refused because a ring was full.", "ring")
	descRingDropped       = desc("ring_dropped_total", "Oldest items dropped because a ring was full.", "ring")
	descQueueDepth        = desc("queue_depth", "Items that wait in a queue that is no ring.", "queue")
	descSchedulerQueued   = desc("scheduler_queued", "Units that wait for a slot.", "member", "class")
	descSchedulerRunning  = desc("scheduler_running", "Units that run.", "member", "class")
	descSchedulerGranted  = desc("scheduler_granted_total", "Units that got a slot.", "member", "class")
	descSchedulerRefused  = desc("scheduler_refused_total", "Units refused as not run.", "member", "class", "reason")
	descPeerBytes         = desc("peer_bytes_total", "Bytes exchanged with other daemons.", "region", "kind", "direction")
	descPeerSuspect       = desc("peer_suspect_total", "Connections to other daemons that became suspect.")
	descPromotions        = desc("promotions_total", "Primaries promoted by this daemon.")
	descPrimaryMoves      = desc("primary_moves_total", "Planned moves of primaries between regions by this daemon.", "result")
	descUnconfirmed       = desc("promotions_unconfirmed_total", "Promotion attempts ended since the platform's list did not confirm the members.")
	descSettlements       = desc("promotions_settled_total", "Calls by which earlier requests to promote lost their effect.")
	descListComplete      = desc("service_list_complete", "1 once the members of all services are known since the start, else 0.")
	descUnlistedMembers   = desc("unlisted_members", "Members that are watched although the platform lists them no more.")
	descFences            = desc("fences_total", "Fence requests sent by this daemon.")
	descMemberPolls       = desc("member_polls_total", "Status requests sent to members.")
	descWatchRelays       = desc("watch_relays_total", "Views of services asked from the lead of their watchers.")
	descMemberPollBytes   = desc("member_poll_bytes_total", "Estimated bytes of control traffic with members.")
	descHeartbeats        = desc("heartbeats_total", "Heartbeats sent.")
	descPanics            = desc("unexpected_errors_total", "Panics that ended one session, request or read of this daemon.")
	descBudgetBytes       = desc("message_memory_bytes", "Memory that messages of callers may take, and that they take.", "kind")
	descBudgetEnded       = desc("message_memory_ended_total", "Connections of callers ended for want of memory.", "reason")
	descSessionBytes      = desc("session_memory_bytes", "Memory that sessions may keep between statements, and that they keep.", "kind")
	descSessionEnded      = desc("session_memory_ended_total", "Sessions ended, and session commands refused, for want of memory.", "reason")
	descTeamAdmitted      = desc("team_limit_admitted_total", "Operations admitted within the limits of their teams.")
	descTeamRefused       = desc("team_limit_refused_total", "Operations refused beyond the limits of their teams.")
	descTeamGranted       = desc("team_limit_granted_total", "Tokens granted to entry VMs as a keeper of limits.")
	descTeamShare         = desc("team_limit_share", "Part of all limits that this VM holds as the keeper of a shard, 0 to 1.", "shard")
	descConfigStoreReads  = desc("config_store_reads_total", "Reads of the configuration row.")
)

// desc returns the description of a metric; name is without the namespace.
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

// Describe implements prometheus.Collector. It sends no descriptions, since the set of metrics depends on the members and
// classes.
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
	c.collectTeams(gauge, counter)
	c.collectMemory(gauge, counter)
	configSync := kernel.MustLookup[*configsync.Sync](c.k, nameConfig)
	version := configSync.InForce()
	gauge(descConfigVersion, float64(version))
	ignored, refusal := configSync.Problems()
	gauge(descConfigIgnored, float64(len(ignored)))
	gauge(descConfigRefused, float64(min(len(refusal), 1)))
	counter(descPanics, panics.Confined())
	counter(descConfigStoreReads, configSync.StoreReads())
	vmView := kernel.MustLookup[*membership.View](c.k, nameMembership)
	gauge(descLiveVMs, float64(len(vmView.Live())))
	sent, _ := vmView.HeartbeatTraffic()
	counter(descHeartbeats, sent)
	gauge(descCallerConnections, float64(callerConnections(c.k)))
	watcherStats := kernel.MustLookup[watcher](c.k, nameWatcher).Stats()
	counter(descPromotions, watcherStats.Promotions)
	counter(descPrimaryMoves, watcherStats.Moves, "done")
	counter(descPrimaryMoves, watcherStats.MovesAbandoned, "given-up")
	counter(descUnconfirmed, watcherStats.Unconfirmed)
	counter(descSettlements, watcherStats.Settlements)
	gauge(descUnlistedMembers, float64(kernel.MustLookup[watcher](c.k, nameWatcher).UnlistedMembers()))
	complete := 0.0
	if kernel.MustLookup[*directory.Directory](c.k, nameDirectory).Complete() {
		complete = 1
	}
	gauge(descListComplete, complete)
	counter(descFences, watcherStats.Fences)
	counter(descMemberPolls, watcherStats.Polls+watcherStats.LongPolls)
	counter(descWatchRelays, watcherStats.Relays)
	counter(descMemberPollBytes, watcherStats.Bytes)
}

// collectMemory reports the budgets for messages of callers and for what sessions keep.
func (c collector) collectMemory(gauge gaugeFunc, counter counterFunc) {
	stats := kernel.MustLookup[*membudget.Budget](c.k, nameMemory).Stats()
	gauge(descBudgetBytes, float64(stats.Limit), "limit")
	gauge(descBudgetBytes, float64(stats.Used), "used")
	counter(descBudgetEnded, stats.Evicted, "held-longest")
	counter(descBudgetEnded, stats.Refused, "no-room")
	kept := kernel.MustLookup[*session.Memory](c.k, nameSessions).Stats()
	gauge(descSessionBytes, float64(kept.Limit), "limit")
	gauge(descSessionBytes, float64(kept.Used), "used")
	counter(descSessionEnded, kept.Ended, "keeps-most")
	counter(descSessionEnded, kept.Refused, "no-room")
}

// collectTeams reports sums over all teams; GET /v1/teams has them by team.
func (c collector) collectTeams(gauge gaugeFunc, counter counterFunc) {
	limits := kernel.MustLookup[*teamlimit.Service](c.k, nameTeamLimits)
	spent, granted := limits.Use()
	var admitted, refused, tokens uint64
	for _, u := range spent {
		admitted, refused = admitted+u.Admitted, refused+u.Refused
	}
	for _, u := range granted {
		tokens += u.Granted
	}
	counter(descTeamAdmitted, admitted)
	counter(descTeamRefused, refused)
	counter(descTeamGranted, tokens)
	for shard := range teamlimit.Shards {
		gauge(descTeamShare, limits.Share(shard), strconv.Itoa(shard))
	}
}

func (c collector) collectStartups(gauge gaugeFunc, counter counterFunc) {
	callers, err := kernel.Lookup[*callers](c.k, nameFrontend)
	if err != nil {
		return // the front end has not been built yet; it starts last
	}
	server, ok := callers.server.(*frontend.Server)
	if !ok {
		return // other protocols have no expensive startup
	}
	stats := server.Startups()
	gauge(descStartupsWaiting, float64(stats.Waiting))
	counter(descStartupsDelayed, stats.Delayed)
	counter(descStartupsRefused, stats.Refused)
}

// collectQueues reports the rings, and the depth of the queues between goroutines that are not rings.
func (c collector) collectQueues(gauge gaugeFunc, counter counterFunc) {
	for _, stats := range []ring.Stats{
		kernel.MustLookup[*unitMetrics](c.k, nameUnitMetrics).ring.Stats(),
		kernel.MustLookup[*configsync.Sync](c.k, nameConfig).OfferStats(),
		kernel.MustLookup[*gonePeers](c.k, nameGonePeers).ring.Stats(),
		kernel.MustLookup[*listFetcher](c.k, nameListFetcher).offers.Stats(),
	} {
		gauge(descRingDepth, float64(stats.Depth), stats.Name)
		gauge(descRingCapacity, float64(stats.Capacity), stats.Name)
		counter(descRingAccepted, stats.Accepted, stats.Name)
		counter(descRingRejected, stats.Rejected, stats.Name)
		counter(descRingDropped, stats.Discarded, stats.Name)
	}
	pool := kernel.MustLookup[*peers](c.k, namePeers)
	dialled, accepted := pool.Queued(), kernel.MustLookup[*peerServer](c.k, namePeerServer).server.Queued()
	gauge(descQueueDepth, float64(dialled.Writers+accepted.Writers), "peer-writers")
	gauge(descQueueDepth, float64(dialled.Chunks), "peer-answers")
	gauge(descQueueDepth, float64(accepted.Units), "peer-units")
	gauge(descQueueDepth, float64(pool.options.Limiter.Waiting()), "region-link")
	gauge(descQueueDepth, float64(kernel.MustLookup[*owner.Set](c.k, nameOwners).WaitingUnits()), "member-connections")
	acknowledgements, replicas := kernel.MustLookup[watcher](c.k, nameWatcher).WaitingUnits()
	gauge(descQueueDepth, float64(acknowledgements), "acknowledgements")
	gauge(descQueueDepth, float64(replicas), "replica-positions")
}

func (c collector) collectScheduler(gauge gaugeFunc, counter counterFunc) {
	for member, stats := range kernel.MustLookup[*owner.Set](c.k, nameOwners).Stats() {
		for _, class := range stats.Classes {
			gauge(descSchedulerQueued, float64(class.Queued), member, class.Class)
			gauge(descSchedulerRunning, float64(class.Running), member, class.Class)
			counter(descSchedulerGranted, class.Granted, member, class.Class)
			counter(descSchedulerRefused, class.RefusedPredicted, member, class.Class, "predicted")
			counter(descSchedulerRefused, class.RefusedDeadline, member, class.Class, "deadline")
			counter(descSchedulerRefused, class.RefusedFull, member, class.Class, "full")
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
