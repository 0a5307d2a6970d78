#include "Spread/Spread.h"

#include <algorithm>
#include <utility>

namespace Spread {

namespace {

/// Intervals vary by up to a quarter, so that processes started together do not stay in step.
Duration
Jittered(Duration aInterval, Common::Random& aRandom)
{
  const auto spread = static_cast<std::uint64_t>(aInterval.count() / 2);
  return aInterval - aInterval / 4 + Duration(static_cast<std::int64_t>(aRandom.below(spread)));
}

const InstanceId&
RandomPeer(const std::vector<InstanceId>& aPeers, Common::Random& aRandom)
{
  return aPeers[aRandom.below(aPeers.size())];
}

/// Tells up to aCount different peers what this process holds and asks what they hold. The peer
/// lists are random samples, so a run of neighbours in one is a random choice too.
void
Announce(const State& aState,
         const std::vector<InstanceId>& aPeers,
         std::size_t aCount,
         Common::Random& aRandom,
         std::vector<Action>& aActions)
{
  const std::size_t count = std::min(aCount, aPeers.size());
  const std::size_t first = aRandom.below(aPeers.size());
  for (std::size_t i = 0; i < count; ++i) {
    const InstanceId& peer = aPeers[(first + i) % aPeers.size()];
    aActions.emplace_back(SendDigest{ peer, aState.mHeld, true });
  }
}

/// Puts the held revision in force if enough other processes hold it, or if waiting for them took
/// too long.
void
PutInForceIfSafe(State& aState, Timestamp aNow, std::vector<Action>& aActions)
{
  if (aState.mInForce == aState.mHeld) {
    return;
  }
  const std::size_t wanted =
    std::min<std::size_t>(aState.mTiming.mHoldersBeforeUse, aState.mLocalPeers.size());
  const bool timedOut = aNow - aState.mHeldSince >= aState.mTiming.mHoldTimeout;
  if (aState.mHolders.size() >= wanted || timedOut) {
    aState.mInForce = aState.mHeld;
    aActions.emplace_back(PutInForce{ aState.mInForce });
  }
}

void
NoteHolder(State& aState, const InstanceId& aPeer, const Digest& aDigest)
{
  const bool known =
    std::find(aState.mHolders.begin(), aState.mHolders.end(), aPeer) != aState.mHolders.end();
  if (!known && aDigest.mRevision >= aState.mHeld.mRevision &&
      aState.mHolders.size() < aState.mTiming.mHoldersBeforeUse) {
    aState.mHolders.push_back(aPeer);
  }
}

/// Takes in new texts. aSource is the process that sent them; empty for the store.
void
Hold(State& aState,
     const Digest& aDigest,
     TableTexts aTexts,
     const InstanceId& aSource,
     Timestamp aNow,
     Common::Random& aRandom,
     std::vector<Action>& aActions)
{
  aState.mLog.append(MakeDelta(aState.mHeld, aState.mTexts, aDigest, aTexts));
  aState.mHeld = aDigest;
  aState.mTexts = std::move(aTexts);
  aState.mHeldSince = aNow;
  aState.mNextHolderAsk = aNow + aState.mTiming.mAskEvery;
  aState.mHolders.clear();
  aState.mStartup.reset();
  if (!aSource.empty()) {
    NoteHolder(aState, aSource, aDigest);
    aActions.emplace_back(SendDigest{ aSource, aDigest, false });
  }
  Announce(aState, aState.mLocalPeers, aState.mTiming.mFanOut, aRandom, aActions);
  if (aState.mRelay) {
    Announce(aState, aState.mRemoteRelays, aState.mTiming.mFanOut, aRandom, aActions);
  }
  PutInForceIfSafe(aState, aNow, aActions);
}

void
StartFetch(State& aState, Timestamp aNow, std::vector<Action>& aActions)
{
  if (aState.mFetch || aState.mHeardOf.mRevision <= aState.mHeld.mRevision) {
    return;
  }
  aState.mFetch = { aState.mHeardFrom, aState.mHeardOf, aNow + aState.mTiming.mFetchTimeout };
  aActions.emplace_back(SendFetch{ aState.mHeardFrom, aState.mHeld });
}

/// Gives up a fetch. The peer may be cut off, so another one is asked at once what it holds.
void
DropFetch(State& aState, Timestamp aNow)
{
  aState.mFetch.reset();
  aState.mHeardOf = aState.mHeld;
  aState.mNextExchange = aNow;
}

void
ExchangeWithOne(const State& aState,
                const std::vector<InstanceId>& aPeers,
                Common::Random& aRandom,
                std::vector<Action>& aActions)
{
  if (!aPeers.empty()) {
    aActions.emplace_back(SendDigest{ RandomPeer(aPeers, aRandom), aState.mHeld, true });
  }
}

void
StepStartup(State& aState, Timestamp aNow, std::vector<Action>& aActions)
{
  State::Startup& startup = *aState.mStartup;
  if (aNow >= startup.mNextAsk) {
    startup.mNextAsk = aNow + aState.mTiming.mAskEvery;
    for (const InstanceId& peer : aState.mLocalPeers) {
      aActions.emplace_back(SendDigest{ peer, Digest(), true });
    }
  }
  const bool settled = aNow - startup.mBegan >= aState.mTiming.mSettle;
  const StartupDecision decision =
    JudgeStartup(startup.mAnswers, aState.mLocalPeers.size(), settled);
  if (decision.mVerdict == StartupVerdict::Wait || aState.mFetch) {
    return;
  }
  const auto source =
    std::find_if(startup.mAnswers.begin(),
                 startup.mAnswers.end(),
                 [&](const StartupAnswer& aAnswer) { return aAnswer.mHeld == decision.mTarget; });
  aState.mHeardOf = decision.mTarget;
  aState.mHeardFrom = InstanceId(source->mPeer);
  StartFetch(aState, aNow, aActions);
}

void
Handle(State& aState,
       const Tick&,
       Timestamp aNow,
       Common::Random& aRandom,
       std::vector<Action>& aActions)
{
  if (aState.mFetch && aNow >= aState.mFetch->mDeadline) {
    DropFetch(aState, aNow);
  }
  if (aState.mStartup) {
    StepStartup(aState, aNow, aActions);
    return;
  }
  PutInForceIfSafe(aState, aNow, aActions);
  if (aState.mInForce != aState.mHeld && aNow >= aState.mNextHolderAsk) {
    aState.mNextHolderAsk = aNow + aState.mTiming.mAskEvery;
    Announce(aState, aState.mLocalPeers, aState.mTiming.mFanOut, aRandom, aActions);
  }
  if (aNow >= aState.mNextExchange) {
    // A relay learns of revisions from the store and from other relays, and its peers ask it
    // anyway.
    const Duration interval = aState.mTiming.mExchangeEvery * (aState.mRelay ? 2 : 1);
    aState.mNextExchange = aNow + Jittered(interval, aRandom);
    ExchangeWithOne(aState, aState.mLocalPeers, aRandom, aActions);
  }
  if (aNow >= aState.mNextRemoteExchange) {
    aState.mNextRemoteExchange = aNow + Jittered(aState.mTiming.mRemoteExchangeEvery, aRandom);
    if (aState.mRelay) {
      ExchangeWithOne(aState, aState.mRemoteRelays, aRandom, aActions);
    }
  }
}

void
Handle(State& aState,
       const Started&,
       Timestamp aNow,
       Common::Random&,
       std::vector<Action>& aActions)
{
  aState.mStartup = State::Startup{ aNow, aNow, {} };
  StepStartup(aState, aNow, aActions);
}

void
Handle(State& aState,
       const StoreRevision& aEvent,
       Timestamp aNow,
       Common::Random& aRandom,
       std::vector<Action>& aActions)
{
  if (JudgeAdoption(aState.mHeld, aEvent.mDigest) == Adoption::Adopt) {
    Hold(aState, aEvent.mDigest, aEvent.mTexts, InstanceId(), aNow, aRandom, aActions);
  }
}

void
NoteStartupAnswer(State::Startup& aStartup, const DigestReceived& aEvent)
{
  for (StartupAnswer& answer : aStartup.mAnswers) {
    if (answer.mPeer == aEvent.mFrom.str()) {
      answer.mHeld = aEvent.mDigest;
      return;
    }
  }
  aStartup.mAnswers.push_back({ aEvent.mFrom.str(), aEvent.mDigest });
}

void
Handle(State& aState,
       const DigestReceived& aEvent,
       Timestamp aNow,
       Common::Random&,
       std::vector<Action>& aActions)
{
  if (aState.mStartup) {
    // No reply: a starting process knows nothing, and an empty answer would only cost bytes.
    NoteStartupAnswer(*aState.mStartup, aEvent);
    return;
  }
  const Adoption adoption = JudgeAdoption(aState.mHeld, aEvent.mDigest);
  if (adoption == Adoption::Conflict) {
    aActions.emplace_back(ReportConflict{ aEvent.mFrom, aEvent.mDigest });
    return;
  }
  // A peer that is behind is answered even if it did not ask, so that it fetches.
  if (aEvent.mWantsReply || adoption == Adoption::Older) {
    aActions.emplace_back(SendDigest{ aEvent.mFrom, aState.mHeld, false });
  }
  if (adoption == Adoption::Older) {
    return;
  }
  NoteHolder(aState, aEvent.mFrom, aEvent.mDigest);
  PutInForceIfSafe(aState, aNow, aActions);
  if (adoption == Adoption::Adopt) {
    if (aEvent.mDigest.mRevision > aState.mHeardOf.mRevision || !aState.mFetch) {
      aState.mHeardOf = aEvent.mDigest;
      aState.mHeardFrom = aEvent.mFrom;
    }
    StartFetch(aState, aNow, aActions);
  }
}

/// The texts that the reply leads to, if it is whole and undamaged.
std::optional<TableTexts>
TextsOf(const State& aState, const FetchReply& aReply)
{
  if (aReply.mWhole) {
    if (HashTexts(*aReply.mWhole) != aReply.mDigest.mHash) {
      return std::nullopt;
    }
    return aReply.mWhole;
  }
  Digest held = aState.mHeld;
  TableTexts texts = aState.mTexts;
  for (const Delta& delta : aReply.mChain) {
    tl::expected<TableTexts, DeltaError> next = ApplyDelta(held, texts, delta);
    if (!next) {
      return std::nullopt;
    }
    texts = std::move(*next);
    held = delta.mTo;
  }
  if (held != aReply.mDigest) {
    return std::nullopt;
  }
  return texts;
}

void
Handle(State& aState,
       const FetchReply& aEvent,
       Timestamp aNow,
       Common::Random& aRandom,
       std::vector<Action>& aActions)
{
  if (aState.mFetch && aState.mFetch->mPeer == aEvent.mFrom) {
    aState.mFetch.reset();
  }
  if (JudgeAdoption(aState.mHeld, aEvent.mDigest) == Adoption::Adopt) {
    std::optional<TableTexts> texts = TextsOf(aState, aEvent);
    if (texts) {
      Hold(aState, aEvent.mDigest, std::move(*texts), aEvent.mFrom, aNow, aRandom, aActions);
    } else {
      DropFetch(aState, aNow);
    }
  }
  StartFetch(aState, aNow, aActions);
}

void
Handle(State& aState,
       const FetchFailed& aEvent,
       Timestamp aNow,
       Common::Random&,
       std::vector<Action>&)
{
  if (aState.mFetch && aState.mFetch->mPeer == aEvent.mFrom) {
    DropFetch(aState, aNow);
  }
}

} // namespace

std::vector<Action>
Step(State& aState, const Event& aEvent, Timestamp aNow, Common::Random& aRandom)
{
  std::vector<Action> actions;
  std::visit([&](const auto& aItem) { Handle(aState, aItem, aNow, aRandom, actions); }, aEvent);
  return actions;
}

FetchReply
AnswerFetch(const State& aState, const Digest& aHeld)
{
  FetchReply reply;
  reply.mFrom = aState.mSelf;
  reply.mDigest = aState.mHeld;
  reply.mChain = aState.mLog.chainFrom(aHeld, aState.mTiming.mMaxDeltaBytes);
  if (reply.mChain.empty()) {
    reply.mWhole = aState.mTexts;
  }
  return reply;
}

Timestamp
NextTick(const State& aState)
{
  Timestamp next = std::min(aState.mNextExchange, aState.mNextRemoteExchange);
  if (aState.mStartup) {
    next = aState.mStartup->mNextAsk;
  }
  if (aState.mFetch) {
    next = std::min(next, aState.mFetch->mDeadline);
  }
  if (aState.mInForce != aState.mHeld) {
    next =
      std::min({ next, aState.mNextHolderAsk, aState.mHeldSince + aState.mTiming.mHoldTimeout });
  }
  return next;
}

} // namespace Spread
