package configsync

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cowsliprun/cowsliprun/internal/membership"
	"github.com/cowsliprun/cowsliprun/internal/pause"
	"github.com/cowsliprun/cowsliprun/internal/peerapi"
	"github.com/cowsliprun/cowsliprun/internal/platform"
)

// errIncomplete means that a peer listed values that it did not supply.
var errIncomplete = errors.New("peer did not supply all values that it listed")

// runApply puts values in force, one after the other.
func (r *Runner) runApply(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.applyWork.Ready():
			r.applyWork.Drain()
		}
		r.mu.Lock()
		list := r.syncer.ToApply()
		r.mu.Unlock()
		for _, revision := range list {
			v, _ := r.store.Get(revision.Name)
			r.mu.Lock()
			memories := r.syncer.Memories(v.Name)
			r.mu.Unlock()
			residue, err := r.apply(v, memories)
			r.mu.Lock()
			push := r.syncer.Settle(time.Now(), v, memories, residue, err)
			r.mu.Unlock()
			if push {
				r.pushWork.Offer(struct{}{})
			}
		}
	}
}

func (r *Runner) apply(v Value, memories []Memory) ([]byte, error) {
	content, err := v.Content()
	if err != nil {
		return nil, err
	}
	if v.Name != ListName {
		return r.opts.Apply(Update{v.Name, v.Revision.Revision, content, memories})
	}
	list, err := ParseList(content)
	if err != nil {
		return nil, err
	}
	r.View(func(_ time.Time, m *membership.Members) { m.SetList(list) })
	return nil, nil
}

// runExchange asks the peers of the start procedure, then compares with a random peer from time to time.
func (r *Runner) runExchange(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		now := time.Now()
		r.syncer.Ready(now) // the interval depends on it
		starting := r.syncer.Starting()
		next := r.syncer.NextRepair
		if starting {
			next = r.syncer.NextAsk
		}
		peer, due, wait := next(now)
		r.mu.Unlock()
		if !due {
			pause.For(ctx, wait)
			continue
		}
		sender, err := r.exchange(ctx, peer)
		if starting && err == nil {
			r.mu.Lock()
			r.syncer.AskDone(sender)
			r.mu.Unlock()
		}
	}
}

// exchange compares with a peer, pulls what is newer or remembered there and offers what is newer here. It returns the peer's VM.
func (r *Runner) exchange(ctx context.Context, peer membership.VM) (string, error) {
	digest := r.store.Digest()
	response, err := r.opts.Peers.Exchange(ctx, peer.Address,
		&peerapi.ExchangeRequest{Sender: r.sender(), Digest: digest, PlatformAgeMs: r.age()})
	if err != nil {
		return "", r.failed(ctx, peer, err)
	}
	r.answered(peer, response.GetSender(), response.GetPlatformAgeMs())
	source := response.GetSender().GetVm()
	if response.GetDigest() == digest {
		return source, nil
	}
	r.mu.Lock()
	r.syncer.counts.ExchangesDiffering++
	pull, offers := r.syncer.Compared(time.Now(), source, fromRevisions(response.GetRevisions()))
	starting := r.syncer.Starting()
	r.mu.Unlock()
	if err := r.pull(ctx, peer, pull); err != nil {
		return source, err
	}
	if !starting && len(offers) > 0 {
		return source, r.push(ctx, peer, offers)
	}
	return source, nil
}

func (r *Runner) pull(ctx context.Context, peer membership.VM, names []string) error {
	for len(names) > 0 {
		response, err := r.opts.Peers.Pull(ctx, peer.Address, &peerapi.PullRequest{Sender: r.sender(), Names: names})
		if err != nil {
			return r.failed(ctx, peer, err)
		}
		values := fromValues(response.GetValues())
		r.receive(response.GetSender().GetVm(), values)
		before := len(names)
		names = slices.DeleteFunc(names, func(name string) bool {
			return slices.ContainsFunc(values, func(v Value) bool {
				return v.Name == name && r.store.Revision(name) >= v.Revision.Revision
			})
		})
		if len(names) == before {
			return errIncomplete
		}
	}
	return nil
}

// runPush offers new values to peers. A round waits for the slowest of its peers; their timeouts bound it.
func (r *Runner) runPush(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pushWork.Ready():
			r.pushWork.Drain()
		}
		r.mu.Lock()
		targets, offers := r.syncer.PushRound(time.Now())
		r.mu.Unlock()
		var wg sync.WaitGroup
		for i, peer := range targets {
			wg.Go(func() { _ = r.push(ctx, peer, offers[i]) }) // a failure is recorded, and repair makes up for it
		}
		wg.Wait()
	}
}

func (r *Runner) push(ctx context.Context, peer membership.VM, offers []Revision) error {
	response, err := r.opts.Peers.Push(ctx, peer.Address,
		&peerapi.PushRequest{Sender: r.sender(), Offers: toRevisions(offers), PlatformAgeMs: r.age()})
	if err != nil {
		return r.failed(ctx, peer, err)
	}
	r.answered(peer, response.GetSender(), 0)
	wanted := response.GetWanted()
	r.mu.Lock()
	r.syncer.counts.OffersWanted += uint64(len(wanted))
	r.mu.Unlock()
	for len(wanted) > 0 {
		var values []*peerapi.Value
		if values, wanted = takeValues(r.store, wanted); len(values) == 0 {
			break
		}
		if _, err := r.opts.Peers.Push(ctx, peer.Address, &peerapi.PushRequest{Sender: r.sender(), Values: values}); err != nil {
			return r.failed(ctx, peer, err)
		}
	}
	return nil
}

// runRead reads the platform as a reader, at the start, or as a fallback.
func (r *Runner) runRead(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		r.mu.Lock()
		step := r.syncer.NextRead(asked)
		r.mu.Unlock()
		if step.Kind == StepWait {
			pause.For(ctx, step.Wait)
			continue
		}
		r.wake(r.readStep(ctx, step, asked))
	}
}

// readStep makes one call and returns the number of new values stored. A call cut off by ctx teaches nothing.
func (r *Runner) readStep(ctx context.Context, step Step, asked time.Time) (stored int) {
	var (
		changes platform.Changes
		value   platform.Value
		list    platform.VMList
		err     error
	)
	switch step.Kind {
	case StepChanges:
		changes, err = r.opts.Platform.Changes(ctx, step.After, step.Wait)
	case StepValue:
		value, err = r.opts.Platform.Value(ctx, step.Name)
	case StepVMs:
		list, err = r.opts.Platform.VMs(ctx)
	}
	if ctx.Err() != nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch step.Kind {
	case StepChanges:
		r.syncer.ChangesDone(now, step, asked, changes, err)
	case StepValue:
		stored = r.syncer.ValueDone(now, step, value, err)
	case StepVMs:
		stored = r.syncer.VMsDone(now, list, err)
	}
	return stored
}

func (r *Runner) answered(peer membership.VM, sender *peerapi.Sender, ageMs uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.syncer.members.Answered(now, peer, fromSender(sender))
	r.hearAge(now, ageMs)
}

func (r *Runner) failed(ctx context.Context, peer membership.VM, err error) error {
	if ctx.Err() == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.syncer.members.Failed(time.Now(), peer)
	}
	return err
}
