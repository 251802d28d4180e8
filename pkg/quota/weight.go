package quota

import "math/bits"

// weight is a share of every limit. The weights of all nodes together are at most
// unit. Whole numbers keep sums exact.
type weight uint32

// unit is the weight of a whole limit.
const unit weight = 1 << 30

// Classes is the number of classes into which teams are divided. Each class has its
// own holders, so that they share the load of the asks. It must be the same in all
// nodes: an ask to a node that does not hold the class finds no weight there.
const Classes = 4

// classOf returns the class of a team.
func classOf(team uint64) uint8 { return uint8(team>>56) % Classes }

// ClassOf returns the class of the team with the given name, from 0 to Classes-1.
func ClassOf(name string) int { return int(classOf(Hash(name))) }

// score orders nodes as holders of a class, by rendezvous hashing.
func score(class uint8, node uint64) uint64 {
	// The finalizer of splitmix64, which mixes all bits of its input.
	z := node + uint64(class+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return bits.ReverseBytes64(z ^ z>>31)
}
