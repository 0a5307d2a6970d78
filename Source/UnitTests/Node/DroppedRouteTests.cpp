#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "TestCluster.h"

using namespace NodeTests;

namespace {

using RequestKind = JobRequest::Kind;
using ResponseKind = JobResponse::Kind;

/// Two entries, the first of which is the coordinator, a worker of the pool "pool", and callers of
/// the routes "quote" (/q/) and "render" (/r/).
class DroppedRouteFixture
{
public:
  DroppedRouteFixture()
  {
    mCluster.mStore.put("tables", "1 quote=pool render=pool");
    mCluster.addEntry("e1");
    REQUIRE(awaitCoordinator("e1"));
    mCluster.addEntry("e2");
    mWorker = &mCluster.addWorker("w1");
    REQUIRE(mCluster.runUntil([this] { return mWorker->mHighestTerm.value() > 0; }, 3s));
    mCluster.run(200ms);
  }

  /// Jobs submitted from now on have two steps of one task, the second after the first.
  void submitSteps()
  {
    Scheduling::StepSpec step;
    step.mNeed.mCores = Common::MilliCores{ 1000 };
    step.mEstimatedRunTime = 100ms;
    Scheduling::StepSpec second = step;
    second.mDependencies = { 0 };
    setSteps({ step, second });
  }

  /// Jobs submitted from now on have one long-running task.
  void submitLongRunning()
  {
    Scheduling::StepSpec step;
    step.mNeed.mCores = Common::MilliCores{ 1000 };
    step.mLongRunning = true;
    setSteps({ step });
  }

  /// Makes a request to an entry at which the given tables are in force.
  JobResponse call(RequestKind aKind, const std::string& aPath, const std::string& aTables)
  {
    TestCluster::Process& process = mCluster.mProcesses.at("e2");
    CoordinatorLink link(*process.mContext);
    const std::string coordinator = mCluster.coordinatorInstance();
    link.setAddress(mCluster.mProcesses.at(coordinator).mSettings.mPeerAddress);
    JobApi jobApi(*process.mContext, link);
    jobApi.setTables(std::make_shared<const QueueTables>(*mCluster.mFormats.mParseTables(aTables)));
    jobApi.setStoreConnected(true);
    mCluster.run(100ms);
    JobRequest request;
    request.mKind = aKind;
    request.mHost = "h";
    request.mPath = aPath;
    std::optional<JobResponse> response;
    jobApi.handleRequest(request, [&](const JobResponse& aResponse) { response = aResponse; });
    (void)mCluster.runUntil([&] { return response.has_value(); }, 4s);
    REQUIRE(response);
    return *response;
  }

  void submit(const std::string& aPath)
  {
    REQUIRE(call(RequestKind::Submit, aPath, "1 quote=pool render=pool").mKind ==
            ResponseKind::Accepted);
  }

  bool awaitStarts(int aStarts, std::chrono::milliseconds aTimeout = 4s)
  {
    return mCluster.runUntil([&] { return mWorker->mStarts >= aStarts; }, aTimeout);
  }

  bool awaitCoordinator(const std::string& aEntry)
  {
    return mCluster.runUntil([&] { return mCluster.coordinatorInstance() == aEntry; }, 4s);
  }

  void changeTables(const std::string& aTables)
  {
    mCluster.mStore.put("tables", aTables);
    mCluster.run(200ms);
  }

  void takeOver(const std::string& aFrom, const std::string& aTo)
  {
    mCluster.kill(aFrom);
    REQUIRE(awaitCoordinator(aTo));
  }

  bool awaitState(const std::string& aJob, Scheduling::JobState aState)
  {
    return mCluster.runUntil(
      [&] {
        const auto value = mCluster.mStore.value(ProgressKey(Common::JobId(aJob)));
        const auto record = value ? Wire::Decode<Wire::ProgressRecord>(*value) : std::nullopt;
        return record && record->state == static_cast<std::int32_t>(aState);
      },
      5s);
  }

  TestCluster mCluster;
  FakeWorker* mWorker = nullptr;

private:
  void setSteps(const std::vector<Scheduling::StepSpec>& aSteps)
  {
    mCluster.mFormats.mParseJob =
      [aSteps](const std::string&) -> tl::expected<Scheduling::JobSpec, std::string> {
      Scheduling::JobSpec job;
      job.mSteps = aSteps;
      return job;
    };
  }
};

constexpr const char* kWithoutQuote = "2 render=pool";

} // namespace

TEST_CASE("Accepted work of a dropped route goes on under the next coordinator", "[Node]")
{
  // Coordinators kept dropped routes in memory only, so that the next one never started another
  // task of their accepted jobs (review/1).
  DroppedRouteFixture fixture;
  fixture.mWorker->mTaskTime = 2500ms;

  SECTION("the next step starts")
  {
    fixture.submitSteps();
    fixture.submit("/q/a");
    REQUIRE(fixture.awaitStarts(1));
    fixture.changeTables(kWithoutQuote);
    fixture.takeOver("e1", "e2");
    fixture.mWorker->mTaskTime = 100ms;
    REQUIRE(fixture.awaitState("a", Scheduling::JobState::Completed));
    REQUIRE(fixture.mWorker->mStarts == 2);
  }

  SECTION("an ended long-running task starts again")
  {
    fixture.submitLongRunning();
    fixture.submit("/q/a");
    REQUIRE(fixture.awaitStarts(1));
    fixture.changeTables(kWithoutQuote);
    fixture.takeOver("e1", "e2");
    REQUIRE(fixture.awaitStarts(2, 6s));
  }

  SECTION("and under the one after that")
  {
    fixture.submitSteps();
    fixture.submit("/q/a");
    REQUIRE(fixture.awaitStarts(1));
    fixture.changeTables(kWithoutQuote);
    fixture.takeOver("e1", "e2");
    fixture.mCluster.addEntry("e3");
    fixture.mCluster.run(300ms);
    fixture.takeOver("e2", "e3");
    fixture.mWorker->mTaskTime = 100ms;
    REQUIRE(fixture.awaitState("a", Scheduling::JobState::Completed));
    REQUIRE(fixture.mWorker->mStarts == 2);
  }

  SECTION("also if an entry accepts it after the coordinator has seen the route go")
  {
    fixture.changeTables(kWithoutQuote);
    fixture.takeOver("e1", "e2");
    fixture.mWorker->mTaskTime = 100ms;
    fixture.submit("/q/a");
    REQUIRE(fixture.awaitState("a", Scheduling::JobState::Completed));
  }

  SECTION("on workers of its pool that come later")
  {
    fixture.submitLongRunning();
    fixture.submit("/q/a");
    REQUIRE(fixture.awaitStarts(1));
    fixture.changeTables(kWithoutQuote);
    fixture.mCluster.kill("agent-w1");
    fixture.mWorker->crash();
    fixture.takeOver("e1", "e2");
    fixture.mWorker = &fixture.mCluster.addWorker("w2");
    REQUIRE(fixture.awaitStarts(1, 15s));
  }
}

TEST_CASE("The values of a route that is there again hold for its accepted work", "[Node]")
{
  DroppedRouteFixture fixture;
  fixture.mWorker->mTaskTime = 1500ms;
  fixture.submitSteps();
  fixture.submit("/q/a");
  REQUIRE(fixture.awaitStarts(1));
  fixture.changeTables(kWithoutQuote);
  fixture.changeTables("3 quote=other render=pool");
  fixture.takeOver("e1", "e2");

  SECTION("its pool has no workers")
  {
    REQUIRE_FALSE(fixture.awaitStarts(2, 3s));
    fixture.changeTables("4 quote=pool render=pool");
    REQUIRE(fixture.awaitStarts(2));
  }

  SECTION("and those of the acceptance if it is dropped once more")
  {
    fixture.changeTables("4 render=pool");
    fixture.mCluster.addEntry("e3");
    fixture.mCluster.run(300ms);
    fixture.takeOver("e2", "e3");
    REQUIRE(fixture.awaitStarts(2));
  }
}

TEST_CASE("A job that an earlier version accepted is read without loss", "[Node]")
{
  DroppedRouteFixture fixture;
  Wire::JobRecord record;
  record.job = "a";
  record.queue = "quote";
  record.entry = "an-entry";
  Wire::StepSpec step;
  step.tasks = 1;
  step.milliCores = 1000;
  record.steps = { step };
  const std::string bytes = Wire::Encode(record);
  // The entry was the last field, and a struct ends with a zero byte.
  const std::string earlierBytes =
    bytes.substr(0, bytes.rfind(record.entry) + record.entry.size()) + '\0';
  REQUIRE(earlierBytes.size() < bytes.size());
  const auto submit = [&] {
    fixture.mCluster.mStore.put(SubmissionKey(Common::JobId("a")), earlierBytes);
  };

  SECTION("it runs while its route is in the tables")
  {
    submit();
    REQUIRE(fixture.awaitState("a", Scheduling::JobState::Completed));
  }

  SECTION("it waits until a dropped route is there again")
  {
    fixture.changeTables(kWithoutQuote);
    fixture.takeOver("e1", "e2");
    submit();
    REQUIRE_FALSE(fixture.awaitStarts(1, 2s));
    fixture.changeTables("3 quote=pool render=pool");
    REQUIRE(fixture.awaitState("a", Scheduling::JobState::Completed));
  }
}

TEST_CASE("Accepted work of a dropped route is shown, counted and cancelled", "[Node]")
{
  DroppedRouteFixture fixture;
  fixture.mWorker->mTaskTime = 60s;
  fixture.submitLongRunning();
  fixture.submit("/q/a");
  REQUIRE(fixture.awaitStarts(1));
  fixture.changeTables(kWithoutQuote);
  fixture.takeOver("e1", "e2");
  REQUIRE(fixture.mCluster.runUntil([&] { return fixture.mWorker->mHighestTerm.value() > 1; }, 3s));

  SECTION("its route is not found")
  {
    for (const RequestKind kind : { RequestKind::Show, RequestKind::Cancel }) {
      REQUIRE(fixture.call(kind, "/q/a", kWithoutQuote).mKind == ResponseKind::NoRoute);
    }
    REQUIRE(fixture.call(RequestKind::Show, "/q/", kWithoutQuote).mKind == ResponseKind::NoRoute);
  }

  SECTION("an entry that still has the route shows and counts it")
  {
    const JobResponse state = fixture.call(RequestKind::Show, "/q/a", "1");
    REQUIRE(state.mKind == ResponseKind::State);
    REQUIRE(state.mState == Scheduling::JobState::Running);
    const JobResponse pending = fixture.call(RequestKind::Show, "/q/", "1");
    REQUIRE(pending.mKind == ResponseKind::Pending);
    REQUIRE(pending.mPendingJobs == 0);
  }

  SECTION("a cancellation ends it")
  {
    const auto [path, tables] =
      GENERATE(table<const char*, const char*>({ { "/q/a", "1" }, { "/r/a", kWithoutQuote } }));
    REQUIRE(fixture.call(RequestKind::Cancel, path, tables).mKind == ResponseKind::Cancelled);
    REQUIRE(fixture.awaitState("a", Scheduling::JobState::Cancelled));
    REQUIRE(fixture.mCluster.runUntil([&] { return fixture.mWorker->mRunning.empty(); }, 3s));
    REQUIRE(fixture.mWorker->mStarts == 1);
  }
}
