package membership_test

import (
	"testing"

	"github.com/monsoontiller/monsoontiller/membership"
)

// Guards against values that are left out because their source, having lost its newest revisions, assigned lower ones to
// them, and against digests that hide the difference where it assigned the same one.
func TestValuesOfLaterEpochSupersedeHigherRevisions(t *testing.T) {
	a, b := membership.NewItems[string](), membership.NewItems[string]()
	for _, items := range []*membership.Items[string]{a, b} {
		items.Apply(membership.NewItem("endpoint/1", 90, "ready").InEpoch(1))
		items.Apply(membership.NewItem("endpoint/2", 91, "ready").InEpoch(1))
	}
	for _, item := range []membership.Item[string]{
		membership.NewItem("endpoint/1", 40, "leaving").InEpoch(2),
		membership.NewItem("endpoint/2", 91, "leaving").InEpoch(2),
	} {
		if !a.Apply(item) {
			t.Errorf("%s of epoch 2 at revision %d was not applied", item.Key(), item.Revision())
		}
	}
	if a.Apply(membership.NewItem("endpoint/1", 95, "ready").InEpoch(1)) {
		t.Error("a value of epoch 1 replaced one of epoch 2")
	}
	for _, item := range a.Differing(b.BucketDigests(), 10) {
		b.Apply(item)
	}
	if a.Digest() != b.Digest() {
		t.Error("the digests still differ after the repair")
	}
	for _, key := range []string{"endpoint/1", "endpoint/2"} {
		if item, _ := b.Get(key); item.Value() != "leaving" {
			t.Errorf("after the repair %s is %q at %d/%d", key, item.Value(), item.Epoch(), item.Revision())
		}
	}
}
