#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Common/Units.h"
#include "Http/Client.h"

namespace Http {

/// A task to start on the worker.
struct WorkerTask
{
  Common::TaskId mId;
  Common::Attempt mAttempt;
  Common::Duration mLease;
  Common::Resources mAmounts;
  std::string mPayload;
  /// Name of the checkpoint to resume from; empty to start from the beginning.
  std::string mCheckpoint;
};

enum class WorkerTaskState
{
  Running,
  Finished,
  Failed,
  Stopped,
  /// Its lease ended.
  Expired,
};

struct WorkerTaskView
{
  Common::TaskId mId;
  Common::Attempt mAttempt;
  WorkerTaskState mState = WorkerTaskState::Running;
  std::string mCheckpoint;
  Common::Duration mRan{};
  std::string mDetail;
};

struct WorkerTaskUsage
{
  Common::TaskId mId;
  Common::MilliCores mCores;
  Common::Bytes mMemory;
  /// Share of full speed, 1 when undisturbed.
  double mProgressRate = 1;
};

struct WorkerUsage
{
  std::vector<WorkerTaskUsage> mTasks;
  Common::UnixMillis mAsOf{};
};

enum class WorkerError
{
  /// The worker refused: the task runs already.
  Conflict,
  /// The worker refused: it has no room.
  NoRoom,
  /// No such task runs.
  NotFound,
  /// The call did not reach the worker.
  NotDelivered,
  /// No answer; the call may have taken effect.
  Unknown,
};

/// Client of the platform's worker API.
class PlatformWorker
{
public:
  template<typename Value>
  using Result = tl::expected<Value, WorkerError>;

  /// aAddress is "ip:port"; aClient must outlive this object.
  PlatformWorker(std::string aAddress, Client& aClient);

  Result<void> start(const WorkerTask& aTask);
  Result<void> renew(const Common::TaskId& aTask,
                     Common::Attempt aAttempt,
                     Common::Duration aLease);
  /// Returns the name of the new checkpoint.
  Result<std::string> checkpoint(const Common::TaskId& aTask);
  Result<void> throttle(const Common::TaskId& aTask, int aPercent);
  /// On success the task no longer runs.
  Result<void> stop(const Common::TaskId& aTask);
  Result<std::vector<WorkerTaskView>> tasks();
  Result<WorkerUsage> usage();
  Result<Common::Resources> capacity();

private:
  Result<std::string> call(const std::string& aMethod,
                           const std::string& aTarget,
                           const std::string& aBody);
  Result<std::string> post(const Common::TaskId& aTask,
                           const std::string& aAction,
                           const std::string& aBody);

  std::string mAddress;
  Client& mClient;
};

} // namespace Http
