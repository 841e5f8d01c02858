package httpapi

import "github.com/sycamorehub/sycamorehub/pkg/platform"

// Paths of the platform service.
const (
	PathTable    = "/table/"   // + key: GET, PUT
	PathObjects  = "/objects/" // + name: GET, PUT
	PathVMs      = "/vms"      // GET
	PathServices = "/services" // GET
)

// Paths of a member's control address.
const (
	PathStatus  = "/status"  // GET
	PathFence   = "/fence"   // POST FenceRequest
	PathPromote = "/promote" // POST FenceRequest
	PathFollow  = "/follow"  // POST FollowRequest
)

// Query parameters of PathStatus for a long poll. The member answers once its last position exceeds QueryAfter, and at the
// latest after QueryWait milliseconds.
const (
	QueryAfter = "after"
	QueryWait  = "wait"
)

// Size limits in bytes. MaxRowBytes is the largest value that the platform's table is assumed to take; the other limits
// bound the client's memory.
const (
	MaxRowBytes    = 256 << 10
	MaxObjectBytes = 16 << 20
	MaxListBytes   = 16 << 20
	MaxStatusBytes = 64 << 10
)

// FenceRequest is the body of fence and promote requests. Promoter is the promoter ID and must not be empty.
type FenceRequest struct {
	Term     platform.Term `json:"term"`
	Promoter string        `json:"promoter"`
}

// FollowRequest is the body of follow requests.
type FollowRequest struct {
	Term    platform.Term   `json:"term"`
	Primary platform.Member `json:"primary"`
}
