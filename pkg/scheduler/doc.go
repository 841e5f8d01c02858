// Package scheduler decides which unit of work runs next on one member. Policy is a pure data structure: it does no
// I/O, starts no goroutine and reads no clock, so that tests can drive it in virtual time. Scheduler wraps a Policy
// for concurrent callers.
//
// Units are ordered as follows. A class that has used less than its guaranteed share of slot time goes first.
// Otherwise a higher rank goes before a lower one. Within a rank, statements of open transactions go before other
// units, because they already hold a connection, and units of teams that have used more than their part of the member go
// last. Remaining ties are decided by the earliest due time.
package scheduler
