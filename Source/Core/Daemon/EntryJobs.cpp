#include <algorithm>

#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Daemon/Convert.h"
#include "Daemon/EntryApi.h"
#include "Daemon/Pages.h"

namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

using Json = nlohmann::json;

// An owner answers a submission after its record is in the store.
constexpr std::chrono::seconds kSubmitTimeout{ 5 };
constexpr std::chrono::seconds kCallTimeout{ 2 };
constexpr std::chrono::seconds kRetry{ 1 };
constexpr std::int32_t kMaxListed = 200;

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Wire::JobSpec
SpecFrom(const Json& aBody)
{
  Wire::JobSpec spec;
  spec.route = aBody.at("route").get<std::string>();
  spec.client = aBody.value("client", "");
  spec.team = aBody.value("team", "");
  spec.tasks = aBody.value("tasks", 1);
  spec.perTask.milliCores = aBody.value("milli_cores", std::int64_t{ 1000 });
  spec.perTask.memoryBytes = aBody.value("memory_bytes", std::int64_t{ 1 << 30 });
  spec.perTask.accelerators = aBody.value("accelerators", std::int64_t{ 0 });
  spec.runTimeMicros = aBody.value("run_time_ms", std::int64_t{ 0 }) * 1000;
  spec.deadlineUnixMillis = aBody.value("deadline_unix_ms", std::int64_t{ 0 });
  spec.priority = aBody.value("priority", 0);
  if (aBody.contains("payload")) {
    const Json& payload = aBody.at("payload");
    spec.payload = payload.is_string() ? payload.get<std::string>() : payload.dump();
  }
  return spec;
}

Json
JobJson(const Wire::JobView& aView)
{
  return { { "job_id", aView.jobId },
           { "state", aView.state },
           { "route", aView.spec.route },
           { "client", aView.spec.client },
           { "team", aView.spec.team },
           { "tasks", aView.spec.tasks },
           { "waiting", aView.waiting },
           { "running", aView.running },
           { "finished", aView.finished },
           { "failed", aView.failed },
           { "cancelled", aView.cancelled },
           { "unknown", aView.unknownEnd },
           { "evictions", aView.evictions },
           { "detail", aView.detail },
           { "submitted_unix_ms", aView.submittedUnixMillis } };
}

Http::Response
NotRun(Http::Response aResponse)
{
  SetOutcome(aResponse, Common::Outcome::NotRun);
  return aResponse;
}

} // namespace

std::string
EntryApi::cellForJob(const TablesInForce& aTables,
                     const Tables::Route& aRoute,
                     const std::string& aKey) const
{
  const Tables::Pool* pool = Tables::FindPool(aTables.mTables, aRoute.mPool);
  std::vector<std::string> local;
  std::vector<std::string> all;
  for (const Config::DataCentre& each : mRuntime.mSettings.mDataCentres) {
    const bool listed = pool != nullptr && (pool->mDataCentres.empty() ||
                                            std::find(pool->mDataCentres.begin(),
                                                      pool->mDataCentres.end(),
                                                      each.mName) != pool->mDataCentres.end());
    if (listed) {
      all.push_back(each.mName.str());
      if (each.mRegion == mRuntime.mSettings.mInstance.mRegion) {
        local.push_back(each.mName.str());
      }
    }
  }
  // With a key the choice must be the same at every entry, so that the job is recognised.
  if (!aKey.empty()) {
    return Common::RendezvousChoice(aKey, all);
  }
  const std::vector<std::string>& from = local.empty() ? all : local;
  return from.empty() ? "" : from[mRuntime.random().below(from.size())];
}

std::optional<Wire::CellView>
EntryApi::cellOfJob(const std::string& aJob) const
{
  // "<cell>-<epoch>-<count>"
  const std::size_t count = aJob.rfind('-');
  const std::size_t epoch = count == std::string::npos ? count : aJob.rfind('-', count - 1);
  return epoch == std::string::npos ? std::nullopt : mCells.find(aJob.substr(0, epoch));
}

Http::Response
EntryApi::submitJob(const Http::Request& aRequest)
{
  Wire::JobSpec spec;
  try {
    spec = SpecFrom(Json::parse(aRequest.mBody));
  } catch (const Json::exception& error) {
    return NotRun(ErrorPage(400, error.what()));
  }
  if (spec.client.empty()) {
    spec.client = Http::FindHeader(aRequest.mHeaders, "Ibisshed-Client").value_or("");
  }
  spec.idempotencyKey = Http::FindHeader(aRequest.mHeaders, "Idempotency-Key").value_or("");
  const auto tables = mRuntime.mTables.current();
  if (!tables || mRuntime.leaving()) {
    return NotRun(RetryPage(503, "the entry takes no jobs now", kRetry));
  }
  const Tables::Route* route =
    Tables::FindRoute(tables->mTables, tables->mIndex, Common::RouteId(spec.route));
  if (route == nullptr || route->mKind == Tables::RouteKind::Request) {
    return NotRun(ErrorPage(400, "no batch route \"" + spec.route + '"'));
  }
  const Tables::Client* client = Tables::FindClient(tables->mTables, Common::ClientId(spec.client));
  if (spec.team.empty() && client != nullptr) {
    spec.team = client->mTeam.str();
  }
  if (spec.tasks < 1) {
    return NotRun(ErrorPage(400, "\"tasks\" must be at least 1"));
  }
  const std::string key =
    spec.idempotencyKey.empty() ? "" : spec.client + '\n' + spec.idempotencyKey;
  const auto cell = mCells.find(cellForJob(*tables, *route, key));
  if (!cell) {
    return NotRun(RetryPage(503, "no cell owner is known for the pool of the route", kRetry));
  }
  const auto parent = Observability::ParseTraceParent(
    Http::FindHeader(aRequest.mHeaders, "traceparent").value_or(""));
  auto span = mRuntime.mTracer.start("entry.submit", parent);
  span->SetTag("cell", cell->cell);
  const auto reply = mRuntime.mControl.submitJob(
    cell->ownerAddress, spec, ToWire(Observability::ContextOf(*span)), kSubmitTimeout);
  if (!reply) {
    Http::Response page = RetryPage(503, reply.error().mText, kRetry);
    SetOutcome(page,
               reply.error().mMayHaveBeenDelivered ? Common::Outcome::Unknown
                                                   : Common::Outcome::NotRun);
    return page;
  }
  if (reply->accepted) {
    Http::Response page = Http::JsonResponse(202, Dump({ { "job_id", reply->jobId } }));
    SetOutcome(page, Common::Outcome::Ran);
    return page;
  }
  if (reply->reason == Wire::RefusalReason::Invalid) {
    return NotRun(ErrorPage(400, reply->detail));
  }
  Http::Response page = RetryPage(503, reply->detail, Common::Duration(reply->retryAfterMicros));
  // The owner does not know whether the record was written.
  const bool unknown = reply->reason == Wire::RefusalReason::None;
  SetOutcome(page, unknown ? Common::Outcome::Unknown : Common::Outcome::NotRun);
  return page;
}

Http::Response
EntryApi::listJobs()
{
  Json jobs = Json::array();
  Json missing = Json::array();
  for (const Wire::CellView& cell : mCells.all()) {
    const auto views = mRuntime.mControl.showJobs(cell.ownerAddress, "", kMaxListed, kCallTimeout);
    if (!views) {
      missing.push_back(cell.cell);
      continue;
    }
    for (const Wire::JobView& view : *views) {
      jobs.push_back(JobJson(view));
    }
  }
  return Http::JsonResponse(200, Dump({ { "jobs", jobs }, { "cells_not_heard", missing } }));
}

Http::Response
EntryApi::showJob(const std::string& aJob)
{
  const auto cell = cellOfJob(aJob);
  if (!cell) {
    return ErrorPage(404, "no such job: " + aJob);
  }
  const auto views = mRuntime.mControl.showJobs(cell->ownerAddress, aJob, 1, kCallTimeout);
  if (!views) {
    return RetryPage(503, views.error().mText, kRetry);
  }
  if (views->empty()) {
    return ErrorPage(404, "no such job: " + aJob);
  }
  return Http::JsonResponse(200, Dump(JobJson(views->front())));
}

Http::Response
EntryApi::cancelJob(const std::string& aJob)
{
  const auto cell = cellOfJob(aJob);
  if (!cell) {
    return ErrorPage(404, "no such job: " + aJob);
  }
  const auto reply = mRuntime.mControl.cancelJob(cell->ownerAddress, aJob, kCallTimeout);
  if (!reply) {
    return RetryPage(503, reply.error().mText, kRetry);
  }
  if (reply->accepted) {
    return Http::JsonResponse(202, Dump({ { "job_id", aJob } }));
  }
  return reply->reason == Wire::RefusalReason::Invalid
           ? ErrorPage(404, reply->detail)
           : RetryPage(503, reply->detail, Common::Duration(reply->retryAfterMicros));
}

} // namespace Daemon
