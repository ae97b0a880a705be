package gateway

import (
	"time"

	"quartzshelf.dev/routing"
)

// maxDecisions is how many decisions are kept for operators.
const maxDecisions = 4096

// Decision says why a request went to a replica. It is a message, hence its
// exported fields.
type Decision struct {
	Request    string    `json:"request"`
	Account    string    `json:"account"`
	Deployment string    `json:"deployment"`
	Time       time.Time `json:"time"`
	Replica    string    `json:"replica"`
	// Occupancy is that of the chosen replica, Least that of the least
	// occupied one, both as shares of the slots.
	Occupancy  float64 `json:"occupancy"`
	Least      float64 `json:"least_occupancy"`
	Candidates int     `json:"candidates"`
}

func newDecision(r *request, deployment string, candidates []routing.Candidate, chosen int) Decision {
	return Decision{
		Request: r.id, Account: r.account.Name(), Deployment: deployment, Time: time.Now(),
		Replica: candidates[chosen].ID, Occupancy: candidates[chosen].Occupancy(),
		Least: routing.LeastOccupancy(candidates), Candidates: len(candidates),
	}
}

// Decision returns the last decision about a request.
func (g *Gateway) Decision(request string) (Decision, bool) {
	return g.decisions.Get(request)
}
