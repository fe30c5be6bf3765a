package operator

import (
	"time"

	"github.com/monsoontiller/monsoontiller/operator/operatorv1"
	"github.com/monsoontiller/monsoontiller/report"
)

// CountsMessage returns the message that encodes a customer's objectives and counts.
func CountsMessage(c report.CustomerCounts) *operatorv1.CustomerCounts {
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

// CustomerOf decodes the objectives and counts in a message.
func CustomerOf(m *operatorv1.CustomerCounts) report.CustomerCounts {
	out := report.CustomerCounts{
		Name: m.GetCustomer(),
		Objectives: report.Objectives{
			Success:      m.GetObjectiveSuccess(),
			ReplicaShare: m.GetObjectiveReplicaShare(),
			Latency:      millis(m.GetObjectiveLatencyMs()),
			FailoverGap:  millis(m.GetObjectiveGapMs()),
		},
		WorstGap: millis(m.GetWorstGapMs()),
	}
	for _, minute := range m.GetMinutes() {
		out.Minutes = append(out.Minutes, report.MinuteCounts{
			UnixMinute:   minute.GetUnixMinute(),
			Requests:     minute.GetRequests(),
			Failed:       minute.GetFailed(),
			Slow:         minute.GetSlow(),
			Reads:        minute.GetReads(),
			ReplicaReads: minute.GetReplicaReads(),
			Gap:          millis(minute.GetGapMs()),
		})
	}
	return out
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
