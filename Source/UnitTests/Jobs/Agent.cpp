#include "UnitTests/Jobs/Agent.h"

#include <algorithm>

using Jobs::TaskState;

Common::Resources
Agent::free() const
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
Agent::save(Record& aRecord)
{
  aRecord.mReport.mCheckpoint = aRecord.mReport.mTask.str() + "@" + mName + "#" +
                                std::to_string(mIncarnation) + "." + std::to_string(++mSaves);
  mChecker->checkpointed(aRecord.mReport.mTask.str(),
                         aRecord.mReport.mAttempt.value(),
                         aRecord.mReport.mCheckpoint,
                         mName);
}

void
Agent::end(Record& aRecord, TaskState aHow)
{
  if (aHow == TaskState::Evicted) {
    save(aRecord);
  }
  aRecord.mRunning = false;
  aRecord.mReport.mState = aHow;
  mChecker->ended(aRecord.mReport.mTask.str(), aRecord.mReport.mAttempt.value(), aHow, mName);
}

void
Agent::start(const Jobs::TaskStart& aStart,
             std::uint64_t aSent,
             double aRefuse,
             Common::Random& aRandom)
{
  const std::int64_t attempt = aStart.mAttempt.value();
  const Key key(aStart.mTask.str(), attempt);
  if (mRecords.contains(key)) {
    return;
  }
  Record& record = mRecords[key];
  record.mReport.mTask = aStart.mTask;
  record.mReport.mAttempt = aStart.mAttempt;
  record.mReport.mAmounts = aStart.mNeed;
  record.mReport.mState = TaskState::Refused;
  std::int64_t& highest = mHighest[key.first];
  if (attempt <= highest) {
    return;
  }
  highest = attempt;
  if (!mTenure || aRandom.unit() < aRefuse) {
    return;
  }
  if (!Fits(aStart.mNeed, free())) {
    mChecker->overAsked(mName);
    return;
  }
  mChecker->started(aStart, mName, aSent);
  record.mReport.mState = TaskState::Running;
  record.mRunning = true;
}

void
Agent::act(const Jobs::TaskAction& aAction)
{
  const Key key(aAction.mTask.str(), aAction.mAttempt.value());
  const auto found = mRecords.find(key);
  if (aAction.mKind == Jobs::ActionKind::Forget) {
    if (found != mRecords.end() && !found->second.mRunning) {
      mChecker->forgotten(key.first, key.second);
      mRecords.erase(found);
    }
    return;
  }
  if (found == mRecords.end()) {
    mHighest[key.first] = std::max(mHighest[key.first], key.second);
    Record& record = mRecords[key];
    record.mReport.mTask = aAction.mTask;
    record.mReport.mAttempt = aAction.mAttempt;
    record.mReport.mState = TaskState::Stopped;
    return;
  }
  if (found->second.mRunning) {
    end(found->second,
        aAction.mKind == Jobs::ActionKind::Evict ? TaskState::Evicted : TaskState::Stopped);
  }
}

std::optional<Reply>
Agent::receive(const Heartbeat& aHeartbeat, double aRefuse, Common::Random& aRandom)
{
  if (!mAlive || aHeartbeat.mEpoch < mEpoch) {
    return std::nullopt;
  }
  mEpoch = aHeartbeat.mEpoch;
  mTenure = true;
  if (aHeartbeat.mIncarnation == mIncarnation) {
    for (const Jobs::TaskAction& action : aHeartbeat.mActions) {
      act(action);
    }
    for (const Jobs::TaskStart& begin : aHeartbeat.mStarts) {
      start(begin, aHeartbeat.mSent, aRefuse, aRandom);
    }
  }
  Reply reply;
  reply.mWorker = aHeartbeat.mWorker;
  reply.mEpoch = aHeartbeat.mEpoch;
  reply.mFree = free();
  reply.mInventory.mWorker = Common::WorkerId(mName);
  reply.mInventory.mSequence = ++mReplies;
  reply.mInventory.mFull = true;
  reply.mInventory.mIncarnation = Common::Incarnation(mIncarnation);
  for (const auto& [key, record] : mRecords) {
    reply.mInventory.mReports.push_back(record.mReport);
  }
  return reply;
}

void
Agent::stepTask(TaskState aHow, Common::Random& aRandom)
{
  std::vector<Record*> running;
  for (auto& [key, record] : mRecords) {
    if (record.mRunning) {
      running.push_back(&record);
    }
  }
  if (running.empty()) {
    return;
  }
  Record& record = *running[aRandom.below(running.size())];
  if (aHow == TaskState::Running) {
    save(record);
  } else {
    end(record, aHow);
  }
}

void
Agent::loseTenure()
{
  mTenure = false;
  for (auto& [key, record] : mRecords) {
    if (record.mRunning) {
      end(record, TaskState::Evicted);
    }
  }
}

void
Agent::die()
{
  mAlive = false;
  mRecords.clear();
  mHighest.clear();
  mChecker->died(mName);
}

void
Agent::revive()
{
  mAlive = true;
  mTenure = false;
  ++mIncarnation;
  // The new machine may be given the same name; it knows nothing of the epoch.
  mEpoch = 0;
}

void
Agent::restart()
{
  ++mIncarnation;
  mHighest.clear();
  for (const auto& [key, record] : mRecords) {
    std::int64_t& highest = mHighest[key.first];
    highest = std::max(highest, key.second);
  }
}
