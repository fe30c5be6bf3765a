package fleet

import "math"

// ConnectionsNeeded returns the least connection limit of a member with which a group has as many homes as a partition
// of the network calls for: minHomes, or all instances if there are fewer; 0 instances means a number that is not known.
func ConnectionsNeeded(instances int) int {
	needed := int(math.Ceil(minHomes * minHomeShare / (1 - homeReserve)))
	if instances <= 0 {
		return needed
	}
	return min(needed, minShare*(instances+reservedInstances))
}
