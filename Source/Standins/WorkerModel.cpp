#include "Standins/WorkerModel.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <nlohmann/json.hpp>

namespace Standins {

using Common::Duration;
using Common::Timestamp;

namespace {

using nlohmann::json;

constexpr std::size_t kMaxStarts = 100000;
constexpr std::size_t kMaxListedEnds = 4096;
constexpr Duration kSampleEvery = std::chrono::seconds(1);
constexpr Duration kFailAllWork = std::chrono::milliseconds(10);

// A checkpoint is "ID/ATTEMPT/MICROSECONDS of work done".
Duration
DoneAt(const std::string& aCheckpoint)
{
  const std::size_t slash = aCheckpoint.rfind('/');
  if (slash == std::string::npos) {
    return Duration(0);
  }
  std::int64_t micros = 0;
  const char* end = aCheckpoint.data() + aCheckpoint.size();
  std::from_chars(aCheckpoint.data() + slash + 1, end, micros);
  return Duration(std::max<std::int64_t>(0, micros));
}

} // namespace

std::optional<TaskPlan>
ParsePlan(const std::string& aPayload)
{
  TaskPlan plan;
  if (aPayload.empty()) {
    return plan;
  }
  try {
    const json body = json::parse(aPayload);
    plan.mWork = std::chrono::milliseconds(body.value("run_ms", std::int64_t(1000)));
    plan.mFail = body.value("fail", false);
    plan.mKind = body.value("kind", "");
    plan.mSlowWith = body.value("slow_with", "");
    plan.mSlowFactor = std::clamp(body.value("slow_factor", 0.5), 0.0, 1.0);
    if (body.contains("uses_milli_cores")) {
      plan.mUsesCores = Common::MilliCores(body["uses_milli_cores"].get<std::int64_t>());
    }
    if (body.contains("uses_memory_bytes")) {
      plan.mUsesMemory = Common::Bytes(body["uses_memory_bytes"].get<std::int64_t>());
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return plan;
}

const char*
StateName(SimState aState)
{
  switch (aState) {
    case SimState::Running:
      return "running";
    case SimState::Finished:
      return "finished";
    case SimState::Failed:
      return "failed";
    case SimState::Stopped:
      return "stopped";
    case SimState::Expired:
      return "expired";
  }
  return "";
}

WorkerModel::WorkerModel(WorkerSettings aSettings, Timestamp aNow)
  : mSettings(aSettings)
  , mNow(aNow)
  , mNextSample(aNow)
{
}

tl::expected<void, WorkerError>
WorkerModel::start(StartRequest aRequest, Timestamp aNow)
{
  advance(aNow);
  auto plan = ParsePlan(aRequest.mPayload);
  const Common::Resources none;
  if (!plan || aRequest.mId.empty() || aRequest.mLease <= Duration(0) ||
      !Common::Fits(none, aRequest.mAmounts)) {
    return tl::unexpected(WorkerError::Invalid);
  }
  if (running(aRequest.mId) != nullptr) {
    return tl::unexpected(WorkerError::AlreadyRuns);
  }
  if (!Common::Fits(aRequest.mAmounts, mSettings.mCapacity - mInUse)) {
    return tl::unexpected(WorkerError::DoesNotFit);
  }
  if (mFailAll) {
    plan->mWork = DoneAt(aRequest.mCheckpoint) + kFailAllWork;
    plan->mFail = true;
  }
  SimTask task;
  task.mPlan = std::move(*plan);
  task.mLeaseEnds = aNow + aRequest.mLease;
  task.mStarted = aNow;
  task.mDone = DoneAt(aRequest.mCheckpoint);
  task.mDoneAtStart = task.mDone;
  task.mCheckpoint = aRequest.mCheckpoint;
  task.mStart = std::move(aRequest);
  mInUse = mInUse + task.mStart.mAmounts;
  mStarts.push_back(std::move(task));
  mRunning[mStarts.back().mStart.mId] = &mStarts.back();
  if (mStarts.size() > kMaxStarts && mStarts.front().mState != SimState::Running) {
    mStarts.pop_front();
  }
  return {};
}

tl::expected<void, WorkerError>
WorkerModel::renew(const std::string& aId, std::int64_t aAttempt, Duration aLease, Timestamp aNow)
{
  advance(aNow);
  SimTask* task = running(aId);
  if (task == nullptr || task->mStart.mAttempt != aAttempt) {
    return tl::unexpected(WorkerError::NotRunning);
  }
  if (aLease <= Duration(0)) {
    return tl::unexpected(WorkerError::Invalid);
  }
  task->mLeaseEnds = aNow + aLease;
  return {};
}

tl::expected<std::string, WorkerError>
WorkerModel::checkpoint(const std::string& aId, Timestamp aNow)
{
  advance(aNow);
  SimTask* task = running(aId);
  if (task == nullptr) {
    return tl::unexpected(WorkerError::NotRunning);
  }
  task->mCheckpoint =
    aId + "/" + std::to_string(task->mStart.mAttempt) + "/" + std::to_string(task->mDone.count());
  return task->mCheckpoint;
}

tl::expected<void, WorkerError>
WorkerModel::throttle(const std::string& aId, int aPercent, Timestamp aNow)
{
  advance(aNow);
  SimTask* task = running(aId);
  if (task == nullptr) {
    return tl::unexpected(WorkerError::NotRunning);
  }
  if (aPercent < 0 || aPercent > 100) {
    return tl::unexpected(WorkerError::Invalid);
  }
  task->mThrottlePercent = aPercent;
  return {};
}

tl::expected<void, WorkerError>
WorkerModel::stop(const std::string& aId, Timestamp aNow)
{
  advance(aNow);
  if (SimTask* task = running(aId)) {
    end(*task, SimState::Stopped);
    return {};
  }
  const auto known = std::find_if(mStarts.begin(), mStarts.end(), [&aId](const SimTask& aTask) {
    return aTask.mStart.mId == aId;
  });
  if (known == mStarts.end()) {
    return tl::unexpected(WorkerError::NotRunning);
  }
  return {};
}

std::vector<const SimTask*>
WorkerModel::tasks(Timestamp aNow)
{
  advance(aNow);
  std::vector<const SimTask*> listed;
  std::size_t ends = 0;
  for (auto at = mStarts.rbegin(); at != mStarts.rend(); ++at) {
    const bool ended = at->mState != SimState::Running;
    if (!ended || ends < kMaxListedEnds) {
      listed.push_back(&*at);
      ends += ended ? 1 : 0;
    }
  }
  std::reverse(listed.begin(), listed.end());
  return listed;
}

UsageSample
WorkerModel::usage(Timestamp aNow)
{
  advance(aNow);
  UsageSample newest{ aNow - mSettings.mUsageLag, {} };
  for (const UsageSample& sample : mSamples) {
    if (sample.mAt <= aNow - mSettings.mUsageLag) {
      newest = sample;
    }
  }
  return newest;
}

const std::deque<SimTask>&
WorkerModel::audit(Timestamp aNow)
{
  advance(aNow);
  return mStarts;
}

void
WorkerModel::advance(Timestamp aNow)
{
  while (mNow < aNow) {
    step(std::max(nextEvent(aNow), mNow));
  }
}

// Moves all tasks to aTo, before which no rate changes.
void
WorkerModel::step(Timestamp aTo)
{
  const Duration passed = aTo - mNow;
  std::vector<std::pair<SimTask*, double>> rates;
  for (const auto& [id, task] : mRunning) {
    rates.emplace_back(task, rateOf(*task));
  }
  mNow = aTo;
  for (const auto& [task, rate] : rates) {
    task->mDone += Duration(std::llround(static_cast<double>(passed.count()) * rate));
    const Duration work = task->mPlan.mWork;
    if (work >= Duration(0) && task->mDone >= work) {
      task->mDone = work;
      end(*task, task->mPlan.mFail ? SimState::Failed : SimState::Finished);
    } else if (task->mLeaseEnds <= aTo) {
      end(*task, SimState::Expired);
    }
  }
  if (mNow >= mNextSample) {
    sample();
  }
}

double
WorkerModel::rateOf(const SimTask& aTask) const
{
  double rate = aTask.mThrottlePercent / 100.0;
  if (aTask.mPlan.mSlowWith.empty()) {
    return rate;
  }
  for (const auto& [id, other] : mRunning) {
    if (other != &aTask && other->mPlan.mKind == aTask.mPlan.mSlowWith) {
      rate *= aTask.mPlan.mSlowFactor;
    }
  }
  return rate;
}

Timestamp
WorkerModel::nextEvent(Timestamp aLatest) const
{
  Timestamp next = std::min(aLatest, std::max(mNextSample, mNow));
  for (const auto& [id, task] : mRunning) {
    next = std::min(next, task->mLeaseEnds);
    const double rate = rateOf(*task);
    const Duration work = task->mPlan.mWork;
    if (work >= Duration(0) && rate > 0) {
      const double left = static_cast<double>((work - task->mDone).count()) / rate;
      // The bound keeps the rounding in range for tiny rates.
      next = std::min(next, mNow + Duration(std::llround(std::ceil(std::min(left, 1e15)))));
    }
  }
  return next;
}

SimTask*
WorkerModel::running(const std::string& aId)
{
  const auto found = mRunning.find(aId);
  return found == mRunning.end() ? nullptr : found->second;
}

void
WorkerModel::end(SimTask& aTask, SimState aState)
{
  aTask.mState = aState;
  aTask.mEnded = mNow;
  aTask.mDetail = aState == SimState::Failed ? "the payload asked for a failure" : "";
  mInUse = mInUse - aTask.mStart.mAmounts;
  mRunning.erase(aTask.mStart.mId);
}

void
WorkerModel::sample()
{
  UsageSample now{ mNow, {} };
  for (const auto& [id, task] : mRunning) {
    const double rate = rateOf(*task);
    const auto cores = task->mPlan.mUsesCores.value_or(task->mStart.mAmounts.mCores);
    now.mTasks.push_back({ id,
                           Common::MilliCores(cores.value() * task->mThrottlePercent / 100),
                           task->mPlan.mUsesMemory.value_or(task->mStart.mAmounts.mMemory),
                           rate });
  }
  mSamples.push_back(std::move(now));
  while (mSamples.size() > 1 && mSamples[1].mAt <= mNow - mSettings.mUsageLag) {
    mSamples.pop_front();
  }
  mNextSample = mNow + kSampleEvery;
}

} // namespace Standins
