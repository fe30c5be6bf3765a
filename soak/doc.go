// Package soak runs the real program as separate processes on one machine, injects faults from outside, and checks the
// guarantees against the statements that callers sent and endpoints ran.
//
// A run may move the route of a database between two groups, leave entries of another writer among those of the endpoints,
// have callers send messages in two pieces, and separate the primary and one instance from the others.
//
// The platform and the database groups are the fakes of platformtest. A seed determines a schedule of overlapping
// faults: a proxy delays or resets connections, or holds back their bytes in one or both directions; signals terminate,
// kill, pause and restart processes; endpoints crash, lag or leave; the store is down, loses answers or compacts its
// history; the store's clock jumps. A run may have client accounts: keys are then removed and moved, limits are lowered, and
// accounts become hot.
package soak
