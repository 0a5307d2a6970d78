#include <sstream>

#include <catch2/catch.hpp>

#include "Ibisctl/Run.h"
#include "Node/StoreKeys.h"
#include "StoreServer.h"
#include "Wire/Codec.h"

using Platform::Json;
using PlatformTests::StoreServer;

namespace {

const Common::JobId kCompletedJob("00000000000000d0");
const Common::JobId kRunningJob("00000000000000f0");
const Common::JobId kCancelledJob("00000000000000c0");

std::string
EncodedJobRecord(const Common::JobId& aJob)
{
  Wire::JobRecord record;
  record.job = aJob.str();
  record.queue = "quotes";
  record.acceptedUnixMs = 1'700'000'000'000;
  Wire::StepSpec step;
  step.tasks = 4;
  step.milliCores = 500;
  record.steps = { step };
  return Wire::Encode(record);
}

std::string
EncodedProgress(std::int32_t aState)
{
  Wire::ProgressRecord record;
  record.state = aState;
  Wire::TaskProgress task;
  task.index = 2;
  task.failedRuns = { 1 };
  Wire::StepProgress step;
  step.tasks = { task };
  record.steps = { step };
  return Wire::Encode(record);
}

std::string
EncodedCoordinator()
{
  Wire::CoordinatorRecord record;
  record.term = 3;
  record.instance = "edge-1";
  record.address = "10.0.0.1:7720";
  return Wire::Encode(record);
}

std::string
EncodedWorker()
{
  Wire::WorkerRecord record;
  record.view.worker = "i-1";
  record.view.born = 1'700'000'000'000;
  record.instance = "side-1";
  record.dataCentre = "north";
  return Wire::Encode(record);
}

std::map<std::string, std::string>
DeploymentEntries()
{
  return { { Node::kCoordinatorKey, EncodedCoordinator() },
           { Node::kTermKey, EncodedCoordinator() },
           { Node::SubmissionKey(kCompletedJob), EncodedJobRecord(kCompletedJob) },
           { Node::ProgressKey(kCompletedJob), EncodedProgress(2) },
           { Node::SubmissionKey(kRunningJob), EncodedJobRecord(kRunningJob) },
           { Node::ProgressKey(kRunningJob), EncodedProgress(1) },
           { Node::SubmissionKey(kCancelledJob), EncodedJobRecord(kCancelledJob) },
           { Node::CancelKey(kCancelledJob), Wire::Encode(Wire::CancelRecord{}) },
           { Node::kWorkerPrefix + "i-1/1", EncodedWorker() },
           { Node::kJobPrefix + "strange", "bytes" },
           { "op/config",
             R"({"version":7,"routes":[{"name":"quotes","host":"a.example","prefix":"/q/",)"
             R"("service":"s1"}]})" } };
}

struct CommandResult
{
  int mExitCode = 0;
  std::string mOutput;
  std::string mError;
};

CommandResult
RunIbisctl(const std::string& aStore, std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.end(), { "--store", aStore, "--timeout-ms", "2000" });
  std::ostringstream out;
  std::ostringstream error;
  const int exitCode = Ibisctl::Run(aArguments, out, error);
  return { exitCode, out.str(), error.str() };
}

Json
RunIbisctlForJson(const std::string& aStore, std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.end(), { "--output", "json" });
  const CommandResult result = RunIbisctl(aStore, std::move(aArguments));
  INFO(result.mError);
  REQUIRE(result.mExitCode == 0);
  return Json::parse(result.mOutput);
}

} // namespace

TEST_CASE("ibisctl shows a deployment from its store", "[Platform]")
{
  StoreServer store(DeploymentEntries());
  REQUIRE(store.isListening());

  SECTION("the status names the coordinator and counts jobs by state")
  {
    const Json status = RunIbisctlForJson(store.address(), { "store", "status" });
    REQUIRE(status["coordinator"] == "edge-1");
    REQUIRE(status["term"] == 3);
    REQUIRE(status["tables_revision"] == 7);
    REQUIRE(status["workers"] == 1);
    REQUIRE(status["jobs_completed"] == 1);
    REQUIRE(status["jobs_running"] == 1);
    REQUIRE(status["jobs_cancelling"] == 1);

    SECTION("and lists the entries that cannot be decoded")
    {
      REQUIRE(status["unreadable"] == Json::array({ Node::kJobPrefix + "strange" }));
    }
  }

  SECTION("jobs are listed across several pages and filtered by state")
  {
    REQUIRE(RunIbisctlForJson(store.address(), { "store", "jobs" }).size() == 3);
    const Json running =
      RunIbisctlForJson(store.address(), { "store", "jobs", "--state", "running" });
    REQUIRE(running.size() == 1);
    REQUIRE(running[0]["job"] == kRunningJob.str());
    REQUIRE(running[0]["steps"] == "4x500m");
  }

  SECTION("a job is shown with its failed runs")
  {
    const Json job = RunIbisctlForJson(store.address(), { "store", "job", kRunningJob.str() });
    REQUIRE(job["tasks"][0]["task"] == "0.0.2");
    REQUIRE(job["tasks"][0]["failed_runs"] == Json::array({ 1 }));
    REQUIRE(RunIbisctl(store.address(), { "store", "job", "ffffffffffffffff" }).mExitCode == 1);
  }

  SECTION("nothing is evacuated")
  {
    const Json status = RunIbisctlForJson(store.address(), { "store", "status" });
    REQUIRE(status["evacuated"] == Json::array());
    REQUIRE(status["workers_evacuated"] == 0);
    REQUIRE(RunIbisctlForJson(store.address(), { "store", "workers" })[0]["evacuated"] == false);
  }

  SECTION("workers and queues are listed")
  {
    REQUIRE(RunIbisctlForJson(store.address(), { "store", "workers" })[0]["instance"] == "side-1");
    REQUIRE(RunIbisctlForJson(store.address(), { "store", "tables" })[0]["prefix"] == "/q/");
  }
}

TEST_CASE("ibisctl shows the evacuated data centres and their workers", "[Platform]")
{
  auto entries = DeploymentEntries();
  entries["op/evacuate/north"] = "{}";
  entries["op/evacuate/south"] = "unreadable";
  entries["op/evacuate/"] = "{}";
  StoreServer store(entries);
  const Json status = RunIbisctlForJson(store.address(), { "store", "status" });
  REQUIRE(status["evacuated"] == Json::array({ "north", "south" }));
  REQUIRE(status["workers_evacuated"] == 1);
  REQUIRE(RunIbisctlForJson(store.address(), { "store", "workers" })[0]["evacuated"] == true);
}

TEST_CASE("ibisctl distinguishes an unreachable store from an empty one", "[Platform]")
{
  SECTION("an empty store has no coordinator")
  {
    StoreServer store({});
    const CommandResult result = RunIbisctl(store.address(), { "store", "status" });
    REQUIRE(result.mExitCode == 1);
    REQUIRE(result.mOutput.find("term") != std::string::npos);
  }
  SECTION("an unreachable store has an exit code of its own")
  {
    boost::asio::io_context io;
    const CommandResult result = RunIbisctl(TestSupport::FreeAddress(io), { "store", "status" });
    REQUIRE(result.mExitCode == 3);
    REQUIRE(result.mError.find("the store does not answer") != std::string::npos);
  }
  SECTION("a malformed address is a usage error")
  {
    REQUIRE(RunIbisctl("nowhere", { "store", "jobs" }).mExitCode == 2);
  }
}
