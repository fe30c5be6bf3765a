package group_test

import (
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoontiller/monsoontiller/group"
)

func TestPerLogKeepsValuesOfLogsApart(t *testing.T) {
	orders, archive, notes := group.NewLog("orders"), group.NewLog("archive"), group.NewLog("notes")
	var f group.Floors
	f.Set(orders, group.NewPoint(1, 13))
	f.Set(archive, group.NewPoint(1, 2))
	f.Set(orders, group.NewPoint(1, 14))
	f.Set(archive, group.NewPoint(1, 1))
	f.Set(group.Log{}, group.NewPoint(9, 9))
	copied := f.Clone()
	f.Delete(orders)
	f.Set(notes, group.NewPoint(2, 1))
	f.Set(archive, group.NewPoint(1, 3))
	for _, test := range []struct {
		name   string
		floors *group.Floors
		want   map[group.Log]group.Point
	}{
		{"original", &f, map[group.Log]group.Point{archive: group.NewPoint(1, 3), notes: group.NewPoint(2, 1)}},
		{"clone", copied, map[group.Log]group.Point{orders: group.NewPoint(1, 14), archive: group.NewPoint(1, 1)}},
	} {
		got := maps.Collect(test.floors.All())
		if diff := cmp.Diff(test.want, got, cmp.Comparer(func(a, b group.Point) bool { return a == b }), cmp.Comparer(func(a, b group.Log) bool { return a == b })); diff != "" {
			t.Errorf("%s: %s", test.name, diff)
		}
		for l, want := range test.want {
			if p, ok := test.floors.Get(l); !ok || p != want {
				t.Errorf("%s: Get(%v) = %v, %v, want %v", test.name, l, p, ok, want)
			}
		}
	}
	if p, ok := f.Get(orders); ok {
		t.Errorf("a deleted log still has point %v", p)
	}
	var none *group.Floors
	if _, ok := none.Get(orders); ok || none.Clone() != nil || len(maps.Collect(none.All())) != 0 {
		t.Error("nil is not empty")
	}
	if p, ok := f.Get(group.Log{}); ok {
		t.Errorf("the zero log has point %v", p)
	}
}
