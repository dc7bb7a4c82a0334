package quota

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// NearTimeout and FarTimeout are how long an entry waits for a holder of its own region and of
	// another one.
	NearTimeout = 150 * time.Millisecond
	FarTimeout  = 260 * time.Millisecond
	// silencePause is how long a holder that did not answer is not asked again.
	silencePause = time.Second
	// notHolderPause is how long a part is not asked again after a daemon answered that it does not hold
	// it. The lists of daemons agree soon.
	notHolderPause = 200 * time.Millisecond
	// maxBlock bounds how long a part that refused is not asked again. Its holder may know of a raised
	// limit by then, or of tokens that others did not come back for.
	maxBlock = 500 * time.Millisecond
	// contendedTime is how long after a block only one request at a time asks for a part.
	contendedTime = 500 * time.Millisecond
	// maxAsks bounds the holders that are asked for one request.
	maxAsks = 4
	// usesPerExtra is the number of requests in the last second for which one more token is asked for.
	usesPerExtra = 4
	// maxLots bounds the lots of tokens in use, at hand or to be returned, of one organisation.
	maxLots = 64
	// idleTime is how long an entry keeps the state of an organisation without requests.
	idleTime = 10 * time.Second
)

// Decision is what becomes of a request.
type Decision uint8

// The decisions.
const (
	// Admitted: the request has a token. Release must be called at its end.
	Admitted Decision = iota
	// AskHolder: the daemon Attempt.VM has to be asked, and its answer to be passed to Answered.
	AskHolder
	// Limited: the organisation is above its limits, and Attempt.RetryAfter says when to come back.
	Limited
	// Unreachable: no holder answered, and Attempt.RetryAfter says when to come back.
	Unreachable
)

// Attempt is the search for a token for one request.
type Attempt struct {
	// VM and Address are those of the daemon to ask, Far is true if it is in another region.
	VM, Address string
	Far         bool
	Ask         Ask
	RetryAfter  time.Duration

	region  int
	askedAt time.Duration
	// plan and regionParts are those of the ask.
	plan        *Plan
	regionParts int
	asks        int
	// stage is the group of parts that is asked next.
	stage stage
	// refused is true if a holder, or what one said lately, refused. farRefused is true if no further
	// holder of another region is to be asked.
	refused, farRefused bool
	// last is the organisation's state, which may have been dropped in the meantime.
	last *organisation
}

// stage is a group of parts in the order in which they are asked.
type stage uint8

const (
	ownPart stage = iota
	otherPart
	farPart
	noPart
)

// Taker takes tokens for the requests of an entry. It is safe for concurrent use.
type Taker struct {
	region string
	bounds Bounds
	hash   uint64

	mu            sync.Mutex
	start         time.Time
	plan          *Plan
	home          int // the number of the entry's region, or -1
	organisations map[string]*organisation
	// sweeping are the names that the present round of Sweep has yet to visit, sweepSize of them a call.
	sweeping  []string
	sweepSize int
	// silent maps the VMs of holders that did not answer to the time until which they are not asked.
	silent           map[string]time.Duration
	asks, unanswered uint64
}

// NewTaker returns a Taker without a plan for the entry on the VM self.
func NewTaker(now time.Time, self, region string, bounds Bounds) *Taker {
	return &Taker{
		region: region, bounds: bounds, hash: mix(xxhash.Sum64String(self)), start: now, plan: NewPlan(nil, nil), home: -1,
		organisations: map[string]*organisation{}, silent: map[string]time.Duration{},
	}
}

// SetPlan puts a plan in force.
func (t *Taker) SetPlan(p *Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plan, t.home = p, p.region(t.region)
}

// Take looks for a token for a request of the organisation. After AskHolder the caller has to ask and
// to call Answered. limits must not be unlimited.
func (t *Taker) Take(now time.Time, name string, limits Limits, a *Attempt) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := now.Sub(t.start)
	if !limits.valid() {
		a.RetryAfter = maxWait
		return Limited
	}
	o := t.organisations[name]
	if o == nil {
		o = &organisation{hash: hashOf(name)}
		t.organisations[name] = o
	}
	if o.division.limits != limits || o.plan != t.plan {
		o.prepare(t.bounds, limits, t.plan)
	}
	o.count(elapsed)
	o.expire(elapsed)
	if len(o.atHand) > 0 {
		o.used = add(o.used, o.atHand[0].one())
		o.atHand = removeOne(o.atHand, 0)
		return Admitted
	}
	o.turn++
	a.last, a.Ask.Organisation = o, name
	return t.next(elapsed, o, a)
}

// Answered takes the answer of the daemon that was asked. answered is false if there was none in time.
func (t *Taker) Answered(now time.Time, a *Attempt, answer Answer, answered bool) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed, o := now.Sub(t.start), a.last
	i := t.asked(a)
	if !answered {
		t.unanswered++
		t.silent[a.VM] = elapsed + silencePause
		return t.next(elapsed, o, a)
	}
	switch answer.Status {
	case Granted:
		granted := lot{part: int32(i), tokens: int32(answer.Tokens), epoch: answer.Epoch, stamp: answer.Stamp, until: a.askedAt + tokenLife}
		if elapsed > granted.until {
			o.giveBack(granted)
			return t.next(elapsed, o, a)
		}
		o.used = add(o.used, granted.one())
		if granted.tokens--; granted.tokens > 0 {
			o.atHand = add(o.atHand, granted)
		}
		return Admitted
	case NotHolder:
		if i >= 0 {
			o.parts[i].place, o.parts[i].blockedUntil = 0, elapsed+notHolderPause
		}
	case Refused:
		a.noteRefusal(answer.Wait)
		// Where nobody else was told to wait, the part is empty by chance, and another region may have a
		// token. An organisation above its limit would only cost further messages.
		a.farRefused = a.farRefused || a.Far && answer.Wait > answer.Free+seconds(1/o.division.rate)
		if i >= 0 {
			p := &o.parts[i]
			p.place, p.distance = elapsed+answer.Wait, answer.Wait
			// Even if all entries wait for their places, they ask again before the bucket is full.
			d := &o.division
			block := max(answer.Free, min(answer.Wait-seconds(1/d.rate), answer.Free+seconds((d.burst-1)/d.rate/2)))
			p.blockedUntil = elapsed + min(block, maxBlock)
		}
	}
	return t.next(elapsed, o, a)
}

// Withdraw ends an attempt after AskHolder without an ask.
func (t *Taker) Withdraw(a *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.asked(a); i >= 0 {
		for _, r := range a.Ask.Returns {
			a.last.returns = add(a.last.returns, lot{part: int32(i), tokens: int32(r.Tokens), epoch: a.Ask.Epoch, stamp: r.Stamp})
		}
	}
}

// asked notes that an ask has ended and returns the index of its part, or -1 if limits or daemons have
// changed since.
func (t *Taker) asked(a *Attempt) int {
	o := a.last
	if o.plan != t.plan || a.plan != t.plan || a.regionParts != o.division.regionParts {
		return -1
	}
	i := a.region*a.regionParts + a.Ask.Part
	o.parts[i].asking = false
	return i
}

// next chooses the daemon to ask, or decides without one.
func (t *Taker) next(elapsed time.Duration, o *organisation, a *Attempt) Decision {
	for ; a.stage < noPart && a.asks < maxAsks && t.home >= 0; a.stage++ {
		first, end, begin := t.candidates(o, a.stage)
		for n := range end - first {
			i := first + (begin+n)%(end-first)
			if t.canAsk(elapsed, o, i, a) {
				t.ask(elapsed, o, i, a)
				// A far part may be followed by another one.
				if a.stage != farPart {
					a.stage++
				}
				return AskHolder
			}
		}
	}
	return t.refuse(elapsed, o, a)
}

// candidates returns the range of parts of a stage and the offset of the one to begin with.
func (t *Taker) candidates(o *organisation, s stage) (first, end, begin int) {
	switch m, own := o.division.regionParts, t.ownPart(o); s {
	case ownPart:
		return own, own + 1, 0
	case otherPart:
		return t.home * m, (t.home + 1) * m, int(o.turn) % m
	default:
		return 0, len(o.parts), int((t.hash>>16 + uint64(o.turn)) % uint64(len(o.parts)))
	}
}

// ownPart returns the index of the part that this entry asks first.
func (t *Taker) ownPart(o *organisation) int {
	return t.home*o.division.regionParts + int(t.hash%uint64(o.division.regionParts))
}

// canAsk reports whether the part may be asked for the attempt.
func (t *Taker) canAsk(elapsed time.Duration, o *organisation, i int, a *Attempt) bool {
	region := i / o.division.regionParts
	if a.stage == farPart && (region == t.home || a.farRefused) || a.stage == otherPart && i == t.ownPart(o) {
		return false
	}
	p := &o.parts[i]
	if p.isBlocked(elapsed) {
		if p.place > 0 {
			o.spread = math.Mod(o.spread+math.Phi, 1)
			a.noteRefusal(max(p.place-elapsed, 0) + time.Duration(o.spread*float64(max(p.distance, seconds(1/o.division.rate)))))
		}
		return false
	}
	if p.holder == unknownHolder {
		p.holder = int32(o.plan.holder(region, o.hash, i%o.division.regionParts))
	}
	return p.holder >= 0 && t.silent[o.plan.members[region][p.holder].vm] <= elapsed
}

// unknownHolder marks a part whose holder has not been looked up.
const unknownHolder = -2

// ask fills in the ask for a part.
func (t *Taker) ask(elapsed time.Duration, o *organisation, i int, a *Attempt) {
	region := i / o.division.regionParts
	m := &o.plan.members[region][o.parts[i].holder]
	o.parts[i].asking = true
	a.plan, a.regionParts = o.plan, o.division.regionParts
	t.asks++
	a.asks++
	a.region, a.VM, a.Address, a.Far, a.askedAt = region, m.vm, m.address, region != t.home, elapsed
	a.Ask.Part, a.Ask.Want = i%o.division.regionParts, 1
	if o.division.ahead {
		a.Ask.Want = min(1+max(o.uses, o.usesAgo)/usesPerExtra, maxWant)
	}
	a.Ask.Epoch, a.Ask.Returns = 0, nil
	o.returns = slices.DeleteFunc(o.returns, func(l lot) bool {
		if int(l.part) != i || len(a.Ask.Returns) == maxReturns || a.Ask.Epoch != 0 && a.Ask.Epoch != l.epoch {
			return false
		}
		a.Ask.Epoch = l.epoch
		a.Ask.Returns = append(a.Ask.Returns, Return{l.stamp, int(l.tokens)})
		return true
	})
}

// refuse ends an attempt without a token.
func (t *Taker) refuse(elapsed time.Duration, o *organisation, a *Attempt) Decision {
	if a.refused {
		// Times are named in whole milliseconds. A caller that is early finds no token.
		a.RetryAfter = max(a.RetryAfter+time.Millisecond-1, time.Millisecond).Truncate(time.Millisecond)
		return Limited
	}
	o.spread = math.Mod(o.spread+math.Phi, 1)
	a.RetryAfter = silencePause/2 + time.Duration(o.spread*float64(silencePause))
	return Unreachable
}

// noteRefusal keeps the shortest time that a holder named.
func (a *Attempt) noteRefusal(wait time.Duration) {
	if !a.refused || wait < a.RetryAfter {
		a.RetryAfter = wait
	}
	a.refused = true
}

// Release ends a request that was admitted. mayHaveRun is false if it certainly did not run; its token
// then serves another request, or goes back to its holder.
func (t *Taker) Release(now time.Time, name string, mayHaveRun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.organisations[name]
	if o == nil || len(o.used) == 0 {
		return
	}
	// It is not known which token the request used. With the oldest one for each request that did not run
	// and the newest one for others, the returned tokens are never newer than the unused ones: of those
	// granted after any moment no more are returned than were not used.
	older := func(a, b lot) int { return cmp.Compare(a.until, b.until) }
	if mayHaveRun {
		o.used = removeOne(o.used, slices.Index(o.used, slices.MaxFunc(o.used, older)))
		return
	}
	l := slices.MinFunc(o.used, older)
	o.used = removeOne(o.used, slices.Index(o.used, l))
	l = l.one()
	if o.division.ahead && now.Sub(t.start) < l.until {
		o.atHand = add(o.atHand, l)
	} else {
		o.giveBack(l)
	}
}

// Sweep drops the state of some organisations without requests, in sweepsPerRound calls that of all.
func (t *Taker) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := now.Sub(t.start)
	if len(t.sweeping) == 0 {
		t.sweepSize = len(t.organisations)/sweepsPerRound + 1
		for name := range t.organisations {
			t.sweeping = append(t.sweeping, name)
		}
		for vm, until := range t.silent {
			if until <= elapsed {
				delete(t.silent, vm)
			}
		}
	}
	n := min(len(t.sweeping), t.sweepSize)
	for _, name := range t.sweeping[:n] {
		// A request may hold its token for longer than the idle time.
		if o := t.organisations[name]; o != nil && len(o.used) == 0 && elapsed-o.lastSeen > max(idleTime, t.bounds.Window+tokenLife) {
			delete(t.organisations, name)
		}
	}
	if t.sweeping = t.sweeping[n:]; len(t.sweeping) == 0 {
		t.sweeping = nil
	}
}

// maxDescribedParts bounds the parts of a description by Holders.
const maxDescribedParts = 12

// Holders describes which VMs hold the parts of the organisation's quota, for the log.
func (t *Taker) Holders(name string, limits Limits) fmt.Stringer { return holders{t, name, limits} }

type holders struct {
	taker  *Taker
	name   string
	limits Limits
}

// String returns REGION/PART=VM for the first parts.
func (h holders) String() string {
	h.taker.mu.Lock()
	p := h.taker.plan
	h.taker.mu.Unlock()
	d := h.taker.bounds.divide(h.limits, len(p.regions))
	var text []string
	for i := range min(d.parts(len(p.regions)), maxDescribedParts) {
		region, part := p.regions[i/d.regionParts], i%d.regionParts
		text = append(text, fmt.Sprintf("%s/%d=%s", region, part, p.Holder(region, h.name, part)))
	}
	return strings.Join(text, " ")
}

// TakerStats are counts of a Taker since its start, and its present number of organisations.
type TakerStats struct {
	Asks, Unanswered uint64
	Organisations    int
}

// Stats returns the counts.
func (t *Taker) Stats() TakerStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TakerStats{t.asks, t.unanswered, len(t.organisations)}
}
