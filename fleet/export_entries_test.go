package fleet

// GroupSlots gives tests access to the slots of the members of groups.
type GroupSlots = groupSlots

// NewGroupSlots returns a GroupSlots without members.
var NewGroupSlots = newGroupSlots

// Keys of the coordinator's rows.
const (
	CoordinatorKey  = coordinatorKey
	IntentKeyPrefix = intentKeyPrefix
	EraKey          = eraKey
)
