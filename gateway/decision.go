package gateway

import (
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/routing"
)

// maxDecisions is how many decisions are kept for operators.
const maxDecisions = 4096

// Decision says why a request went to a replica, or to none. It is a message, hence its
// exported fields.
type Decision struct {
	Request    string    `json:"request"`
	Account    string    `json:"account"`
	Deployment string    `json:"deployment"`
	Time       time.Time `json:"time"`
	// Replica is where the request went, empty for one that was refused.
	Replica string `json:"replica,omitempty"`
	// Refused and Message say why it went nowhere.
	Refused reason.Reason `json:"refused,omitempty"`
	Message string        `json:"message,omitempty"`
	// Occupancy is that of the chosen replica, Least that of the least
	// occupied one, both as shares of the slots.
	Occupancy  float64 `json:"occupancy"`
	Least      float64 `json:"least_occupancy"`
	Candidates int     `json:"candidates"`
	// PassedOver is what kept others from being chosen.
	PassedOver PassedOver `json:"passed_over,omitempty"`
}

func newDecision(r *request, deployment string, candidates []routing.Candidate, chosen int, passed PassedOver) Decision {
	return Decision{
		Request: r.id, Account: r.account.Name(), Deployment: deployment, Time: time.Now(),
		Replica: candidates[chosen].ID, Occupancy: candidates[chosen].Occupancy(),
		Least: routing.LeastOccupancy(candidates), Candidates: len(candidates), PassedOver: passed,
	}
}

// refusedDecision is the decision about a request that went nowhere.
func refusedDecision(r *request, deployment string, refused *refusal, passed PassedOver) Decision {
	return Decision{
		Request: r.id, Account: r.account.Name(), Deployment: deployment, Time: time.Now(),
		Refused: refused.reason, Message: refused.message, PassedOver: passed,
	}
}

// Decision returns the last decision about a request.
func (g *Gateway) Decision(request string) (Decision, bool) {
	return g.decisions.Get(request)
}
