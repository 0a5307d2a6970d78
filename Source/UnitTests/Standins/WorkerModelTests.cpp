#include <catch2/catch.hpp>

#include "Standins/WorkerModel.h"

using namespace std::chrono_literals;
using namespace Standins;
using Common::Timestamp;

namespace {

const Timestamp kStart{ 1h };

StartRequest
Task(const std::string& aId, std::int64_t aMilliCores, const std::string& aPayload)
{
  return { aId, 1, 10s, { Common::MilliCores(aMilliCores), Common::Bytes(1), {} }, aPayload, "" };
}

WorkerModel
SmallWorker()
{
  return { { { Common::MilliCores(4000), Common::Bytes(10), {} }, 3s }, kStart };
}

} // namespace

TEST_CASE("A worker runs tasks under leases", "[Standins]")
{
  WorkerModel worker = SmallWorker();
  REQUIRE(worker.start(Task("a", 3000, R"({"run_ms":15000})"), kStart));

  SECTION("it takes no task twice and none beyond its capacity")
  {
    REQUIRE(worker.start(Task("a", 100, ""), kStart).error() == WorkerError::AlreadyRuns);
    REQUIRE(worker.start(Task("b", 1001, ""), kStart).error() == WorkerError::DoesNotFit);
    REQUIRE(worker.start(Task("b", -5000, ""), kStart).error() == WorkerError::Invalid);
    REQUIRE(worker.start(Task("b", 1000, ""), kStart));
  }

  SECTION("a task whose lease is not renewed ends at the end of the lease")
  {
    REQUIRE(worker.tasks(kStart + 60s).front()->mState == SimState::Expired);
    REQUIRE(worker.tasks(kStart + 60s).front()->mEnded == kStart + 10s);
    REQUIRE(worker.renew("a", 1, 10s, kStart + 60s).error() == WorkerError::NotRunning);
  }

  SECTION("a renewed task finishes, and a renewal for another attempt is refused")
  {
    REQUIRE(worker.renew("a", 2, 10s, kStart + 9s).error() == WorkerError::NotRunning);
    REQUIRE(worker.renew("a", 1, 10s, kStart + 9s));
    REQUIRE(worker.tasks(kStart + 60s).front()->mState == SimState::Finished);
    REQUIRE(worker.audit(kStart + 60s).front().mEnded == kStart + 15s);
  }

  SECTION("a checkpoint carries the work done to the next attempt")
  {
    const auto checkpoint = worker.checkpoint("a", kStart + 6s);
    REQUIRE(worker.stop("a", kStart + 6s));
    StartRequest again = Task("a", 3000, R"({"run_ms":15000})");
    again.mAttempt = 2;
    again.mCheckpoint = *checkpoint;
    REQUIRE(worker.start(again, kStart + 7s));
    REQUIRE(worker.renew("a", 2, 10s, kStart + 8s));
    REQUIRE(worker.audit(kStart + 60s).back().mEnded == kStart + 16s);
  }

  SECTION("throttling slows the progress")
  {
    REQUIRE(worker.throttle("a", 50, kStart + 1s));
    worker.tasks(kStart + 9s);
    REQUIRE(worker.audit(kStart + 9s).front().mDone == 5s);
  }
}

TEST_CASE("Interference and usage show with a lag", "[Standins]")
{
  WorkerModel worker = SmallWorker();
  const std::string slowed = R"({"run_ms":8000,"slow_with":"render","uses_milli_cores":900})";
  REQUIRE(worker.start(Task("a", 500, slowed), kStart));
  REQUIRE(worker.start(Task("noise", 500, R"({"kind":"render","run_ms":4000})"), kStart));

  SECTION("the task is slow only while its neighbour runs")
  {
    REQUIRE(worker.renew("a", 1, 20s, kStart + 1s));
    REQUIRE(worker.audit(kStart + 60s).front().mEnded == kStart + 10s);
  }

  SECTION("the reported usage is seconds old")
  {
    REQUIRE(worker.usage(kStart + 2500ms).mTasks.empty());
    REQUIRE(worker.usage(kStart + 6500ms).mTasks.size() == 2);
    REQUIRE(worker.usage(kStart + 6500ms).mTasks.front().mProgressRate == Approx(0.5));
    REQUIRE(worker.usage(kStart + 6500ms).mTasks.front().mCores == Common::MilliCores(900));
    REQUIRE(worker.usage(kStart + 8500ms).mTasks.front().mProgressRate == Approx(1.0));
  }
}
