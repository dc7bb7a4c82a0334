package feed

import (
	"context"
	"errors"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/registry"
)

// regionStore is the store of a region as one daemon sees it.
type regionStore struct {
	daemonStore
	region *region
}

// call counts calls and takes their time. It returns an error if the store refuses the daemon.
func (s regionStore) call(ctx context.Context, calls int) error {
	s.region.calls.Add(int64(calls))
	return s.roundTrips(ctx, calls)
}

// roundTrips takes the time of calls.
func (s regionStore) roundTrips(ctx context.Context, calls int) error {
	if err := s.refusal(); err != nil {
		return err
	}
	if err := s.awaitAnswer(ctx); err != nil {
		return err
	}
	wait := storeLatency * time.Duration(calls)
	if n := s.region.node(s.vm); n != nil && n.cutOff.Load() {
		wait = callTimeout
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
	}
	if wait == callTimeout {
		return errors.New("no answer")
	}
	return nil
}

// refusal returns an error if the store is away or refuses the daemon.
func (s regionStore) refusal() error {
	if _, refused := s.region.refused.Load(s.vm); refused || s.region.away.Load() {
		return errors.New("refused")
	}
	return nil
}

// awaitAnswer waits until ctx ends, and returns its error, if the store does not answer the daemon.
func (s regionStore) awaitAnswer(ctx context.Context) error {
	if _, unanswered := s.region.unanswered.Load(s.vm); !unanswered {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s regionStore) List(ctx context.Context, progress func()) ([]registry.Change, uint64, error) {
	changes, revision, err := s.daemonStore.List(ctx, progress)
	if err == nil {
		err = s.call(ctx, 1+len(changes)/regionPageItems)
	}
	if err == nil {
		err = s.region.transfer(ctx, changes, progress)
	}
	return changes, revision, err
}

func (s regionStore) Peek(ctx context.Context) ([]registry.Change, error) {
	s.region.looks.Add(1)
	if err := s.roundTrips(ctx, 1); err != nil {
		return nil, err
	}
	changes, err := s.daemonStore.Peek(ctx)
	return changes[:min(len(changes), regionPageItems)], err
}

func (s regionStore) Probe(ctx context.Context, revision uint64) error {
	s.region.probes.Add(1)
	if err := s.roundTrips(ctx, 1); err != nil {
		return err
	}
	return s.daemonStore.Probe(ctx, revision)
}

func (s regionStore) Watch(ctx context.Context, after uint64, wait time.Duration, progress func()) ([]registry.Change, uint64, error) {
	if err := s.call(ctx, 1); err != nil {
		return nil, 0, err
	}
	changes, revision, err := s.daemonStore.Watch(ctx, after, wait, progress)
	if err == nil && s.region.away.Load() {
		err = s.refusal()
	}
	if err == nil {
		err = s.awaitAnswer(ctx)
	}
	if err == nil {
		err = s.region.transfer(ctx, changes, progress)
	}
	if n := s.region.node(s.vm); err == nil && n != nil && !n.awaitRelease(ctx) {
		err = ctx.Err()
	}
	return changes, revision, err
}
