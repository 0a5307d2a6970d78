#include <algorithm>
#include <cstdlib>

#include <nlohmann/json.hpp>

#include "Ibisctl/Command.h"
#include "Node/DeploymentStatus.h"
#include "Scheduling/Model.h"
#include "platform/Formats.h"
#include "platform/StoreClient.h"

namespace Ibisctl {

namespace {

using nlohmann::json;

std::string
StateOf(const Node::StoredJob& aJob)
{
  const std::int32_t state = aJob.mProgress ? aJob.mProgress->state : 0;
  // A cancel is in force before the coordinator has written down that the job has ended.
  if (aJob.mCancel && state <= static_cast<std::int32_t>(Scheduling::JobState::Running)) {
    return "cancelling";
  }
  return std::string(Scheduling::StateText(static_cast<Scheduling::JobState>(state)));
}

/// The steps in one line, for instance "4x500m 8x1800m".
std::string
StepsOf(const Wire::JobRecord& aRecord)
{
  std::string text;
  for (const Wire::StepSpec& step : aRecord.steps) {
    text += (text.empty() ? "" : " ") + std::to_string(step.tasks) + 'x' +
            std::to_string(step.milliCores) + 'm';
    text += step.lasting ? " lasting" : "";
  }
  return text;
}

json
JobRow(const Node::StoredJob& aJob)
{
  json row = { { "job", aJob.mJob.str() }, { "state", StateOf(aJob) } };
  if (aJob.mSubmission) {
    row["queue"] = aJob.mSubmission->queue;
    row["steps"] = StepsOf(*aJob.mSubmission);
    row["accepted_unix_ms"] = aJob.mSubmission->acceptedUnixMs;
    row["entry"] = aJob.mSubmission->entry;
  }
  if (aJob.mCancel) {
    row["cancelled_unix_ms"] = aJob.mCancel->cancelledUnixMs;
  }
  if (aJob.mProgress && aJob.mProgress->endedUnixMs > 0) {
    row["ended_unix_ms"] = aJob.mProgress->endedUnixMs;
  }
  return row;
}

json
TaskRows(const Wire::ProgressRecord& aProgress)
{
  json rows = json::array();
  for (const Wire::StepProgress& step : aProgress.steps) {
    const std::string name = std::to_string(step.occurrence) + '.' + std::to_string(step.step);
    if (step.done) {
      rows.push_back({ { "task", name + ".*" }, { "done", true } });
    }
    for (const Wire::TaskProgress& task : step.tasks) {
      json row = { { "task", name + '.' + std::to_string(task.index) }, { "done", task.done } };
      if (!task.failedRuns.empty()) {
        row["failed_runs"] = task.failedRuns;
      }
      if (!task.checkpoint.empty()) {
        row["checkpoint"] = task.checkpoint;
      }
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

json
WorkerRow(const Wire::WorkerRecord& aRecord, const Scheduling::EvacuatedDataCentres& aEvacuated)
{
  return { { "evacuated", aEvacuated.contains(Common::DataCentreId(aRecord.dataCentre)) },
           { "worker", aRecord.view.worker },
           { "born_unix_ms", aRecord.view.born },
           { "instance", aRecord.instance },
           { "data_centre", aRecord.dataCentre },
           { "pool", aRecord.view.pool },
           { "rack", aRecord.view.rack },
           { "address", aRecord.view.address },
           { "milli_cores", aRecord.view.milliCores },
           { "memory_mib", aRecord.view.memoryMb },
           { "accelerators", aRecord.view.accelerators } };
}

json
QueueRow(const Node::QueueRoute& aRoute)
{
  const Scheduling::QueueSpec& queue = aRoute.mQueue;
  return { { "queue", queue.mName.str() },      { "host", aRoute.mHost },
           { "prefix", aRoute.mPathPrefix },    { "pool", queue.mPool.str() },
           { "priority", queue.mPriority },     { "max_attempts", queue.mMaxAttempts },
           { "stretch", queue.mStretchFactor }, { "tickets", queue.mAdvice.has_value() } };
}

json
Summary(const Node::DeploymentStatus& aStatus)
{
  json summary = { { "term", aStatus.mTerm },
                   { "coordinator", aStatus.mCoordinator ? aStatus.mCoordinator->instance : "" },
                   { "coordinator_address",
                     aStatus.mCoordinator ? aStatus.mCoordinator->address : "" },
                   { "tables_revision", aStatus.mTables ? aStatus.mTables->mRevision.value() : 0 },
                   { "workers", aStatus.mWorkers.size() },
                   { "unreadable", aStatus.mUnreadableKeys } };
  summary["evacuated"] = json::array();
  for (const Common::DataCentreId& dataCentre : aStatus.mEvacuated) {
    summary["evacuated"].push_back(dataCentre.str());
  }
  summary["workers_evacuated"] =
    std::count_if(aStatus.mWorkers.begin(), aStatus.mWorkers.end(), [&](const auto& aWorker) {
      return aStatus.mEvacuated.contains(Common::DataCentreId(aWorker.dataCentre));
    });
  std::map<std::string, std::int64_t> states;
  for (const Node::StoredJob& job : aStatus.mJobs) {
    ++states[StateOf(job)];
  }
  for (const auto& [state, jobs] : states) {
    summary["jobs_" + state] = jobs;
  }
  return summary;
}

/// What stands in the store that --store or IBISCTL_STORE names.
tl::expected<Node::DeploymentStatus, int>
Read(Session& aSession)
{
  const char* variable = std::getenv("IBISCTL_STORE");
  const std::string address =
    aSession.mArguments.value("store", variable == nullptr ? "" : variable);
  if (!Net::ParseAddress(address)) {
    return tl::unexpected(
      UsageError(aSession, "--store or IBISCTL_STORE must name the store as IP:PORT"));
  }
  boost::asio::io_context io(1);
  const auto store = Platform::MakeStoreClient(io, address);
  auto status =
    Node::ReadDeploymentStatus(io,
                               *store,
                               Platform::MakeFormats(),
                               std::chrono::duration_cast<Common::Duration>(aSession.mTimeout));
  if (!status) {
    aSession.mError << "ibisctl: " << status.error() << '\n';
    return tl::unexpected(kUnreachable);
  }
  return std::move(*status);
}

int
ShowStatus(Session& aSession)
{
  const auto status = Read(aSession);
  if (!status) {
    return status.error();
  }
  PrintObject(aSession, Summary(*status), { "term", "coordinator", "coordinator_address" });
  // Without a coordinator nothing starts.
  return status->mCoordinator ? kSuccess : kNegative;
}

int
ListJobs(Session& aSession)
{
  const auto status = Read(aSession);
  if (!status) {
    return status.error();
  }
  const std::string wanted = aSession.mArguments.value("state", "");
  json rows = json::array();
  for (const Node::StoredJob& job : status->mJobs) {
    if (wanted.empty() || StateOf(job) == wanted) {
      rows.push_back(JobRow(job));
    }
  }
  PrintList(aSession, rows, "jobs", { "job", "state", "queue", "steps", "accepted_unix_ms" });
  return kSuccess;
}

int
ShowJob(Session& aSession)
{
  const auto status = Read(aSession);
  if (!status) {
    return status.error();
  }
  const std::string& id = aSession.mArguments.mPositional[0];
  for (const Node::StoredJob& job : status->mJobs) {
    if (job.mJob.str() == id) {
      json row = JobRow(job);
      if (job.mProgress) {
        row["tasks"] = TaskRows(*job.mProgress);
      }
      PrintObject(aSession, row, { "job", "state", "queue", "steps" });
      return kSuccess;
    }
  }
  aSession.mError << "ibisctl: the store has no job \"" << id << "\"\n";
  return kNegative;
}

/// A command that lists the rows that aRows makes of the status.
std::function<int(Session&)>
ListOf(std::function<json(const Node::DeploymentStatus&)> aRows, std::vector<std::string> aColumns)
{
  return [rows = std::move(aRows), columns = std::move(aColumns)](Session& aSession) {
    const auto status = Read(aSession);
    if (!status) {
      return status.error();
    }
    PrintList(aSession, rows(*status), "", columns);
    return kSuccess;
  };
}

json
WorkerRows(const Node::DeploymentStatus& aStatus)
{
  json rows = json::array();
  for (const Wire::WorkerRecord& worker : aStatus.mWorkers) {
    rows.push_back(WorkerRow(worker, aStatus.mEvacuated));
  }
  return rows;
}

json
QueueRows(const Node::DeploymentStatus& aStatus)
{
  json rows = json::array();
  if (aStatus.mTables) {
    for (const Node::QueueRoute& route : aStatus.mTables->mRoutes) {
      rows.push_back(QueueRow(route));
    }
  }
  return rows;
}

} // namespace

std::vector<Command>
StoreCommands()
{
  const OptionSpec store{ "store", "IP:PORT", "store of the deployment" };
  return {
    { "store status",
      "",
      "show the coordinator, the tables' revision and counts of jobs and workers",
      0,
      0,
      { store },
      &ShowStatus },
    { "store jobs",
      "",
      "list the jobs",
      0,
      0,
      { store, { "state", "STATE", "only jobs in this state" } },
      &ListJobs },
    { "store job", "ID", "show what is recorded of one job", 1, 1, { store }, &ShowJob },
    { "store workers",
      "",
      "list the lifetimes of workers that may run tasks",
      0,
      0,
      { store },
      ListOf(
        &WorkerRows,
        { "worker", "born_unix_ms", "instance", "data_centre", "evacuated", "pool", "rack" }) },
    { "store tables",
      "",
      "list the queues of the tables in force",
      0,
      0,
      { store },
      ListOf(&QueueRows, { "queue", "host", "prefix", "pool", "priority" }) },
  };
}

} // namespace Ibisctl
