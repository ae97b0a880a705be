package formation

import (
	"context"
	"errors"

	"quartzshelf.dev/fleet"
)

// order gives an order until it is answered, each time with a new fence so
// that an earlier one that comes late is void. It reports whether an answer
// came.
func (k *Keeper) order(ctx context.Context, what string, w *fleet.Worker, give func(context.Context, Fence) (Verdict, error)) (Verdict, bool) {
	refused, most := 0, orderTries
	if k.isSilent(w.ID) {
		most = silentTries
	}
	for tries := range most {
		verdict, err := k.tryOrder(ctx, give)
		k.noteTry(what, w, tries+1, verdict, err)
		switch {
		case err == nil && verdict == Fenced && refused == 0:
			// Another order of this term may have overtaken it.
			refused++
			continue
		case err == nil:
			k.checkTerm(what, w, verdict)
			if verdict == Elsewhere {
				k.noteEnded(w)
			}
			return verdict, true
		}
		k.forgetPosition(w.ID)
		if ctx.Err() != nil {
			return Unfit, false
		}
	}
	k.opts.Logger.Warn("order not answered", "order", what, "worker", w.ID, "tries", most)
	if _, lives := k.ask(ctx, w); !lives && ctx.Err() == nil {
		k.fellSilent(w.ID)
	}
	return Unfit, false
}

// tryOrder gives an order once, as soon as few enough calls are under way.
func (k *Keeper) tryOrder(ctx context.Context, give func(context.Context, Fence) (Verdict, error)) (Verdict, error) {
	k.calls <- struct{}{}
	defer func() { <-k.calls }()
	if k.opts.Awake != nil {
		k.opts.Awake()
	}
	if err := ctx.Err(); err != nil {
		return Unfit, err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return give(ctx, k.fence())
}

// checkTerm ends the term if a worker refused an order for its fence.
func (k *Keeper) checkTerm(what string, w *fleet.Worker, verdict Verdict) {
	if verdict != Fenced {
		return
	}
	k.opts.Logger.Warn("order refused: another leader has a higher term", "order", what, "worker", w.ID)
	k.outdone()
}

// ask asks a worker for its state.
func (k *Keeper) ask(ctx context.Context, w *fleet.Worker) (State, bool) {
	k.calls <- struct{}{}
	defer func() { <-k.calls }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	state, err := k.opts.Orders.Ask(ctx, w)
	if errors.Is(err, ErrElsewhere) {
		k.noteEnded(w)
	}
	if err != nil {
		return State{}, false
	}
	k.learn(w.ID, state)
	return state, true
}
