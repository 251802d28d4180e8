package model

// Region names a group of availability zones, for example "serra".
type Region string

// AvailabilityZone names one availability zone, for example "caxias".
// Names are unique across regions.
type AvailabilityZone string

// NodeID identifies the node on one upstream VM. It stays the same when the
// process restarts on the same VM.
type NodeID string

// Location says where a VM runs.
type Location struct {
	Region           Region           `json:"region"`
	AvailabilityZone AvailabilityZone `json:"availability_zone"`
}

// Distance orders pairs of locations by the cost of a call between them.
type Distance int

// Distances, nearest first.
const (
	SameZone    Distance = iota // the same availability zone
	SameRegion                  // another availability zone of the same region
	OtherRegion                 // another region
)

// DistanceTo returns the distance between l and o.
func (l Location) DistanceTo(o Location) Distance {
	switch {
	case l.Region != o.Region:
		return OtherRegion
	case l.AvailabilityZone != o.AvailabilityZone:
		return SameRegion
	default:
		return SameZone
	}
}
