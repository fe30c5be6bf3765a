package failover

import "github.com/monsoontiller/monsoontiller/group"

// HoldsAll gives tests access to the rule by which a member is known to hold every acknowledged write.
func HoldsAll(name string, heard map[string]group.Point, unheard []string, replicas int) bool {
	return holders{heard: heard, unheard: unheard, replicas: replicas}.holdsAll(name)
}
