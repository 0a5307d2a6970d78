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
      WorkerDriver::Callbacks{ [] {}, [this](LifetimeStart aNext) { mNextLifetime = aNext; } });
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
