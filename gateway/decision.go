package gateway

import (
	"time"

	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/routing"
)

// maxDecisions is the maximum number of recent decisions that are kept for operators.
const maxDecisions = 4096

// Decision describes why a request was sent to a replica or refused. It is encoded as JSON in
// answers to operators.
type Decision struct {
	RequestID string `json:"request"`
	Account   string `json:"account"`
	// Deployment is the name of the deployment, or of the service if a service call was refused.
	Deployment string    `json:"deployment"`
	Time       time.Time `json:"time"`
	// Replica is the ID of the replica that the request was sent to. It is empty if the request was
	// refused.
	Replica string `json:"replica,omitempty"`
	// RefusalReason and RefusalMessage are the reason and the text of the refusal.
	RefusalReason  reason.Reason `json:"refused,omitempty"`
	RefusalMessage string        `json:"message,omitempty"`
	// Occupancy is the number of requests at the chosen replica divided by the number of its slots.
	// LeastOccupancy is the same for the least occupied candidate, and CandidateCount is the number
	// of candidates.
	Occupancy      float64 `json:"occupancy"`
	LeastOccupancy float64 `json:"least_occupancy"`
	CandidateCount int     `json:"candidates"`
	// PassedOver counts the excluded replicas or endpoints by reason.
	PassedOver PassedOver `json:"passed_over,omitempty"`
}

func newDecision(r *request, deployment string, candidates []routing.Candidate, chosenIndex int, passedOver PassedOver) Decision {
	return Decision{
		RequestID: r.id, Account: r.account.Name(), Deployment: deployment, Time: time.Now(),
		Replica: candidates[chosenIndex].ID, Occupancy: candidates[chosenIndex].Occupancy(),
		LeastOccupancy: routing.LeastOccupancy(candidates), CandidateCount: len(candidates), PassedOver: passedOver,
	}
}

func newRefusalDecision(r *request, deployment string, refused *refusal, passedOver PassedOver) Decision {
	return Decision{
		RequestID: r.id, Account: r.account.Name(), Deployment: deployment, Time: time.Now(),
		RefusalReason: refused.reason, RefusalMessage: refused.message, PassedOver: passedOver,
	}
}

// Decision returns the latest decision on the request with the given ID, if it is still kept.
func (g *Gateway) Decision(request string) (Decision, bool) {
	return g.decisions.Get(request)
}
