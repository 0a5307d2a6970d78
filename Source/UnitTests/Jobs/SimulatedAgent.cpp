#include "UnitTests/Jobs/SimulatedAgent.h"

#include <algorithm>

using Jobs::TaskState;

Common::Resources
SimulatedAgent::freeResources() const
{
  Common::Resources free = mTotal;
  for (const auto& [key, record] : mRecords) {
    if (record.mRunning) {
      free = free - record.mReport.mAmounts;
    }
  }
  return free;
}

void
SimulatedAgent::takeCheckpoint(AttemptRecord& aRecord)
{
  aRecord.mReport.mCheckpoint = aRecord.mReport.mTask.str() + "@" + mName + "#" +
                                std::to_string(mIncarnation) + "." +
                                std::to_string(++mCheckpointCount);
  mChecker->checkpointed(aRecord.mReport.mTask.str(),
                         aRecord.mReport.mAttempt.value(),
                         aRecord.mReport.mCheckpoint,
                         mName);
}

void
SimulatedAgent::endAttempt(AttemptRecord& aRecord, TaskState aNewState)
{
  if (aNewState == TaskState::Evicted) {
    takeCheckpoint(aRecord);
  }
  aRecord.mRunning = false;
  aRecord.mReport.mState = aNewState;
  mChecker->ended(aRecord.mReport.mTask.str(), aRecord.mReport.mAttempt.value(), aNewState, mName);
}

void
SimulatedAgent::startAttempt(const Jobs::TaskStart& aStart,
                             std::uint64_t aSentAt,
                             double aRefuseProbability,
                             Common::Random& aRandom)
{
  const std::int64_t attempt = aStart.mAttempt.value();
  const Key key(aStart.mTask.str(), attempt);
  if (mRecords.contains(key)) {
    return;
  }
  AttemptRecord& record = mRecords[key];
  record.mReport.mTask = aStart.mTask;
  record.mReport.mAttempt = aStart.mAttempt;
  record.mReport.mAmounts = aStart.mNeed;
  record.mReport.mState = TaskState::Refused;
  std::int64_t& highest = mHighestAttempts[key.first];
  if (attempt <= highest) {
    return;
  }
  highest = attempt;
  if (!mTenure || aRandom.unit() < aRefuseProbability) {
    return;
  }
  if (!Fits(aStart.mNeed, freeResources())) {
    mChecker->overcommitted(mName);
    return;
  }
  mChecker->started(aStart, mName, aSentAt);
  record.mReport.mState = TaskState::Running;
  record.mRunning = true;
}

void
SimulatedAgent::applyAction(const Jobs::TaskAction& aAction)
{
  const Key key(aAction.mTask.str(), aAction.mAttempt.value());
  const auto found = mRecords.find(key);
  if (aAction.mKind == Jobs::ActionKind::Forget) {
    if (found != mRecords.end() && !found->second.mRunning) {
      mChecker->markedDurable(key.first, key.second);
      mRecords.erase(found);
    }
    return;
  }
  if (found == mRecords.end()) {
    mHighestAttempts[key.first] = std::max(mHighestAttempts[key.first], key.second);
    AttemptRecord& record = mRecords[key];
    record.mReport.mTask = aAction.mTask;
    record.mReport.mAttempt = aAction.mAttempt;
    record.mReport.mState = TaskState::Stopped;
    return;
  }
  if (found->second.mRunning) {
    endAttempt(found->second,
               aAction.mKind == Jobs::ActionKind::Evict ? TaskState::Evicted : TaskState::Stopped);
  }
}

std::optional<Reply>
SimulatedAgent::receive(const Heartbeat& aHeartbeat,
                        double aRefuseProbability,
                        Common::Random& aRandom)
{
  if (!mAlive || aHeartbeat.mEpoch < mEpoch) {
    return std::nullopt;
  }
  mEpoch = aHeartbeat.mEpoch;
  mTenure = true;
  if (aHeartbeat.mIncarnation == mIncarnation) {
    for (const Jobs::TaskAction& action : aHeartbeat.mActions) {
      applyAction(action);
    }
    for (const Jobs::TaskStart& begin : aHeartbeat.mStarts) {
      startAttempt(begin, aHeartbeat.mSentAt, aRefuseProbability, aRandom);
    }
  }
  Reply reply;
  reply.mWorker = aHeartbeat.mWorker;
  reply.mEpoch = aHeartbeat.mEpoch;
  reply.mFree = freeResources();
  reply.mInventory.mWorker = Common::WorkerId(mName);
  reply.mInventory.mSequence = ++mReplySequence;
  reply.mInventory.mFull = true;
  reply.mInventory.mIncarnation = Common::Incarnation(mIncarnation);
  for (const auto& [key, record] : mRecords) {
    reply.mInventory.mReports.push_back(record.mReport);
  }
  return reply;
}

void
SimulatedAgent::stepTask(TaskState aNewState, Common::Random& aRandom)
{
  std::vector<AttemptRecord*> running;
  for (auto& [key, record] : mRecords) {
    if (record.mRunning) {
      running.push_back(&record);
    }
  }
  if (running.empty()) {
    return;
  }
  AttemptRecord& record = *running[aRandom.below(running.size())];
  if (aNewState == TaskState::Running) {
    takeCheckpoint(record);
  } else {
    endAttempt(record, aNewState);
  }
}

void
SimulatedAgent::loseTenure()
{
  mTenure = false;
  for (auto& [key, record] : mRecords) {
    if (record.mRunning) {
      endAttempt(record, TaskState::Evicted);
    }
  }
}

void
SimulatedAgent::crash()
{
  mAlive = false;
  mRecords.clear();
  mHighestAttempts.clear();
  mChecker->workerLost(mName);
}

void
SimulatedAgent::replaceMachine()
{
  mAlive = true;
  mTenure = false;
  ++mIncarnation;
  // A new machine may be given the same name; it has seen no epoch.
  mEpoch = 0;
}

void
SimulatedAgent::restart()
{
  ++mIncarnation;
  mHighestAttempts.clear();
  for (const auto& [key, record] : mRecords) {
    std::int64_t& highest = mHighestAttempts[key.first];
    highest = std::max(highest, key.second);
  }
}
