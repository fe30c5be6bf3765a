package operator

import (
	"time"

	"github.com/monsoontiller/monsoontiller/operator/operatorv1"
	"github.com/monsoontiller/monsoontiller/report"
)

// CountsMessage returns a customer's counts as they travel.
func CountsMessage(c report.Customer) *operatorv1.CustomerCounts {
	out := &operatorv1.CustomerCounts{
		Customer:              c.Name,
		ObjectiveSuccess:      c.Objectives.Success,
		ObjectiveReplicaShare: c.Objectives.ReplicaShare,
		ObjectiveLatencyMs:    c.Objectives.Latency.Milliseconds(),
		ObjectiveGapMs:        c.Objectives.FailoverGap.Milliseconds(),
		WorstGapMs:            c.WorstGap.Milliseconds(),
	}
	for _, m := range c.Minutes {
		out.Minutes = append(out.Minutes, &operatorv1.Minute{
			UnixMinute:   m.UnixMinute,
			Requests:     m.Requests,
			Failed:       m.Failed,
			Slow:         m.Slow,
			Reads:        m.Reads,
			ReplicaReads: m.ReplicaReads,
			GapMs:        m.Gap.Milliseconds(),
		})
	}
	return out
}

// CustomerOf returns the counts in a message.
func CustomerOf(m *operatorv1.CustomerCounts) report.Customer {
	out := report.Customer{
		Name: m.GetCustomer(),
		Objectives: report.Objectives{
			Success:      m.GetObjectiveSuccess(),
			ReplicaShare: m.GetObjectiveReplicaShare(),
			Latency:      millis(m.GetObjectiveLatencyMs()),
			FailoverGap:  millis(m.GetObjectiveGapMs()),
		},
		WorstGap: millis(m.GetWorstGapMs()),
	}
	for _, one := range m.GetMinutes() {
		out.Minutes = append(out.Minutes, report.Minute{
			UnixMinute:   one.GetUnixMinute(),
			Requests:     one.GetRequests(),
			Failed:       one.GetFailed(),
			Slow:         one.GetSlow(),
			Reads:        one.GetReads(),
			ReplicaReads: one.GetReplicaReads(),
			Gap:          millis(one.GetGapMs()),
		})
	}
	return out
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
