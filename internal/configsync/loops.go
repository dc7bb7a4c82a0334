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

// errValuesMissing means that a pull made no progress: the peer listed values and did not supply
// them.
var errValuesMissing = errors.New("peer did not supply all values that it listed")

// applyLoop puts values in force, one after the other, whenever applySignal is set.
func (r *Runner) applyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.applySignal.Ready():
			r.applySignal.Drain()
		}
		r.mu.Lock()
		revisions := r.syncer.RevisionsToApply()
		r.mu.Unlock()
		for _, revision := range revisions {
			v, _ := r.store.Get(revision.Name)
			r.mu.Lock()
			peerResidues := r.syncer.PeerResidues(v.Name)
			r.mu.Unlock()
			residue, err := r.apply(v, peerResidues)
			r.mu.Lock()
			push := r.syncer.FinishApply(time.Now(), v, peerResidues, residue, err)
			r.mu.Unlock()
			if push {
				r.pushSignal.Offer(struct{}{})
			}
		}
	}
}

// apply puts one value in force and returns its residue, or nil when it has none.
func (r *Runner) apply(v Value, peerResidues []PeerResidue) ([]byte, error) {
	content, err := v.Content()
	if err != nil {
		return nil, err
	}
	if v.Name != VMListName {
		return r.opts.Apply(Update{v.Name, v.Revision.Number, content, peerResidues})
	}
	list, err := ParseVMList(content)
	if err != nil {
		return nil, err
	}
	r.View(func(_ time.Time, m *membership.Members) { m.SetList(list) })
	return nil, nil
}

// exchangeLoop asks peers during the start procedure, then exchanges with a random peer at the
// repair interval.
func (r *Runner) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		now := time.Now()
		r.syncer.Ready(now) // updates the readiness, on which the interval depends
		starting := r.syncer.Starting()
		next := r.syncer.NextRepairPeer
		if starting {
			next = r.syncer.NextStartPeer
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
			r.syncer.RecordStartAnswer(sender)
			r.mu.Unlock()
		}
	}
}

// exchange compares revisions with a peer. It pulls values that are newer there or have a residue
// to merge, and, unless this daemon is starting, offers what is newer here. It returns the ID of
// the VM that answered.
func (r *Runner) exchange(ctx context.Context, peer membership.VM) (string, error) {
	digest := r.store.Digest()
	response, err := r.opts.Peers.Exchange(ctx, peer.Address,
		&peerapi.ExchangeRequest{Sender: r.sender(), Digest: digest, PlatformAgeMs: r.platformAgeMs()})
	if err != nil {
		return "", r.recordFailure(ctx, peer, err)
	}
	r.recordAnswer(peer, response.GetSender(), response.GetPlatformAgeMs())
	source := response.GetSender().GetVm()
	if response.GetDigest() == digest {
		return source, nil
	}
	r.mu.Lock()
	r.syncer.counts.ExchangesDiffering++
	pull, offers := r.syncer.CompareRevisions(time.Now(), source, revisionsFromProto(response.GetRevisions()))
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

// pull fetches the named values in as many messages as they need. It returns errValuesMissing when
// an answer brings none of them.
func (r *Runner) pull(ctx context.Context, peer membership.VM, names []string) error {
	for len(names) > 0 {
		response, err := r.opts.Peers.Pull(ctx, peer.Address, &peerapi.PullRequest{Sender: r.sender(), Names: names})
		if err != nil {
			return r.recordFailure(ctx, peer, err)
		}
		values := valuesFromProto(response.GetValues())
		r.receiveValues(response.GetSender().GetVm(), values)
		before := len(names)
		names = slices.DeleteFunc(names, func(name string) bool {
			return slices.ContainsFunc(values, func(v Value) bool {
				return v.Name == name && r.store.Revision(name) >= v.Revision.Number
			})
		})
		if len(names) == before {
			return errValuesMissing
		}
	}
	return nil
}

// pushLoop offers new values to peers. A round waits for the slowest of its peers, which the
// timeouts of the calls bound.
func (r *Runner) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.pushSignal.Ready():
			r.pushSignal.Drain()
		}
		r.mu.Lock()
		targets, offers := r.syncer.NextPushRound(time.Now())
		r.mu.Unlock()
		var wg sync.WaitGroup
		for i, peer := range targets {
			wg.Go(func() { _ = r.push(ctx, peer, offers[i]) }) // failures are recorded; a later exchange repairs them
		}
		wg.Wait()
	}
}

// push offers revisions to a peer, then sends the values that the peer wants.
func (r *Runner) push(ctx context.Context, peer membership.VM, offers []Revision) error {
	response, err := r.opts.Peers.Push(ctx, peer.Address,
		&peerapi.PushRequest{Sender: r.sender(), Offers: revisionsToProto(offers), PlatformAgeMs: r.platformAgeMs()})
	if err != nil {
		return r.recordFailure(ctx, peer, err)
	}
	r.recordAnswer(peer, response.GetSender(), 0)
	wanted := response.GetWanted()
	r.mu.Lock()
	r.syncer.counts.OffersWanted += uint64(len(wanted))
	r.mu.Unlock()
	for len(wanted) > 0 {
		var values []*peerapi.Value
		if values, wanted = nextValueBatch(r.store, wanted); len(values) == 0 {
			break
		}
		if _, err := r.opts.Peers.Push(ctx, peer.Address, &peerapi.PushRequest{Sender: r.sender(), Values: values}); err != nil {
			return r.recordFailure(ctx, peer, err)
		}
	}
	return nil
}

// readLoop reads from the platform: as a reader, during the start, or as a fallback.
func (r *Runner) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		r.mu.Lock()
		step := r.syncer.NextReadStep(asked)
		r.mu.Unlock()
		if step.Kind == StepWait {
			pause.For(ctx, step.Wait)
			continue
		}
		r.wakeLoops(r.runReadStep(ctx, step, asked))
	}
}

// runReadStep makes one call to the platform and returns the number of new values stored. A call
// that ctx cut off says nothing about the platform and is not recorded.
func (r *Runner) runReadStep(ctx context.Context, step Step, asked time.Time) (stored int) {
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
		r.syncer.HandleChanges(now, step, asked, changes, err)
	case StepValue:
		stored = r.syncer.HandleValue(now, step, value, err)
	case StepVMs:
		stored = r.syncer.HandleVMs(now, list, err)
	}
	return stored
}

// recordAnswer records that a peer answered a call, and the platform age that it reported.
func (r *Runner) recordAnswer(peer membership.VM, sender *peerapi.Sender, ageMs uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.syncer.members.Answered(now, peer, senderFromProto(sender))
	r.recordPlatformAge(now, ageMs)
}

// recordFailure records that a peer did not answer a call, unless ctx has ended, and returns err.
func (r *Runner) recordFailure(ctx context.Context, peer membership.VM, err error) error {
	if ctx.Err() == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.syncer.members.Failed(time.Now(), peer)
	}
	return err
}
