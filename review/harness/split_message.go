package main

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Times of the case after SIGTERM. An open transaction has the first half of the grace period, 3 s, to end.
const (
	// sendAt is when the client begins to send its second write.
	sendAt = 2200 * time.Millisecond
	// pieceGap is the time between the two segments of that message: a lost packet and its retransmission.
	pieceGap = 400 * time.Millisecond
)

// splitMessage stops an instance while a client with an open transaction sends a write in two segments.
func splitMessage(ctx context.Context, w *world) (broken bool, err error) {
	if err := w.start(ctx, 3, 3); err != nil {
		return false, err
	}
	target := w.instances[0]
	var sent sentTexts
	c, err := dialClient(w.record, &sent, "desk", target.callers, primaryDatabase)
	if err != nil {
		return false, err
	}
	defer c.nc.Close()
	if !c.exec("a1", "BEGIN", time.Second).succeeded() || !c.exec("a2", "WRITE item-1 first", time.Second).succeeded() {
		return false, errors.New("the transaction did not begin")
	}
	started := time.Now()
	if w.trouble {
		target.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(started.Add(sendAt)))
	// The data of the write is a text in which another request is quoted: the last field extends to the end of the line.
	note := "WRITE item-2 the desk reported that this line was refused: "
	write := c.execInPieces("a3", time.Second, pieceGap, note, "QUERY b7 WRITE item-3 quoted")
	elapsed := time.Since(started)
	commit := answer{err: errors.New("not sent")}
	if write.complete() {
		commit = c.exec("a4", "COMMIT", time.Second)
	}
	w.record.line("the write was answered %v after the signal; success: write %v, commit %v", elapsed.Round(time.Millisecond), write.succeeded(), commit.succeeded())
	for _, m := range w.group.Members() {
		if m.IsPrimary() {
			w.record.line("log of the primary: %s", fmt.Sprint(m.Log()))
		}
	}
	found := w.unasked(&sent)
	for _, f := range found {
		w.record.line("UNASKED: a member ran %q, which no client sent", f)
	}
	if elapsed < grace/2 && !write.complete() {
		w.record.line("the open transaction was ended %v after SIGTERM, before half of the grace period", elapsed.Round(time.Millisecond))
	}
	return len(found) > 0, nil
}
