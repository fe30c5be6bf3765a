package account_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/monsoontiller/monsoontiller/account"
)

// Load: 80 accounts, two of them with refusals. Guards against a metric with a label for each account, against one that hides
// refusals, against operations counted twice, and against an allocation for each of them.
func TestUsageLabelsAccountsWithMostRefusals(t *testing.T) {
	u := account.NewUsage(account.UsageConfig{Labels: 3, MaxLabels: 4, HalfLife: 60})
	for a := range 80 {
		for range a + 1 {
			u.Admit(fmt.Sprintf("account-%02d", a))
		}
	}
	u.Refuse("account-07")
	u.Refuse("account-07")
	u.Refuse("account-05")
	want := []account.UsageReport{
		{Account: "account-07", Label: "account-07", Admitted: 8, Refused: 2},
		{Account: "account-05", Label: "account-05", Admitted: 6, Refused: 1},
		{Account: "account-79", Label: "account-79", Admitted: 80},
		{Account: "account-78", Label: account.OtherAccounts, Admitted: 79},
	}
	reports := u.Report()
	if diff := cmp.Diff(want, reports[:4]); diff != "" || len(reports) != 80 || len(u.Report()) != 0 {
		t.Errorf("%d reports, want 80, and none again; the first are not as wanted: %s", len(reports), diff)
	}
	if n := testing.AllocsPerRun(100, func() { u.Admit("account-07") }); n != 0 {
		t.Errorf("an admitted operation allocates %v times", n)
	}
}

// Load: another account has refusals in each report. Guards against series of a metric that grow with each of them, and
// against an account that keeps its place for refusals of long ago.
func TestUsageLabelsAreBounded(t *testing.T) {
	u := account.NewUsage(account.UsageConfig{Labels: 1, MaxLabels: 4, HalfLife: 2})
	labels := map[string]bool{}
	for a := range 20 {
		u.Refuse(fmt.Sprintf("account-%02d", a))
		for _, r := range u.Report() {
			labels[r.Label] = true
		}
	}
	if len(labels) != 4+1 || !labels[account.OtherAccounts] {
		t.Errorf("labels are %v, want 4 accounts and %q", labels, account.OtherAccounts)
	}
}
