#include <mutex>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "Standins/Commands.h"
#include "Standins/Options.h"
#include "Standins/Serve.h"
#include "Standins/WorkerModel.h"

namespace Standins {

namespace {

using nlohmann::json;

constexpr const char* kTaskPattern = "/v1/tasks/(.+)";

/// The model with what the handlers share.
struct ServedWorker
{
  explicit ServedWorker(const WorkerSettings& aSettings)
    : mModel(aSettings, mClock.now())
  {
  }

  std::int64_t unixOf(Common::Timestamp aTime) const
  {
    const auto ago = std::chrono::duration_cast<Common::UnixMillis>(mClock.now() - aTime);
    return (mClock.unixNow() - ago).count();
  }

  std::mutex mMutex;
  Common::SystemClock mClock;
  WorkerModel mModel;
  bool mDown = false;
};

std::int64_t
Millis(Common::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

void
AnswerProblem(httplib::Response& aResponse, WorkerError aError)
{
  switch (aError) {
    case WorkerError::AlreadyRuns:
      return Answer(aResponse, R"({"error":"the task runs"})", 409);
    case WorkerError::DoesNotFit:
      return Answer(aResponse, R"({"error":"the task does not fit"})", 507);
    case WorkerError::NotRunning:
      return Answer(aResponse, R"({"error":"the task does not run"})", 404);
    case WorkerError::Invalid:
      return Answer(aResponse, R"({"error":"invalid request"})", 400);
  }
}

StartRequest
StartFrom(const json& aBody)
{
  return { aBody.at("id").get<std::string>(),
           aBody.at("attempt").get<std::int64_t>(),
           std::chrono::milliseconds(aBody.at("lease_ms").get<std::int64_t>()),
           { Common::MilliCores(aBody.at("milli_cores").get<std::int64_t>()),
             Common::Bytes(aBody.at("memory_bytes").get<std::int64_t>()),
             Common::Accelerators(aBody.value("accelerators", std::int64_t(0))) },
           aBody.value("payload", ""),
           aBody.value("checkpoint", "") };
}

json
TasksOf(ServedWorker& aWorker)
{
  const Common::Timestamp now = aWorker.mClock.now();
  json items = json::array();
  for (const SimTask* task : aWorker.mModel.tasks(now)) {
    items.push_back({ { "id", task->mStart.mId },
                      { "attempt", task->mStart.mAttempt },
                      { "state", StateName(task->mState) },
                      { "checkpoint", task->mCheckpoint },
                      { "ran_ms", Millis(task->mEnded.value_or(now) - task->mStarted) },
                      { "detail", task->mDetail } });
  }
  return { { "tasks", items } };
}

json
UsageOf(ServedWorker& aWorker)
{
  const UsageSample sample = aWorker.mModel.usage(aWorker.mClock.now());
  json items = json::array();
  for (const TaskUsage& task : sample.mTasks) {
    items.push_back({ { "id", task.mId },
                      { "milli_cores", task.mCores.value() },
                      { "memory_bytes", task.mMemory.value() },
                      { "progress_rate", task.mProgressRate } });
  }
  return { { "tasks", items }, { "as_of_ms", aWorker.unixOf(sample.mAt) } };
}

json
CapacityOf(ServedWorker& aWorker)
{
  const Common::Resources& capacity = aWorker.mModel.capacity();
  return { { "milli_cores", capacity.mCores.value() },
           { "memory_bytes", capacity.mMemory.value() },
           { "accelerators", capacity.mAccelerators.value() } };
}

json
AuditOf(ServedWorker& aWorker)
{
  json items = json::array();
  for (const SimTask& task : aWorker.mModel.audit(aWorker.mClock.now())) {
    items.push_back(
      { { "id", task.mStart.mId },
        { "attempt", task.mStart.mAttempt },
        { "started_ms", aWorker.unixOf(task.mStarted) },
        { "ended_ms", task.mEnded ? json(aWorker.unixOf(*task.mEnded)) : json(nullptr) },
        { "state", StateName(task.mState) },
        { "from_ms", Millis(task.mDoneAtStart) },
        { "done_ms", Millis(task.mDone) } });
  }
  return { { "starts", items } };
}

/// A call on the task whose id the path names; the body is an object, empty without one.
using TaskCall = std::function<tl::expected<json, WorkerError>(const std::string& aId,
                                                               const json& aBody,
                                                               Common::Timestamp aNow)>;

void
AddTaskCall(httplib::Server& aServer, ServedWorker& aWorker, const char* aAction, TaskCall aCall)
{
  aServer.Post(std::string(kTaskPattern) + "/" + aAction,
               [&aWorker, call = std::move(aCall)](const httplib::Request& aRequest,
                                                   httplib::Response& aResponse) {
                 const json body = aRequest.body.empty()
                                     ? json::object()
                                     : json::parse(aRequest.body, nullptr, false);
                 if (!body.is_object()) {
                   return AnswerProblem(aResponse, WorkerError::Invalid);
                 }
                 const std::lock_guard<std::mutex> lock(aWorker.mMutex);
                 try {
                   const auto done = call(aRequest.matches[1], body, aWorker.mClock.now());
                   done ? Answer(aResponse, done->dump()) : AnswerProblem(aResponse, done.error());
                 } catch (const json::exception&) {
                   AnswerProblem(aResponse, WorkerError::Invalid);
                 }
               });
}

void
AddTaskCalls(httplib::Server& aServer, ServedWorker& aWorker)
{
  WorkerModel& model = aWorker.mModel;
  AddTaskCall(
    aServer,
    aWorker,
    "renew",
    [&model](const std::string& aId, const json& aBody, Common::Timestamp aNow) {
      const auto lease = std::chrono::milliseconds(aBody.at("lease_ms").get<std::int64_t>());
      return model.renew(aId, aBody.at("attempt").get<std::int64_t>(), lease, aNow).map([] {
        return json::object();
      });
    });
  AddTaskCall(aServer,
              aWorker,
              "checkpoint",
              [&model](const std::string& aId, const json&, Common::Timestamp aNow) {
                return model.checkpoint(aId, aNow).map([](const std::string& aCheckpoint) {
                  return json{ { "checkpoint", aCheckpoint } };
                });
              });
  AddTaskCall(aServer,
              aWorker,
              "throttle",
              [&model](const std::string& aId, const json& aBody, Common::Timestamp aNow) {
                return model.throttle(aId, aBody.at("percent").get<int>(), aNow).map([] {
                  return json::object();
                });
              });
  AddTaskCall(aServer,
              aWorker,
              "stop",
              [&model](const std::string& aId, const json&, Common::Timestamp aNow) {
                return model.stop(aId, aNow).map([] { return json::object(); });
              });
  aServer.Post(
    "/v1/tasks", [&aWorker](const httplib::Request& aRequest, httplib::Response& aResponse) {
      const std::lock_guard<std::mutex> lock(aWorker.mMutex);
      try {
        const auto started =
          aWorker.mModel.start(StartFrom(json::parse(aRequest.body)), aWorker.mClock.now());
        started ? Answer(aResponse, "{}", 201) : AnswerProblem(aResponse, started.error());
      } catch (const json::exception&) {
        AnswerProblem(aResponse, WorkerError::Invalid);
      }
    });
}

void
AddViews(httplib::Server& aServer, ServedWorker& aWorker)
{
  const std::pair<const char*, json (*)(ServedWorker&)> views[] = {
    { "/v1/tasks", TasksOf },
    { "/v1/usage", UsageOf },
    { "/v1/capacity", CapacityOf },
    { "/v1/audit", AuditOf },
  };
  for (const auto& [path, view] : views) {
    aServer.Get(
      path, [&aWorker, show = view](const httplib::Request&, httplib::Response& aResponse) {
        const std::lock_guard<std::mutex> lock(aWorker.mMutex);
        Answer(aResponse, show(aWorker).dump(-1, ' ', false, json::error_handler_t::replace));
      });
  }
}

void
AddFaults(httplib::Server& aServer, ServedWorker& aWorker)
{
  aServer.Post("/v1/admin/faults",
               [&aWorker](const httplib::Request& aRequest, httplib::Response& aResponse) {
                 const std::lock_guard<std::mutex> lock(aWorker.mMutex);
                 try {
                   const json body = json::parse(aRequest.body);
                   aWorker.mDown = body.value("down", aWorker.mDown);
                   if (body.contains("fail_all")) {
                     aWorker.mModel.setFailAll(body["fail_all"].get<bool>());
                   }
                   Answer(aResponse, "{}");
                 } catch (const json::exception&) {
                   AnswerProblem(aResponse, WorkerError::Invalid);
                 }
               });
  aServer.set_pre_routing_handler(
    [&aWorker](const httplib::Request& aRequest, httplib::Response& aResponse) {
      const std::lock_guard<std::mutex> lock(aWorker.mMutex);
      const bool observed = aRequest.path == "/v1/audit" || aRequest.path == "/v1/admin/faults";
      if (aWorker.mDown && !observed) {
        Answer(aResponse, R"({"error":"down"})", 503);
        return httplib::Server::HandlerResponse::Handled;
      }
      return httplib::Server::HandlerResponse::Unhandled;
    });
}

} // namespace

int
RunWorker(int aCount, char** aArguments)
{
  ServeOptions serve;
  std::int64_t cores = 16000;
  std::int64_t memory = 60;
  std::int64_t accelerators = 2;
  std::int64_t lag = 3000;
  if (const auto status = ParseOptions(aCount,
                                       aArguments,
                                       { { "milli-cores", "cores in thousandths", &cores },
                                         { "memory-gb", "memory in 10^9 bytes", &memory },
                                         { "accelerators", "accelerators", &accelerators },
                                         { "usage-lag-ms", "age of reported usage", &lag } },
                                       serve)) {
    return *status;
  }
  ServedWorker worker({ { Common::MilliCores(cores),
                          Common::Bytes(memory * 1000000000),
                          Common::Accelerators(accelerators) },
                        std::chrono::milliseconds(lag) });
  httplib::Server server;
  AddTaskCalls(server, worker);
  AddViews(server, worker);
  AddFaults(server, worker);
  // Advancing the model in between keeps each advance short.
  const auto advance = [&worker](bool) {
    const std::lock_guard<std::mutex> lock(worker.mMutex);
    worker.mModel.audit(worker.mClock.now());
  };
  return Serve(server, serve, { {}, advance, {} });
}

} // namespace Standins
