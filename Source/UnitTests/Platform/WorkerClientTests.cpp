#include <cmath>
#include <random>

#include <catch2/catch.hpp>

#include "Node/WorkerDriver.h"
#include "UnitTests/Node/FakeStore.h"
#include "UnitTests/Platform/WorkerServer.h"
#include "platform/WorkerClient.h"

using namespace NodeTests;
using namespace PlatformTests;
using Scheduling::LifetimeStart;
using Scheduling::OrderResult;

namespace {

/// A worker that has been up for a while, served over HTTP, and the agent's driver of its first
/// lifetime.
class WorkerFixture
{
public:
  WorkerFixture()
    : mWorker("w1")
    , mServer(mIo, mWorker)
    , mStore(mIo)
    , mStoreProxy(mStore, mProcess)
    , mContext{ mIo, mClock, mSettings, mTiming, mFormats, mStoreProxy, mCounters }
  {
    REQUIRE(mServer.isListening());
    mWorker.restart("w1", LifetimeStart{ 1 });
    mWorker.mClockOrigin -= 20s;
    mWorker.mMaxLease = 10s;
    mWorker.mTaskTime = 60s;
    Scheduling::WorkerView view;
    view.mLifetime = { Common::WorkerId("w1"), LifetimeStart{ 1 } };
    view.mAddress = mServer.address();
    mDriver = std::make_shared<WorkerDriver>(
      mContext,
      Platform::MakeWorkerClient(mIo, view.mAddress, view.mLifetime),
      view,
      WorkerDriver::Callbacks{
        [] {}, [this](LifetimeStart aNext) { mNextLifetime = aNext; }, [] {} });
    mDriver->setTerm(Common::Epoch{ 1 });
    mDriver->start();
    mDriver->extendLease(mContext.now(), mContext.now() + mTiming.mWorkerLease);
    REQUIRE(runUntil([this] { return !mWorker.leaseExpired(); }));
  }

  ~WorkerFixture() { mDriver->close(); }
  WorkerFixture(const WorkerFixture&) = delete;
  WorkerFixture& operator=(const WorkerFixture&) = delete;

  bool runUntil(const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + 2s;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      mIo.restart();
      mIo.run_for(1ms);
    }
    return aCondition();
  }

  static Scheduling::Order startOrder()
  {
    Scheduling::Order order;
    order.mKind = Scheduling::OrderKind::Start;
    order.mTask.mJob = Common::JobId("00000000000b0001");
    order.mRun = Scheduling::RunNumber{ 1 };
    return order;
  }

  boost::asio::io_context mIo;
  FakeWorker mWorker;
  WorkerServer mServer;
  ProcessLoop mProcess;
  FakeStore mStore;
  StoreProxy mStoreProxy;
  Common::SystemClock mClock;
  Settings mSettings;
  TimingConstants mTiming;
  Formats mFormats;
  Observability::Counters mCounters;
  Context mContext;
  std::shared_ptr<WorkerDriver> mDriver;
  /// The lifetime that the driver has found in place of its own.
  std::optional<LifetimeStart> mNextLifetime;
};

} // namespace

TEST_CASE("A worker's next lifetime takes nothing that was meant for the one before", "[Platform]")
{
  // A worker that started again under its id took its longest lease from an end on its earlier
  // clock. Its tasks ran on behind a cut for longer than the coordinator counted, and were started
  // elsewhere meanwhile.
  WorkerFixture fixture;
  FakeWorker& worker = fixture.mWorker;
  const auto agentFindsNextLifetime = [&] {
    return fixture.runUntil([&] { return fixture.mNextLifetime.has_value(); });
  };

  SECTION("no lease")
  {
    fixture.mServer.restart(LifetimeStart{ 2 });
    REQUIRE(agentFindsNextLifetime());
    REQUIRE(worker.mLeaseEnd == WorkerTime{ 0 });
  }

  SECTION("no acknowledgement of ends")
  {
    fixture.mDriver->acknowledgeEnds(Scheduling::EndNumber{ 57 });
    fixture.mServer.restart(LifetimeStart{ 2 });
    worker.mEnded.push_back({ Scheduling::EndNumber{ 1 },
                              WorkerFixture::startOrder().mTask,
                              Scheduling::RunNumber{ 1 },
                              Scheduling::EndKind::Done,
                              "" });
    REQUIRE(agentFindsNextLifetime());
    REQUIRE(worker.mEnded.size() == 1);
  }

  SECTION("no start")
  {
    std::optional<OrderResult> result;
    const auto order = [&](std::int64_t aRun) {
      Scheduling::Order start = WorkerFixture::startOrder();
      start.mRun = Scheduling::RunNumber{ aRun };
      result.reset();
      fixture.mDriver->executeOrder(start, "", [&](OrderResult aResult) { result = aResult; });
      REQUIRE(fixture.runUntil([&] { return result.has_value(); }));
    };
    order(1);
    REQUIRE(result == OrderResult::Done);
    // The restart closes the connection that the first order has left open.
    fixture.mServer.restart(LifetimeStart{ 2 });
    order(2);
    REQUIRE(result == OrderResult::LifetimeEnded);
    REQUIRE(worker.mStarts == 1);
    REQUIRE(worker.mLeaseEnd == WorkerTime{ 0 });
  }
}

namespace {

/// Workers that leave a share of all calls undone and unanswered, each with the agent's driver. The
/// coordinator grants leases to those that respond.
class LossyFleet
{
public:
  static constexpr int kWorkers = 25;

  LossyFleet(boost::asio::io_context& aIo, Context& aContext, double aShare, bool aCloses)
    : mContext(aContext)
  {
    for (int i = 0; i < kWorkers; ++i) {
      Member& member = *mMembers.emplace_back(std::make_unique<Member>(aIo, aShare, i));
      member.mServer.mClosesUnanswered = aCloses;
      Scheduling::WorkerView view;
      view.mLifetime = { Common::WorkerId("w1"), LifetimeStart{ 1 } };
      view.mAddress = member.mServer.address();
      member.mDriver = std::make_shared<WorkerDriver>(
        aContext,
        Platform::MakeWorkerClient(aIo, view.mAddress, view.mLifetime),
        view,
        WorkerDriver::Callbacks{ [] {}, [](LifetimeStart) {}, [] {} });
      member.mDriver->setTerm(Common::Epoch{ 1 });
      member.mDriver->start();
    }
  }

  ~LossyFleet()
  {
    for (const auto& member : mMembers) {
      member->mDriver->close();
    }
  }
  LossyFleet(const LossyFleet&) = delete;
  LossyFleet& operator=(const LossyFleet&) = delete;

  void grantLeases()
  {
    for (const auto& member : mMembers) {
      member->mDriver->extendLease(mContext.now(), mContext.now() + mContext.mTiming.mWorkerLease);
    }
  }

  /// Called at regular times.
  void countLapses()
  {
    for (const auto& member : mMembers) {
      const bool held = !member->mWorker.leaseExpired();
      mLapses += member->mHeldLease && !held ? 1 : 0;
      member->mHeldLease = held;
      mSamples += 1;
      mHeldSamples += held ? 1 : 0;
    }
  }

  int lapses() const { return mLapses; }
  double shareWithLease() const { return static_cast<double>(mHeldSamples) / mSamples; }

  int sum(int (WorkerServer::*aCount)() const) const
  {
    int sum = 0;
    for (const auto& member : mMembers) {
      sum += (member->mServer.*aCount)();
    }
    return sum;
  }

private:
  struct Member
  {
    Member(boost::asio::io_context& aIo, double aShare, int aSeed)
      : mWorker("w1")
      , mServer(aIo, mWorker)
      , mRandom(static_cast<unsigned>(aSeed))
      , mIsLost(aShare)
    {
      mWorker.restart("w1", LifetimeStart{ 1 });
      mServer.mHoldsPolls = true;
      mServer.mAnswers = [this] { return !mIsLost(mRandom); };
    }

    FakeWorker mWorker;
    WorkerServer mServer;
    std::mt19937 mRandom;
    std::bernoulli_distribution mIsLost;
    std::shared_ptr<WorkerDriver> mDriver;
    bool mHeldLease = false;
  };

  Context& mContext;
  std::vector<std::unique_ptr<Member>> mMembers;
  int mLapses = 0;
  int mSamples = 0;
  int mHeldSamples = 0;
};

} // namespace

TEST_CASE("Leases are renewed while workers leave calls unanswered", "[Platform]")
{
  // Each new connection began with a check that waited as long as the call. A renewal needed two
  // answers in a row, and the leases of sound runs ended (issue 33).
  constexpr std::chrono::seconds kTime{ 15 };
  constexpr double kWorkerSeconds = LossyFleet::kWorkers * 15.0;
  WorkerFixture fixture;
  struct Loss
  {
    double mShare;
    bool mCloses;
  };
  const std::vector<Loss> losses = {
    { 0.3, false }, { 0.6, false }, { 0.8, false }, { 0.8, true }
  };
  std::vector<std::unique_ptr<LossyFleet>> fleets;
  fleets.reserve(losses.size());
  for (const Loss& loss : losses) {
    fleets.push_back(
      std::make_unique<LossyFleet>(fixture.mIo, fixture.mContext, loss.mShare, loss.mCloses));
  }
  const auto start = std::chrono::steady_clock::now();
  auto nextGrant = start;
  while (std::chrono::steady_clock::now() < start + kTime) {
    fixture.mIo.restart();
    fixture.mIo.run_for(5ms);
    for (const auto& fleet : fleets) {
      fleet->countLapses();
    }
    if (std::chrono::steady_clock::now() >= nextGrant) {
      nextGrant += fixture.mTiming.mReportInterval;
      for (const auto& fleet : fleets) {
        fleet->grantLeases();
      }
    }
  }
  // A lease of 5 s gets at least eight tries at its renewal. Each needs two answers in a row, those
  // to the check of a connection and to the renewal. The first leases are granted within 0.5 s.
  constexpr double kTriesPerLease = 8;
  constexpr double kShareBeforeFirstLease = 0.5 / 15;
  const double leases =
    kWorkerSeconds / std::chrono::duration<double>(fixture.mTiming.mWorkerLease).count();
  // Five polls a second that fail, each on a new connection with a check, and 2.5 that are
  // answered.
  constexpr double kMaxConnections = 7.5;
  constexpr double kMaxCalls = 2 * kMaxConnections;
  for (std::size_t i = 0; i < losses.size(); ++i) {
    const double answered = 1 - losses[i].mShare;
    const double lapsing = std::pow(1 - answered * answered, kTriesPerLease);
    const double lapses = leases * lapsing;
    const double calls = fleets[i]->sum(&WorkerServer::calls) / kWorkerSeconds;
    const double connections = fleets[i]->sum(&WorkerServer::checks) / kWorkerSeconds;
    INFO("share " << losses[i].mShare << (losses[i].mCloses ? ", closed: " : ": ")
                  << fleets[i]->lapses() << " lapses, " << fleets[i]->shareWithLease()
                  << " of the time with a lease, " << calls << " calls, " << connections
                  << " connections a worker and second");
    CHECK(fleets[i]->lapses() <= lapses + 3 * std::sqrt(lapses));
    CHECK(fleets[i]->shareWithLease() >= 1 - lapsing - kShareBeforeFirstLease);
    CHECK(calls <= kMaxCalls);
    CHECK(connections <= kMaxConnections);
  }
  fleets.clear();
}

TEST_CASE("Renewals are counted for each worker", "[Platform]")
{
  WorkerFixture fixture;
  const auto count = [&](const char* aName) {
    return fixture.mCounters.counter(aName, "worker=\"w1\"").value();
  };
  REQUIRE(fixture.runUntil([&] { return count("ibis_worker_renewals_answered") >= 2; }));
  REQUIRE(count("ibis_worker_renewals_sent") >= count("ibis_worker_renewals_answered"));
  REQUIRE(count("ibis_worker_renewals_failed_at_check") == 0);
  REQUIRE(count("ibis_worker_least_lease_left_ms") > 0);
  REQUIRE(count("ibis_worker_least_lease_left_ms") <= 5'000);

  SECTION("also those that a silent worker does not get")
  {
    fixture.mServer.mAnswers = [] { return false; };
    REQUIRE(fixture.runUntil([&] { return count("ibis_worker_renewals_failed_at_check") >= 1; }));
    REQUIRE(count("ibis_worker_renewals_sent") > count("ibis_worker_renewals_answered"));
  }
}

TEST_CASE("A list of ends at the worker's limit may be cut", "[Platform]")
{
  // A run that was in neither list was taken as missing, although its end was one that the worker
  // did not list yet.
  WorkerFixture fixture;
  const auto listEnds = [&](std::size_t aCount) {
    for (std::size_t i = 1; i <= aCount; ++i) {
      fixture.mWorker.mEnded.push_back({ Scheduling::EndNumber{ static_cast<std::int64_t>(i) },
                                         WorkerFixture::startOrder().mTask,
                                         Scheduling::RunNumber{ 1 },
                                         Scheduling::EndKind::Done,
                                         "" });
    }
    const std::size_t listed = std::min<std::size_t>(aCount, 500);
    REQUIRE(fixture.runUntil([&] { return fixture.mDriver->view().mEnded.size() == listed; }));
  };

  SECTION("not one end below it")
  {
    listEnds(499);
    REQUIRE_FALSE(fixture.mDriver->view().mEndedListCut);
  }

  SECTION("at the limit")
  {
    listEnds(500);
    REQUIRE(fixture.mDriver->view().mEndedListCut);
  }

  SECTION("past the limit, until the first ends are acknowledged")
  {
    listEnds(501);
    REQUIRE(fixture.mDriver->view().mEndedListCut);
    fixture.mDriver->acknowledgeEnds(Scheduling::EndNumber{ 2 });
    REQUIRE(fixture.runUntil([&] { return fixture.mDriver->view().mEnded.size() == 499; }));
    REQUIRE_FALSE(fixture.mDriver->view().mEndedListCut);
  }
}
