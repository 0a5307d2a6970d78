#include "Demo/Audit.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <limits>
#include <map>
#include <optional>

#include <nlohmann/json.hpp>

#include "Common/Clock.h"
#include "Http/Client.h"

namespace Demo {

namespace {

using Json = nlohmann::json;

struct Run
{
  std::int64_t mStarted = 0;
  std::int64_t mEnded = 0;
  bool mFinished = false;
};

struct Totals
{
  int mRequests = 0;
  int mAnswered = 0;
  int mJobs = 0;
  int mFinished = 0;
  int mLost = 0;
  int mDoubled = 0;
  int mOvercommitted = 0;
  bool mReadable = true;
};

std::optional<Json>
Fetch(Http::Client& aClient, const std::string& aAddress)
{
  const auto answer =
    aClient.send(aAddress, { "GET", "/v1/audit", {}, "" }, std::chrono::seconds(5));
  if (!answer || answer->mStatus != 200) {
    std::cout << "audit: " << aAddress << " does not answer\n";
    return std::nullopt;
  }
  return Json::parse(answer->mBody);
}

void
CountCallers(const Json& aResult, Totals& aTotals)
{
  for (const Json& request : aResult.at("requests")) {
    ++aTotals.mRequests;
    if (request.at("answered").get<bool>()) {
      ++aTotals.mAnswered;
    } else {
      ++aTotals.mLost;
      std::cout << "lost: " << request.dump() << '\n';
    }
  }
  for (const Json& job : aResult.at("jobs")) {
    ++aTotals.mJobs;
    if (job.at("state") == "finished") {
      ++aTotals.mFinished;
    } else {
      ++aTotals.mLost;
      std::cout << "lost: " << job.dump() << '\n';
    }
  }
}

void
CountEndpoint(const Json& aAudit,
              const AuditOptions& aOptions,
              std::map<std::string, int>& aRuns,
              Totals& aTotals)
{
  if (aAudit.at("max_present").get<int>() > aOptions.mSlots) {
    ++aTotals.mOvercommitted;
    std::cout << "overcommitted endpoint: " << aAudit.at("max_present") << " present\n";
  }
  for (const Json& request : aAudit.at("requests")) {
    aRuns[request.at("id").get<std::string>()] += request.at("runs").get<int>();
  }
}

void
CountWorker(const Json& aAudit,
            const AuditOptions& aOptions,
            std::map<std::string, std::vector<Run>>& aRuns,
            Totals& aTotals)
{
  // Changes of the number of running tasks, ends before starts of the same time.
  std::vector<std::pair<std::int64_t, int>> changes;
  for (const Json& start : aAudit.at("starts")) {
    Run run;
    run.mStarted = start.at("started_ms").get<std::int64_t>();
    run.mEnded = start.at("ended_ms").is_null() ? std::numeric_limits<std::int64_t>::max()
                                                : start.at("ended_ms").get<std::int64_t>();
    run.mFinished = start.at("state") == "finished";
    aRuns[start.at("id").get<std::string>()].push_back(run);
    changes.emplace_back(run.mStarted, 1);
    changes.emplace_back(run.mEnded, -1);
  }
  std::sort(changes.begin(), changes.end());
  int running = 0;
  int most = 0;
  for (const auto& [time, change] : changes) {
    running += change;
    most = std::max(most, running);
  }
  if (most * aOptions.mMilliCoresPerTask > aOptions.mMilliCores) {
    ++aTotals.mOvercommitted;
    std::cout << "overcommitted worker: " << most << " tasks at one time\n";
  }
}

/// Two runs at one time, or two that finished.
bool
RanTwice(std::vector<Run> aRuns)
{
  std::sort(aRuns.begin(), aRuns.end(), [](const Run& aLeft, const Run& aRight) {
    return aLeft.mStarted < aRight.mStarted;
  });
  const auto finished =
    std::count_if(aRuns.begin(), aRuns.end(), [](const Run& aRun) { return aRun.mFinished; });
  for (std::size_t i = 1; i < aRuns.size(); ++i) {
    if (aRuns[i].mStarted < aRuns[i - 1].mEnded) {
      return true;
    }
  }
  return finished > 1;
}

} // namespace

bool
RunAudit(const AuditOptions& aOptions)
{
  std::ifstream file(aOptions.mResultFile);
  const Json result = Json::parse(file, nullptr, false);
  if (result.is_discarded()) {
    std::cout << "audit: cannot read " << aOptions.mResultFile << '\n';
    return false;
  }
  const Common::SystemClock clock;
  Http::Client client(Http::ClientSettings{}, clock);
  Totals totals;
  CountCallers(result, totals);
  std::map<std::string, int> requestRuns;
  for (const std::string& endpoint : aOptions.mEndpoints) {
    const auto audit = Fetch(client, endpoint);
    totals.mReadable = totals.mReadable && audit;
    if (audit) {
      CountEndpoint(*audit, aOptions, requestRuns, totals);
    }
  }
  std::map<std::string, std::vector<Run>> taskRuns;
  for (const std::string& worker : aOptions.mWorkers) {
    const auto audit = Fetch(client, worker);
    totals.mReadable = totals.mReadable && audit;
    if (audit) {
      CountWorker(*audit, aOptions, taskRuns, totals);
    }
  }
  int absent = 0;
  for (const Json& request : result.at("requests")) {
    const int runs = requestRuns[request.at("id").get<std::string>()];
    // Idempotent requests may run again after a failure; keyed ones may not.
    const bool twice = request.at("keyed").get<bool>() && runs > 1;
    totals.mDoubled += twice ? 1 : 0;
    absent += request.at("answered").get<bool>() && runs == 0 ? 1 : 0;
    if (twice) {
      std::cout << "doubled: " << request.dump() << '\n';
    }
  }
  for (const auto& [task, runs] : taskRuns) {
    if (RanTwice(runs)) {
      ++totals.mDoubled;
      std::cout << "doubled: task " << task << '\n';
    }
  }
  const auto tasks = result.at("jobs").size() * result.at("tasks_per_job").get<std::size_t>();
  const auto finishedTasks =
    static_cast<std::size_t>(std::count_if(taskRuns.begin(), taskRuns.end(), [](const auto& aItem) {
      return std::any_of(
        aItem.second.begin(), aItem.second.end(), [](const Run& aRun) { return aRun.mFinished; });
    }));
  if (absent > 0 || finishedTasks != tasks) {
    std::cout << "audit: " << absent << " answered requests that no endpoint ran, " << finishedTasks
              << " of " << tasks << " tasks finished\n";
  }
  const bool ok = totals.mReadable && totals.mRequests > 0 && totals.mJobs > 0 &&
                  totals.mAnswered == totals.mRequests && totals.mFinished == totals.mJobs &&
                  totals.mLost == 0 && totals.mDoubled == 0 && totals.mOvercommitted == 0 &&
                  absent == 0 && finishedTasks == tasks;
  std::cout << "demo: " << (ok ? "ok" : "failed") << " requests=" << totals.mRequests
            << " answered=" << totals.mAnswered << " jobs=" << totals.mJobs
            << " finished=" << totals.mFinished << " lost=" << totals.mLost
            << " doubled=" << totals.mDoubled << " overcommitted=" << totals.mOvercommitted
            << std::endl;
  return ok;
}

} // namespace Demo
