#include "UnitTests/Dispatch/World.h"

using namespace std::chrono_literals;

namespace Simulation {

namespace {

constexpr std::int64_t kArrivalsMillis = 12000;
constexpr Duration kRetention = 30s;
constexpr std::uint32_t kMaxSubmissions = 5;
constexpr UnixMillis kUnixStart{ 1'800'000'000'000 };

} // namespace

World::World(const Plan& aPlan)
  : mPlan(aPlan)
  , mRandom(aPlan.mSeed)
  , mChecker(aPlan.mAgents, aPlan.mSlots, aPlan.mConnections)
  , mAgents(aPlan.mAgents)
  , mEntries(aPlan.mEntries)
{
  mRules.mHedgeDelay = 100ms;
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    startAgent(i);
  }
  mOwners.push_back(std::make_unique<SimOwner>());
  mOwners.back()->mRegistry.mLimits.mRetention = kRetention;
  refreshPools();
  makeCallers();
  const auto sometime = [&] { return someDelay(kArrivalsMillis); };
  for (std::uint32_t i = 0; i < mPlan.mAgentRestarts; ++i) {
    at(sometime(), [this] { restartAgent(mRandom.below(mAgents.size())); });
  }
  for (std::uint32_t i = 0; i < mPlan.mEntryRestarts; ++i) {
    at(sometime(), [this] { restartEntry(mRandom.below(mEntries.size())); });
  }
  for (std::uint32_t i = 0; i < mPlan.mDrains; ++i) {
    at(sometime(), [this] { drainAgent(mRandom.below(mAgents.size())); });
  }
  for (std::uint32_t i = 0; i < mPlan.mTakeovers; ++i) {
    at(sometime() + i * 15s, [this] { takeOver(); });
  }
}

std::vector<std::string>
World::run()
{
  while (!mEvents.empty()) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mDo();
  }
  mChecker.finish(mSubmissions);
  return mChecker.findings();
}

void
World::at(Duration aDelay, std::function<void()> aDo)
{
  mEvents.push({ mNow + aDelay, mOrder++, std::move(aDo) });
}

Duration
World::someDelay(std::int64_t aMaxMillis)
{
  return Duration(
    static_cast<std::int64_t>(mRandom.below(static_cast<std::uint64_t>(aMaxMillis) * 1000 + 1)));
}

bool
World::chance(std::uint32_t aPercent)
{
  return mRandom.below(100) < aPercent;
}

UnixMillis
World::unixNow() const
{
  return kUnixStart + std::chrono::duration_cast<UnixMillis>(mNow.time_since_epoch());
}

void
World::makeCallers()
{
  for (std::uint32_t i = 0; i < mPlan.mLogicals; ++i) {
    Caller caller;
    caller.mLogical = i;
    caller.mIdempotent = chance(30);
    caller.mKeyed = !caller.mIdempotent && chance(70);
    mCallers.push_back(caller);
    const Duration first = someDelay(kArrivalsMillis);
    at(first, [this, i] { submit(i); });
    // A caller that gives up early and comes again while its first submission is under way.
    if ((caller.mKeyed || caller.mIdempotent) && chance(30)) {
      at(first + someDelay(200), [this, i] { submit(i); });
    }
  }
}

void
World::submit(std::uint32_t aCaller)
{
  Caller& caller = mCallers[aCaller];
  if (caller.mSubmissions == 0) {
    caller.mFirst = mNow;
    if (caller.mKeyed && chance(80)) {
      const auto skew = static_cast<std::int64_t>(mRandom.below(9801)) - 4900;
      caller.mKeyTime = unixNow() + UnixMillis(skew);
    }
  }
  const std::size_t entryAt = mRandom.below(mEntries.size());
  SimEntry& entry = mEntries[entryAt];
  const bool mayCome = caller.mSubmissions < kMaxSubmissions && !caller.mDone;
  // Without a key time a caller may only come again within the retention, its deadline included.
  if (!mayCome || !entry.mUp || mNow > caller.mFirst + kRetention - 5s) {
    return;
  }
  ++caller.mSubmissions;
  Submission submission{
    mSubmissions++, aCaller, caller.mIdempotent, mNow + mPlan.mMinDeadline + someDelay(2500)
  };
  if (caller.mKeyTime && !Dispatch::IsKeyTimeInRange(*caller.mKeyTime, unixNow(), kRetention)) {
    mChecker.told(submission, Common::Outcome::NotRun, "", mNow);
    return;
  }
  const std::uint64_t sequence = entry.mNextSequence++;
  LiveRequest& live = entry.mLive[sequence];
  Dispatch::RequestSpec& spec = live.mState.mSpec;
  spec.mName = {
    Common::InstanceId("entry" + std::to_string(entryAt)), entry.mIncarnation, sequence, 1
  };
  spec.mIdempotent = caller.mIdempotent;
  spec.mMayHedge = caller.mIdempotent;
  spec.mClaimsKey = caller.mKeyed;
  spec.mDeadline = submission.mDeadline;
  live.mSubmission = submission;
  live.mCaller = aCaller;
  live.mClaim = { Common::ClientId("client"),
                  Common::IdempotencyKey(std::to_string(aCaller)),
                  caller.mKeyTime,
                  Dispatch::SubmissionId(spec),
                  std::to_string(aCaller),
                  Duration(0) };
  feed(entryAt, entry.mIncarnation, sequence, Dispatch::RequestArrived{});
}

void
World::callerHears(std::uint32_t aCaller, std::optional<Common::Outcome> aOutcome)
{
  Caller& caller = mCallers[aCaller];
  if (aOutcome == Common::Outcome::Ran) {
    // Some callers ask once more all the same; the key must protect them.
    caller.mDone = !(caller.mKeyed && chance(20));
  }
  const bool safe = caller.mKeyed || caller.mIdempotent || aOutcome == Common::Outcome::NotRun;
  if (safe && !caller.mDone) {
    at(someDelay(chance(30) ? 15000 : 500), [this, aCaller] { submit(aCaller); });
  }
}

} // namespace Simulation
