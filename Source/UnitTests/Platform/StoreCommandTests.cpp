#include <sstream>

#include <catch2/catch.hpp>

#include "Ibisctl/Run.h"
#include "Node/StoreKeys.h"
#include "StoreServer.h"
#include "Wire/Codec.h"

using Platform::Json;
using PlatformTests::StoreServer;

namespace {

const Common::JobId kDoneJob("00000000000000d0");
const Common::JobId kOpenJob("00000000000000f0");
const Common::JobId kCancelledJob("00000000000000c0");

std::string
Submission(const Common::JobId& aJob)
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
Progress(std::int32_t aState)
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
Coordinator()
{
  Wire::CoordinatorRecord record;
  record.term = 3;
  record.instance = "edge-1";
  record.address = "10.0.0.1:7720";
  return Wire::Encode(record);
}

std::string
Worker()
{
  Wire::WorkerRecord record;
  record.view.worker = "i-1";
  record.view.born = 1'700'000'000'000;
  record.instance = "side-1";
  return Wire::Encode(record);
}

std::map<std::string, std::string>
Deployment()
{
  return { { Node::kCoordinatorKey, Coordinator() },
           { Node::kTermKey, Coordinator() },
           { Node::SubmissionKey(kDoneJob), Submission(kDoneJob) },
           { Node::ProgressKey(kDoneJob), Progress(2) },
           { Node::SubmissionKey(kOpenJob), Submission(kOpenJob) },
           { Node::ProgressKey(kOpenJob), Progress(1) },
           { Node::SubmissionKey(kCancelledJob), Submission(kCancelledJob) },
           { Node::CancelKey(kCancelledJob), Wire::Encode(Wire::CancelRecord{}) },
           { Node::kWorkerPrefix + "i-1/1", Worker() },
           { Node::kJobPrefix + "strange", "bytes" },
           { "op/config",
             R"({"version":7,"routes":[{"name":"quotes","host":"a.example","prefix":"/q/",)"
             R"("service":"s1"}]})" } };
}

struct Outcome
{
  int mCode = 0;
  std::string mOut;
  std::string mError;
};

Outcome
RunIbisctl(const std::string& aStore, std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.end(), { "--store", aStore, "--timeout-ms", "2000" });
  std::ostringstream out;
  std::ostringstream error;
  const int code = Ibisctl::Run(aArguments, out, error);
  return { code, out.str(), error.str() };
}

Json
JsonOf(const std::string& aStore, std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.end(), { "--output", "json" });
  const Outcome outcome = RunIbisctl(aStore, std::move(aArguments));
  INFO(outcome.mError);
  REQUIRE(outcome.mCode == 0);
  return Json::parse(outcome.mOut);
}

} // namespace

TEST_CASE("Operators read a deployment from its store", "[Platform]")
{
  StoreServer store(Deployment());
  REQUIRE(store.isListening());

  SECTION("its status names the coordinator and counts jobs by state")
  {
    const Json status = JsonOf(store.address(), { "store", "status" });
    REQUIRE(status["coordinator"] == "edge-1");
    REQUIRE(status["term"] == 3);
    REQUIRE(status["tables_revision"] == 7);
    REQUIRE(status["workers"] == 1);
    REQUIRE(status["jobs_completed"] == 1);
    REQUIRE(status["jobs_running"] == 1);
    REQUIRE(status["jobs_cancelling"] == 1);

    SECTION("and the entries that cannot be read")
    {
      REQUIRE(status["unreadable"] == Json::array({ Node::kJobPrefix + "strange" }));
    }
  }

  SECTION("jobs are listed over several pages, also by state")
  {
    REQUIRE(JsonOf(store.address(), { "store", "jobs" }).size() == 3);
    const Json running = JsonOf(store.address(), { "store", "jobs", "--state", "running" });
    REQUIRE(running.size() == 1);
    REQUIRE(running[0]["job"] == kOpenJob.str());
    REQUIRE(running[0]["steps"] == "4x500m");
  }

  SECTION("one job shows its failed runs")
  {
    const Json job = JsonOf(store.address(), { "store", "job", kOpenJob.str() });
    REQUIRE(job["tasks"][0]["task"] == "0.0.2");
    REQUIRE(job["tasks"][0]["failed_runs"] == Json::array({ 1 }));
    REQUIRE(RunIbisctl(store.address(), { "store", "job", "ffffffffffffffff" }).mCode == 1);
  }

  SECTION("workers and queues are listed")
  {
    REQUIRE(JsonOf(store.address(), { "store", "workers" })[0]["instance"] == "side-1");
    REQUIRE(JsonOf(store.address(), { "store", "tables" })[0]["prefix"] == "/q/");
  }
}

TEST_CASE("A store that cannot be read is told from an empty one", "[Platform]")
{
  SECTION("an empty one has no coordinator")
  {
    StoreServer store({});
    const Outcome outcome = RunIbisctl(store.address(), { "store", "status" });
    REQUIRE(outcome.mCode == 1);
    REQUIRE(outcome.mOut.find("term") != std::string::npos);
  }
  SECTION("one that does not answer is an error of its own")
  {
    boost::asio::io_context io;
    const Outcome outcome = RunIbisctl(TestSupport::FreeAddress(io), { "store", "status" });
    REQUIRE(outcome.mCode == 3);
    REQUIRE(outcome.mError.find("the store does not answer") != std::string::npos);
  }
  SECTION("an address that cannot be one is a usage error")
  {
    REQUIRE(RunIbisctl("nowhere", { "store", "jobs" }).mCode == 2);
  }
}
