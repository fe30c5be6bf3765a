// Package event records the recent decisions of an instance with the observations
// behind them, and finds in log files the decisions that affected a request.
package event
