package peer

import (
	"context"
	"math"

	"connectrpc.com/connect"

	"github.com/monsoontiller/monsoontiller/membership"
	"github.com/monsoontiller/monsoontiller/peer/peerv1"
	"github.com/monsoontiller/monsoontiller/quota"
)

// BorrowTokens requests quota tokens by account from a peer and returns those that it has given up, which must be used
// within quota.LoanTimeout of the call. The call is bounded by that time and the node's timeout; with an error, the tokens
// are lost.
func (n *Node) BorrowTokens(ctx context.Context, from membership.Identity, amounts map[string]float64) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, min(n.cfg.Timeout, quota.LoanTimeout))
	defer cancel()
	resp, err := n.client(from.PeerAddress()).BorrowTokens(ctx, connect.NewRequest(&peerv1.BorrowTokensRequest{
		Amounts: tokenMessages(amounts),
	}))
	if err != nil {
		return nil, err
	}
	return tokenAmounts(resp.Msg.GetAmounts()), nil
}

// BorrowTokens lends a peer quota tokens.
func (h *handler) BorrowTokens(_ context.Context, req *connect.Request[peerv1.BorrowTokensRequest]) (*connect.Response[peerv1.BorrowTokensResponse], error) {
	lent := h.node.cfg.Backend.LendTokens(tokenAmounts(req.Msg.GetAmounts()))
	return connect.NewResponse(&peerv1.BorrowTokensResponse{Amounts: tokenMessages(lent)}), nil
}

// tokenAmounts converts a peer's amounts; those that are not positive finite numbers are dropped.
func tokenAmounts(messages []*peerv1.TokenAmount) map[string]float64 {
	amounts := make(map[string]float64, len(messages))
	for _, m := range messages {
		tokens := m.GetTokens()
		if tokens > 0 && !math.IsInf(tokens, 1) {
			amounts[m.GetAccount()] = tokens
		}
	}
	return amounts
}

func tokenMessages(amounts map[string]float64) []*peerv1.TokenAmount {
	messages := make([]*peerv1.TokenAmount, 0, len(amounts))
	for account, tokens := range amounts {
		messages = append(messages, &peerv1.TokenAmount{Account: account, Tokens: tokens})
	}
	return messages
}
