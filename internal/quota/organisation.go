package quota

import (
	"slices"
	"time"
)

// organisation is the state of an organisation at an entry. Times are since the start of the Taker.
type organisation struct {
	hash     uint64
	division division
	plan     *Plan
	// parts are those of all regions, region by region.
	parts []partState
	// atHand are tokens that no request uses, used those of requests, returns those to be returned.
	atHand, used, returns []lot
	// turn chooses among other parts. spread distributes the times to come back.
	turn   uint32
	spread float64
	// second is the number of a second, with the requests in it and in the one before.
	second        int64
	uses, usesAgo int
	lastSeen      time.Duration
}

// partState is what the entry knows of one part.
type partState struct {
	// holder is the index of the holder in its region, or -1; it is valid for organisation.plan.
	holder int32
	// blockedUntil is the time until which the part is not asked, place the time at which its holder
	// told to come back, and distance how far ahead that was. place is 0 if it told nothing.
	blockedUntil, place, distance time.Duration
	// asking is true while an ask of this entry is on its way.
	asking bool
}

// isBlocked reports whether the part is not to be asked now. For some time after a refusal only one
// request at a time asks, because the others would be refused too.
func (p *partState) isBlocked(elapsed time.Duration) bool {
	return p.blockedUntil > elapsed || p.asking && p.place > 0 && p.blockedUntil+contendedTime > elapsed
}

// lot is a number of tokens that were granted together.
type lot struct {
	part         int32 // index in organisation.parts
	tokens       int32
	epoch, stamp uint32
	until        time.Duration
}

func (l lot) sameGrant(other lot) bool {
	return l.part == other.part && l.epoch == other.epoch && l.stamp == other.stamp
}

// one returns one token of the lot.
func (l lot) one() lot {
	l.tokens = 1
	return l
}

// prepare adapts the state to limits and plan.
func (o *organisation) prepare(bounds Bounds, limits Limits, p *Plan) {
	o.division, o.plan = bounds.divide(limits, len(p.regions)), p
	if n := o.division.parts(len(p.regions)); n != len(o.parts) {
		// The numbers of the parts mean others now.
		o.parts, o.returns = make([]partState, n), nil
		for _, lots := range [][]lot{o.atHand, o.used} {
			for i := range lots {
				lots[i].part = -1
			}
		}
	}
	for i := range o.parts {
		o.parts[i] = partState{holder: unknownHolder}
	}
}

// count counts a request.
func (o *organisation) count(elapsed time.Duration) {
	o.lastSeen = elapsed
	switch second := int64(elapsed / time.Second); second {
	case o.second:
	case o.second + 1:
		o.second, o.usesAgo, o.uses = second, o.uses, 0
	default:
		o.second, o.usesAgo, o.uses = second, 0, 0
	}
	o.uses++
}

// expire moves the tokens that are too old to those to be returned.
func (o *organisation) expire(elapsed time.Duration) {
	for i := 0; i < len(o.atHand); {
		if o.atHand[i].until >= elapsed {
			i++
			continue
		}
		o.giveBack(o.atHand[i])
		o.atHand = slices.Delete(o.atHand, i, i+1)
	}
}

// giveBack adds a lot to those to be returned, unless its part no longer exists.
func (o *organisation) giveBack(l lot) {
	if l.part >= 0 {
		o.returns = add(o.returns, l)
	}
}

// add adds a lot. One that no longer fits is forgotten, so that its tokens are not returned. Forgetting
// older ones instead would have later requests return tokens as newer than they are.
func add(lots []lot, l lot) []lot {
	for i := range lots {
		if lots[i].sameGrant(l) {
			lots[i].tokens += l.tokens
			lots[i].until = min(lots[i].until, l.until)
			return lots
		}
	}
	if len(lots) >= maxLots {
		return lots
	}
	return append(lots, l)
}

// removeOne removes one token of the lot i.
func removeOne(lots []lot, i int) []lot {
	if lots[i].tokens--; lots[i].tokens > 0 {
		return lots
	}
	return slices.Delete(lots, i, i+1)
}
