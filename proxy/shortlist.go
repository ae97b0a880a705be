package proxy

import "time"

const (
	// shortlistSize is the number of replicas among which the requests of many daemons are divided.
	shortlistSize = 8
	// minLead is the lead of a replica, as a part of the noise, from which it counts as leading. With
	// a smaller one, the noise alone lets daemons choose different replicas.
	minLead = 0.25
	// maxFilledShare is the part of a replica's free slots that the requests of all daemons may fill
	// before its load is reported. Daemons draw independently, so that more of them may come.
	maxFilledShare = 0.4
	// maxDivided is the maximum number of requests that are divided among the replicas.
	maxDivided = 64
)

// shortlist holds the replicas with the lowest predicted waits, the lowest first.
type shortlist struct {
	choices [shortlistSize]Choice
	waits   [shortlistSize]time.Duration
	count   int
}

// add adds a replica unless enough others have lower waits.
func (l *shortlist) add(c Choice, wait time.Duration) {
	at := l.count
	for at > 0 && l.waits[at-1] > wait {
		at--
	}
	if at == shortlistSize {
		return
	}
	l.count = min(l.count+1, shortlistSize)
	copy(l.choices[at+1:l.count], l.choices[at:l.count-1])
	copy(l.waits[at+1:l.count], l.waits[at:l.count-1])
	l.choices[at], l.waits[at] = c, wait
}

// hasLeader reports whether nearly all daemons would choose the first replica, since its wait is lower than
// all others by more than the noise can make up for.
func (l *shortlist) hasLeader(noise time.Duration) bool {
	return l.count > 1 && float64(l.waits[1]-l.waits[0]) > minLead*float64(noise)
}

// draw chooses a replica for one of the requests that all daemons send before they report them. The share
// of each replica is what levels the waits. random is from [0, 1).
func (l *shortlist) draw(c costs, promptTokens int, requests float64, random float64) Choice {
	total := min(int(requests)+1, maxDivided)
	shares := l.divide(c, promptTokens, total)
	at := random * float64(total)
	for n := range l.count {
		if at -= float64(shares[n]); at < 0 {
			return l.choices[n]
		}
	}
	return l.choices[0]
}

// divide divides requests among the replicas, each to the one with the lowest wait. A replica with free
// slots gets at most maxFilledShare of them, but for the last one.
func (l *shortlist) divide(c costs, promptTokens, requests int) (shares [shortlistSize]int) {
	waits := l.waits
	for range requests {
		next := l.count - 1
		for n := range l.count - 1 {
			if waits[n] < waits[next] && !l.isFilled(n, shares[n], c) {
				next = n
			}
		}
		shares[next]++
		held := l.choices[next].InFlight
		growth := c.predictedWait(held+float64(shares[next]), shares[next]*promptTokens) - c.predictedWait(held, 0)
		waits[next] = l.waits[next] + growth
	}
	return shares
}

// isFilled reports whether one more request exceeds what a replica's free slots may take.
func (l *shortlist) isFilled(n, share int, c costs) bool {
	free := c.slots - l.choices[n].InFlight
	return free > 0 && float64(share+1) > maxFilledShare*free
}
