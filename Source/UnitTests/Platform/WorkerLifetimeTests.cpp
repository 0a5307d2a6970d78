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
class RestartedWorkerFixture
{
public:
  RestartedWorkerFixture()
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

  ~RestartedWorkerFixture() { mDriver->close(); }
  RestartedWorkerFixture(const RestartedWorkerFixture&) = delete;
  RestartedWorkerFixture& operator=(const RestartedWorkerFixture&) = delete;

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
  RestartedWorkerFixture fixture;
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
                              RestartedWorkerFixture::startOrder().mTask,
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
      Scheduling::Order start = RestartedWorkerFixture::startOrder();
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
