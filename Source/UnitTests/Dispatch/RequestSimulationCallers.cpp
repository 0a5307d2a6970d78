#include "UnitTests/Dispatch/RequestSimulation.h"

using namespace std::chrono_literals;

namespace Simulation {

namespace {

constexpr std::int64_t kArrivalPeriodMillis = 12000;
constexpr Duration kRetention = 30s;
constexpr std::uint32_t kMaxSubmissions = 5;
constexpr UnixMillis kUnixStart{ 1'800'000'000'000 };

} // namespace

RequestSimulation::RequestSimulation(const SimulationConfig& aConfig)
  : mConfig(aConfig)
  , mRandom(aConfig.mSeed)
  , mChecker(aConfig.mAgents, aConfig.mSlots, aConfig.mConnections)
  , mAgents(aConfig.mAgents)
  , mEntries(aConfig.mEntries)
{
  mRules.mHedgeDelay = 100ms;
  for (std::size_t i = 0; i < mAgents.size(); ++i) {
    startAgent(i);
  }
  mOwners.push_back(std::make_unique<SimulatedOwner>());
  mOwners.back()->mRegistry.mLimits.mRetention = kRetention;
  refreshPools();
  makeCallers();
  const auto randomTime = [&] { return randomDelay(kArrivalPeriodMillis); };
  for (std::uint32_t i = 0; i < mConfig.mAgentRestarts; ++i) {
    schedule(randomTime(), [this] { restartAgent(mRandom.below(mAgents.size())); });
  }
  for (std::uint32_t i = 0; i < mConfig.mEntryRestarts; ++i) {
    schedule(randomTime(), [this] { restartEntry(mRandom.below(mEntries.size())); });
  }
  for (std::uint32_t i = 0; i < mConfig.mDrains; ++i) {
    schedule(randomTime(), [this] { drainAgent(mRandom.below(mAgents.size())); });
  }
  for (std::uint32_t i = 0; i < mConfig.mTakeovers; ++i) {
    schedule(randomTime() + i * 15s, [this] { takeOver(); });
  }
}

std::vector<std::string>
RequestSimulation::run()
{
  while (!mEvents.empty()) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mCallback();
  }
  mChecker.checkEnds(mSubmissionCount);
  return mChecker.violations();
}

void
RequestSimulation::schedule(Duration aDelay, std::function<void()> aCallback)
{
  mEvents.push({ mNow + aDelay, mOrder++, std::move(aCallback) });
}

Duration
RequestSimulation::randomDelay(std::int64_t aMaxMillis)
{
  return Duration(
    static_cast<std::int64_t>(mRandom.below(static_cast<std::uint64_t>(aMaxMillis) * 1000 + 1)));
}

bool
RequestSimulation::chance(std::uint32_t aPercent)
{
  return mRandom.below(100) < aPercent;
}

UnixMillis
RequestSimulation::unixNow() const
{
  return kUnixStart + std::chrono::duration_cast<UnixMillis>(mNow.time_since_epoch());
}

void
RequestSimulation::makeCallers()
{
  for (std::uint32_t i = 0; i < mConfig.mLogicalRequests; ++i) {
    SimulatedCaller caller;
    caller.mLogicalRequest = i;
    caller.mIdempotent = chance(30);
    caller.mHasKey = !caller.mIdempotent && chance(70);
    mCallers.push_back(caller);
    const Duration first = randomDelay(kArrivalPeriodMillis);
    schedule(first, [this, i] { submit(i); });
    // A caller that gives up early and submits again while its first submission is in progress.
    if ((caller.mHasKey || caller.mIdempotent) && chance(30)) {
      schedule(first + randomDelay(200), [this, i] { submit(i); });
    }
  }
}

void
RequestSimulation::submit(std::uint32_t aCaller)
{
  SimulatedCaller& caller = mCallers[aCaller];
  if (caller.mSubmissionCount == 0) {
    caller.mFirstSubmittedAt = mNow;
    if (caller.mHasKey && chance(80)) {
      const auto skew = static_cast<std::int64_t>(mRandom.below(9801)) - 4900;
      caller.mKeyTime = unixNow() + UnixMillis(skew);
    }
  }
  const std::size_t entryIndex = mRandom.below(mEntries.size());
  SimulatedEntry& entry = mEntries[entryIndex];
  const bool maySubmit = caller.mSubmissionCount < kMaxSubmissions && !caller.mFinished;
  // Without a key time, a repeated submission must reach its deadline within the retention. 5 s are
  // left for the deadline.
  if (!maySubmit || !entry.mRunning || mNow > caller.mFirstSubmittedAt + kRetention - 5s) {
    return;
  }
  ++caller.mSubmissionCount;
  Submission submission{
    mSubmissionCount++, aCaller, caller.mIdempotent, mNow + mConfig.mMinDeadline + randomDelay(2500)
  };
  if (caller.mKeyTime && !Dispatch::IsKeyTimeInRange(*caller.mKeyTime, unixNow(), kRetention)) {
    mChecker.answered(submission, Common::Outcome::NotRun, "", mNow);
    return;
  }
  const std::uint64_t sequence = entry.mNextSequence++;
  ActiveRequest& active = entry.mActiveRequests[sequence];
  Dispatch::RequestSpec& spec = active.mState.mSpec;
  spec.mName = {
    Common::InstanceId("entry" + std::to_string(entryIndex)), entry.mIncarnation, sequence, 1
  };
  spec.mIdempotent = caller.mIdempotent;
  spec.mMayHedge = caller.mIdempotent;
  spec.mClaimsKey = caller.mHasKey;
  spec.mDeadline = submission.mDeadline;
  active.mSubmission = submission;
  active.mCaller = aCaller;
  active.mClaim = { Common::ClientId("client"),
                    Common::IdempotencyKey(std::to_string(aCaller)),
                    caller.mKeyTime,
                    Dispatch::SubmissionId(spec),
                    std::to_string(aCaller),
                    Duration(0) };
  applyEvent(entryIndex, entry.mIncarnation, sequence, Dispatch::RequestArrived{});
}

void
RequestSimulation::receiveAnswer(std::uint32_t aCaller, std::optional<Common::Outcome> aOutcome)
{
  SimulatedCaller& caller = mCallers[aCaller];
  if (aOutcome == Common::Outcome::Ran) {
    // Some callers submit again although they have an answer; the key must prevent a second run.
    caller.mFinished = !(caller.mHasKey && chance(20));
  }
  const bool safe = caller.mHasKey || caller.mIdempotent || aOutcome == Common::Outcome::NotRun;
  if (safe && !caller.mFinished) {
    schedule(randomDelay(chance(30) ? 15000 : 500), [this, aCaller] { submit(aCaller); });
  }
}

} // namespace Simulation
