#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Common/Units.h"

/// Model of a platform worker: tasks are timers that run under leases. Not safe for concurrent use;
/// each call takes the time, which must not go back.
namespace Standins {

struct WorkerSettings
{
  Common::Resources mCapacity;
  /// Age of the usage that is reported.
  Common::Duration mUsageLag{ std::chrono::seconds(3) };
};

/// What a task does, from its payload (docs/platform.md).
struct TaskPlan
{
  /// Work at full speed; negative means without end.
  Common::Duration mWork{ std::chrono::seconds(1) };
  bool mFail = false;
  std::string mKind;
  std::string mSlowWith;
  double mSlowFactor = 0.5;
  std::optional<Common::MilliCores> mUsesCores;
  std::optional<Common::Bytes> mUsesMemory;
};

/// Empty if the payload is not a JSON object or a field has another type.
std::optional<TaskPlan>
ParsePlan(const std::string& aPayload);

struct StartRequest
{
  std::string mId;
  std::int64_t mAttempt = 0;
  Common::Duration mLease{ 0 };
  Common::Resources mAmounts;
  std::string mPayload;
  std::string mCheckpoint;
};

enum class SimState
{
  Running,
  Finished,
  Failed,
  Stopped,
  Expired,
};

const char*
StateName(SimState aState);

enum class WorkerError
{
  AlreadyRuns,
  DoesNotFit,
  NotRunning,
  Invalid,
};

struct SimTask
{
  StartRequest mStart;
  TaskPlan mPlan;
  SimState mState = SimState::Running;
  Common::Timestamp mLeaseEnds;
  Common::Timestamp mStarted;
  std::optional<Common::Timestamp> mEnded;
  /// Work done, including that of the checkpoint from which it started.
  Common::Duration mDone{ 0 };
  Common::Duration mDoneAtStart{ 0 };
  int mThrottlePercent = 100;
  std::string mCheckpoint;
  std::string mDetail;
};

struct TaskUsage
{
  std::string mId;
  Common::MilliCores mCores;
  Common::Bytes mMemory;
  double mProgressRate = 0;
};

struct UsageSample
{
  Common::Timestamp mAt;
  std::vector<TaskUsage> mTasks;
};

class WorkerModel
{
public:
  WorkerModel(WorkerSettings aSettings, Common::Timestamp aNow);

  tl::expected<void, WorkerError> start(StartRequest aRequest, Common::Timestamp aNow);
  tl::expected<void, WorkerError> renew(const std::string& aId,
                                        std::int64_t aAttempt,
                                        Common::Duration aLease,
                                        Common::Timestamp aNow);
  tl::expected<std::string, WorkerError> checkpoint(const std::string& aId, Common::Timestamp aNow);
  tl::expected<void, WorkerError> throttle(const std::string& aId,
                                           int aPercent,
                                           Common::Timestamp aNow);
  tl::expected<void, WorkerError> stop(const std::string& aId, Common::Timestamp aNow);
  /// New tasks fail soon after their start.
  void setFailAll(bool aOn) { mFailAll = aOn; }

  /// The running tasks and the most recent ended ones, in the order of their starts.
  std::vector<const SimTask*> tasks(Common::Timestamp aNow);
  /// The newest sample that is old enough; empty at first.
  UsageSample usage(Common::Timestamp aNow);
  const Common::Resources& capacity() const { return mSettings.mCapacity; }
  /// Every start so far, the oldest dropped beyond 100,000.
  const std::deque<SimTask>& audit(Common::Timestamp aNow);

private:
  void advance(Common::Timestamp aNow);
  void step(Common::Timestamp aTo);
  double rateOf(const SimTask& aTask) const;
  Common::Timestamp nextEvent(Common::Timestamp aLatest) const;
  SimTask* running(const std::string& aId);
  void end(SimTask& aTask, SimState aState);
  void sample();

  WorkerSettings mSettings;
  Common::Timestamp mNow;
  Common::Timestamp mNextSample;
  Common::Resources mInUse;
  bool mFailAll = false;
  /// All starts; deque entries stay in place while others are added or dropped.
  std::deque<SimTask> mStarts;
  std::map<std::string, SimTask*> mRunning;
  std::deque<UsageSample> mSamples;
};

} // namespace Standins
