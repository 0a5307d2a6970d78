#include "Http/PlatformWorker.h"
#include "Common/Text.h"

#include <map>

#include <nlohmann/json.hpp>

namespace Http {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kCallTimeout{ 2 };

WorkerError
ErrorOf(int aStatus)
{
  switch (aStatus) {
    case 404:
      return WorkerError::NotFound;
    case 409:
      return WorkerError::Conflict;
    case 507:
      return WorkerError::NoRoom;
    default:
      return aStatus >= 500 ? WorkerError::Unknown : WorkerError::Conflict;
  }
}

WorkerTaskState
StateOf(const std::string& aText)
{
  static const std::map<std::string, WorkerTaskState> kStates = {
    { "running", WorkerTaskState::Running }, { "finished", WorkerTaskState::Finished },
    { "failed", WorkerTaskState::Failed },   { "stopped", WorkerTaskState::Stopped },
    { "expired", WorkerTaskState::Expired },
  };
  return kStates.at(aText);
}

WorkerTaskView
ViewOf(const Json& aJson)
{
  WorkerTaskView view;
  view.mId = Common::TaskId(aJson.at("id").get<std::string>());
  view.mAttempt = Common::Attempt(aJson.at("attempt").get<std::int64_t>());
  view.mState = StateOf(aJson.at("state").get<std::string>());
  view.mCheckpoint = aJson.value("checkpoint", "");
  view.mRan = std::chrono::milliseconds(aJson.value("ran_ms", std::int64_t{ 0 }));
  view.mDetail = aJson.value("detail", "");
  return view;
}

/// Turns an answer that is not the agreed JSON into an error.
template<typename Value, typename Read>
PlatformWorker::Result<Value>
Parse(const PlatformWorker::Result<std::string>& aAnswer, Read aRead)
{
  if (!aAnswer) {
    return tl::unexpected(aAnswer.error());
  }
  try {
    return aRead(Json::parse(*aAnswer));
  } catch (const std::exception&) {
    return tl::unexpected(WorkerError::Unknown);
  }
}

PlatformWorker::Result<void>
WithoutValue(const PlatformWorker::Result<std::string>& aAnswer)
{
  if (!aAnswer) {
    return tl::unexpected(aAnswer.error());
  }
  return {};
}

std::int64_t
MillisOf(Common::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace

PlatformWorker::PlatformWorker(std::string aAddress, Client& aClient)
  : mAddress(std::move(aAddress))
  , mClient(aClient)
{
}

PlatformWorker::Result<std::string>
PlatformWorker::call(const std::string& aMethod,
                     const std::string& aTarget,
                     const std::string& aBody)
{
  Request request{ aMethod, aTarget, {}, aBody };
  if (aMethod == "POST") {
    request.mHeaders.push_back({ "Content-Type", "application/json" });
  }
  ClientResult result = mClient.send(mAddress, request, kCallTimeout);
  if (!result) {
    return tl::unexpected(result.error().mMayHaveBeenDelivered ? WorkerError::Unknown
                                                               : WorkerError::NotDelivered);
  }
  if (result->mStatus < 200 || result->mStatus > 299) {
    return tl::unexpected(ErrorOf(result->mStatus));
  }
  return std::move(result->mBody);
}

PlatformWorker::Result<std::string>
PlatformWorker::post(const Common::TaskId& aTask,
                     const std::string& aAction,
                     const std::string& aBody)
{
  return call("POST", "/v1/tasks/" + Common::PercentEncoded(aTask.str()) + '/' + aAction, aBody);
}

PlatformWorker::Result<void>
PlatformWorker::start(const WorkerTask& aTask)
{
  const Json body = { { "id", aTask.mId.str() },
                      { "attempt", aTask.mAttempt.value() },
                      { "lease_ms", MillisOf(aTask.mLease) },
                      { "milli_cores", aTask.mAmounts.mCores.value() },
                      { "memory_bytes", aTask.mAmounts.mMemory.value() },
                      { "accelerators", aTask.mAmounts.mAccelerators.value() },
                      { "payload", aTask.mPayload },
                      { "checkpoint", aTask.mCheckpoint } };
  const auto replaceInvalid = Json::error_handler_t::replace;
  return WithoutValue(call("POST", "/v1/tasks", body.dump(-1, ' ', false, replaceInvalid)));
}

PlatformWorker::Result<void>
PlatformWorker::renew(const Common::TaskId& aTask,
                      Common::Attempt aAttempt,
                      Common::Duration aLease)
{
  const Json body = { { "attempt", aAttempt.value() }, { "lease_ms", MillisOf(aLease) } };
  return WithoutValue(post(aTask, "renew", body.dump()));
}

PlatformWorker::Result<std::string>
PlatformWorker::checkpoint(const Common::TaskId& aTask)
{
  return Parse<std::string>(post(aTask, "checkpoint", "{}"), [](const Json& aJson) {
    return aJson.at("checkpoint").get<std::string>();
  });
}

PlatformWorker::Result<void>
PlatformWorker::throttle(const Common::TaskId& aTask, int aPercent)
{
  return WithoutValue(post(aTask, "throttle", Json{ { "percent", aPercent } }.dump()));
}

PlatformWorker::Result<void>
PlatformWorker::stop(const Common::TaskId& aTask)
{
  return WithoutValue(post(aTask, "stop", "{}"));
}

PlatformWorker::Result<std::vector<WorkerTaskView>>
PlatformWorker::tasks()
{
  return Parse<std::vector<WorkerTaskView>>(call("GET", "/v1/tasks", {}), [](const Json& aJson) {
    std::vector<WorkerTaskView> views;
    for (const Json& task : aJson.at("tasks")) {
      views.push_back(ViewOf(task));
    }
    return views;
  });
}

PlatformWorker::Result<WorkerUsage>
PlatformWorker::usage()
{
  return Parse<WorkerUsage>(call("GET", "/v1/usage", {}), [](const Json& aJson) {
    WorkerUsage usage;
    usage.mAsOf = Common::UnixMillis(aJson.at("as_of_ms").get<std::int64_t>());
    for (const Json& task : aJson.at("tasks")) {
      usage.mTasks.push_back({ Common::TaskId(task.at("id").get<std::string>()),
                               Common::MilliCores(task.at("milli_cores").get<std::int64_t>()),
                               Common::Bytes(task.at("memory_bytes").get<std::int64_t>()),
                               task.value("progress_rate", 1.0) });
    }
    return usage;
  });
}

PlatformWorker::Result<Common::Resources>
PlatformWorker::capacity()
{
  return Parse<Common::Resources>(call("GET", "/v1/capacity", {}), [](const Json& aJson) {
    return Common::Resources{
      Common::MilliCores(aJson.at("milli_cores").get<std::int64_t>()),
      Common::Bytes(aJson.at("memory_bytes").get<std::int64_t>()),
      Common::Accelerators(aJson.at("accelerators").get<std::int64_t>()),
    };
  });
}

} // namespace Http
