#include <set>

#include <nlohmann/json.hpp>

#include "Daemon/Convert.h"
#include "Daemon/EntryApi.h"
#include "Daemon/Pages.h"

namespace Daemon {

namespace Wire = Rpc::Generated;

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kCallTimeout{ 2 };
constexpr std::chrono::seconds kRetry{ 1 };

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string
StateOf(const Wire::MemberView& aMember)
{
  if (aMember.leaving) {
    return "leaving";
  }
  if (aMember.quarantined) {
    return "quarantined";
  }
  return aMember.suspect ? "suspect" : "alive";
}

} // namespace

Http::Response
EntryApi::showWorkers() const
{
  Json workers = Json::array();
  for (const Wire::MemberView& member : mPools.members()) {
    workers.push_back({ { "worker", member.info.worker },
                        { "instance", member.info.instance },
                        { "data_centre", member.info.dataCentre },
                        { "rack", member.info.rack },
                        { "state", StateOf(member) },
                        { "running_tasks", member.runningTasks },
                        { "revision", member.revision },
                        { "slots_in_use", member.load.slotsInUse },
                        { "queued", member.load.queued },
                        { "free_milli_cores", member.free.milliCores },
                        { "total_milli_cores", member.total.milliCores } });
  }
  return Http::JsonResponse(200, Dump({ { "workers", workers } }));
}

Http::Response
EntryApi::showEndpoints() const
{
  Json endpoints = Json::array();
  for (const Wire::MemberView& member : mPools.members()) {
    for (const Wire::EndpointReport& endpoint : member.endpoints) {
      endpoints.push_back({ { "endpoint", endpoint.endpointId },
                            { "pool", endpoint.pool },
                            { "worker", member.info.worker },
                            { "address", endpoint.address },
                            { "slots", endpoint.slots },
                            { "connections", endpoint.connections },
                            { "leaving", endpoint.leaving } });
    }
  }
  return Http::JsonResponse(200, Dump({ { "endpoints", endpoints } }));
}

Http::Response
EntryApi::showCells() const
{
  Json cells = Json::array();
  for (const Config::DataCentre& each : mRuntime.mSettings.mDataCentres) {
    const auto cell = mCells.find(each.mName.str());
    cells.push_back({ { "cell", each.mName.str() },
                      { "owner", cell ? cell->ownerInstance : "" },
                      { "address", cell ? cell->ownerAddress : "" },
                      { "epoch", cell ? cell->epoch : 0 },
                      { "state", cell ? "owned" : "no owner known" } });
  }
  return Http::JsonResponse(200, Dump({ { "cells", cells } }));
}

Http::Response
EntryApi::showUsage()
{
  Metering::UsageTable total;
  Json missing = Json::array();
  for (const Wire::CellView& cell : mCells.all()) {
    const auto records = mRuntime.mControl.usage(cell.ownerAddress, kCallTimeout);
    if (records) {
      Metering::Merge(total, FromWire(*records));
    } else {
      missing.push_back(cell.cell);
    }
  }
  Json usage = Json::array();
  for (const auto& [key, use] : total) {
    usage.push_back({ { "team", key.mTeam.str() },
                      { "client", key.mClient.str() },
                      { "route", key.mRoute.str() },
                      { "price_micro", key.mPrice.value() },
                      { "count", use.mCount },
                      { "slot_ms", use.mSlotMicros / 1000 },
                      { "core_ms", use.mCoreMicros / 1000 },
                      { "charge_micro", Metering::ComputeCharge(key, use).value() } });
  }
  return Http::JsonResponse(200, Dump({ { "usage", usage }, { "cells_not_heard", missing } }));
}

Http::Response
EntryApi::drain(const Http::Request& aRequest)
{
  std::string instance;
  bool on = true;
  try {
    const Json body = Json::parse(aRequest.mBody);
    instance = body.at("instance").get<std::string>();
    on = body.value("on", true);
  } catch (const Json::exception& error) {
    return ErrorPage(400, error.what());
  }
  bool unheard = false;
  for (const Wire::CellView& cell : mCells.all()) {
    const auto done = mRuntime.mControl.drain(cell.ownerAddress, instance, on, kCallTimeout);
    if (done && *done) {
      return Http::JsonResponse(200, Dump({ { "instance", instance }, { "on", on } }));
    }
    unheard = unheard || !done;
  }
  return unheard ? RetryPage(503, "a cell owner did not answer", kRetry)
                 : ErrorPage(404, "no such instance: " + instance);
}

Http::Response
EntryApi::declareLost(const Http::Request& aRequest)
{
  std::string name;
  try {
    name = Json::parse(aRequest.mBody).at("cell").get<std::string>();
  } catch (const Json::exception& error) {
    return ErrorPage(400, error.what());
  }
  const auto cell = mCells.find(name);
  if (!cell) {
    return ErrorPage(404, "no owner is known for cell " + name);
  }
  const auto done = mRuntime.mControl.declareLost(cell->ownerAddress, name, kCallTimeout);
  if (!done) {
    return RetryPage(503, done.error().mText, kRetry);
  }
  return *done ? Http::JsonResponse(200, Dump({ { "cell", name } }))
               : ErrorPage(409, "the instance no longer owns the cell");
}

Http::Response
EntryApi::showTrace(const std::string& aTrace)
{
  std::vector<std::string> spans = SpansOf(mRuntime, aTrace);
  // The agents that the spans name know the later hops.
  std::set<std::string> agents;
  for (const Observability::SpanRecord& span : mRuntime.mTracer.trace(aTrace)) {
    for (const auto& [key, value] : span.mTags) {
      if (key == "agent") {
        agents.insert(value);
      }
    }
  }
  for (const Wire::MemberView& member : mPools.members()) {
    if (!agents.contains(member.info.instance)) {
      continue;
    }
    const auto more = mRuntime.mControl.trace(member.info.address, aTrace, kCallTimeout);
    if (more) {
      spans.insert(spans.end(), more->begin(), more->end());
    }
  }
  return SpansPage(spans);
}

} // namespace Daemon
