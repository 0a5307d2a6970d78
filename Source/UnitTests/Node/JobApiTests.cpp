#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "Node/WireConversion.h"
#include "TestCluster.h"

using namespace NodeTests;

namespace {

/// A job API with a fake store and without a coordinator.
class JobApiFixture
{
public:
  JobApiFixture()
    : mStore(mIo)
    , mFormats(TestFormats())
    , mContext{ mIo, mClock, mSettings, mTiming, mFormats, mStore, mCounters }
    , mLink(mContext)
    , mJobApi(mContext, mLink)
  {
    mJobApi.setTables(std::make_shared<const QueueTables>(*mFormats.mParseTables("1")));
    mJobApi.setStoreConnected(true);
  }

  std::optional<JobResponse> call(JobRequest::Kind aKind,
                                  const std::string& aPath,
                                  std::chrono::milliseconds aTimeout = 3s,
                                  std::chrono::milliseconds aRunTime = 200ms)
  {
    JobRequest request;
    request.mKind = aKind;
    request.mHost = "h";
    request.mPath = aPath;
    request.mTimeout = aTimeout;
    mResponse.reset();
    mJobApi.handleRequest(request, [this](const JobResponse& aResponse) { mResponse = aResponse; });
    mIo.restart();
    mIo.run_for(aRunTime);
    return mResponse;
  }

  boost::asio::io_context mIo;
  FakeStore mStore;
  Formats mFormats;
  Common::SystemClock mClock;
  Settings mSettings;
  TimingConstants mTiming;
  Observability::Counters mCounters;
  Context mContext;
  CoordinatorLink mLink;
  JobApi mJobApi;
  std::optional<JobResponse> mResponse;
};

using RequestKind = JobRequest::Kind;
using ResponseKind = JobResponse::Kind;

} // namespace

TEST_CASE("A submission is accepted once it is stored", "[Node][Submissions]")
{
  JobApiFixture fixture;
  REQUIRE(fixture.call(RequestKind::Submit, "/q/a")->mKind == ResponseKind::Accepted);
  REQUIRE(fixture.mStore.contains(SubmissionKey(Common::JobId("a"))));

  SECTION("a repeated submission of the same id is accepted")
  {
    REQUIRE(fixture.call(RequestKind::Submit, "/q/a")->mKind == ResponseKind::Accepted);
  }
  SECTION("its state is shown without a coordinator")
  {
    REQUIRE(fixture.call(RequestKind::Show, "/q/a")->mKind == ResponseKind::State);
  }
  SECTION("it can be cancelled repeatedly")
  {
    REQUIRE(fixture.call(RequestKind::Cancel, "/q/a")->mKind == ResponseKind::Cancelled);
    REQUIRE(fixture.call(RequestKind::Cancel, "/q/a")->mKind == ResponseKind::Cancelled);
  }
}

TEST_CASE("The record of a submission contains its queue", "[Node][Submissions]")
{
  JobApiFixture fixture;
  QueueTables tables = *fixture.mFormats.mParseTables("1");
  Scheduling::QueueSpec& queue = tables.mRoutes[0].mQueue;
  queue.mPriority = 2;
  queue.mMaxAttempts = 4;
  queue.mStretchFactor = 1.75;
  queue.mSlack = 600ms;
  const bool needsTicket = GENERATE(false, true);
  if (needsTicket) {
    queue.mAdvice = Scheduling::AdviceTimes{ 7500us, 250us, 8s };
  }
  fixture.mJobApi.setTables(std::make_shared<const QueueTables>(tables));
  REQUIRE(fixture.call(RequestKind::Submit, "/q/a")->mKind == ResponseKind::Accepted);
  const auto record =
    Wire::Decode<Wire::JobRecord>(*fixture.mStore.value(SubmissionKey(Common::JobId("a"))));
  REQUIRE(record);
  const auto accepted = FromRecord(*record).mAcceptedQueue;
  REQUIRE(accepted);
  REQUIRE(accepted->mName == queue.mName);
  REQUIRE(accepted->mPool == queue.mPool);
  REQUIRE(accepted->mPriority == 2);
  REQUIRE(accepted->mMaxAttempts == 4);
  REQUIRE(accepted->mStretchFactor == 1.75);
  REQUIRE(accepted->mSlack == 600ms);
  REQUIRE(accepted->mAdvice.has_value() == needsTicket);
  if (needsTicket) {
    REQUIRE(accepted->mAdvice->mDecisionTime == 7500us);
    REQUIRE(accepted->mAdvice->mTimePerWorker == 250us);
    REQUIRE(accepted->mAdvice->mTicketLifetime == 8s);
  }
}

TEST_CASE("A cancellation that arrives before its submission rejects it", "[Node][Submissions]")
{
  JobApiFixture fixture;
  REQUIRE(fixture.call(RequestKind::Cancel, "/q/a")->mKind == ResponseKind::UnknownJob);
  REQUIRE(fixture.call(RequestKind::Submit, "/q/a")->mKind == ResponseKind::UnknownJob);
  REQUIRE_FALSE(fixture.mStore.contains(SubmissionKey(Common::JobId("a"))));
}

TEST_CASE("Unknown routes, invalid ids and unknown jobs get different answers",
          "[Node][Submissions]")
{
  JobApiFixture fixture;
  REQUIRE(fixture.call(RequestKind::Submit, "/other/a")->mKind == ResponseKind::NoRoute);
  REQUIRE(fixture.call(RequestKind::Submit, "/q/")->mKind == ResponseKind::Invalid);
  REQUIRE(fixture.call(RequestKind::Show, "/q/b")->mKind == ResponseKind::UnknownJob);
  REQUIRE(fixture.call(RequestKind::Unsupported, "/q/b")->mKind == ResponseKind::NotAllowed);
  fixture.mJobApi.setTables(nullptr);
  REQUIRE(fixture.call(RequestKind::Submit, "/q/a")->mKind == ResponseKind::Unavailable);
}

TEST_CASE("A submission is rejected only if the job will not run", "[Node][Submissions]")
{
  JobApiFixture fixture;

  SECTION("the store rejects calls: unavailable, and nothing is stored")
  {
    fixture.mStore.mMode = FakeStore::Mode::Rejecting;
    const auto response = fixture.call(RequestKind::Submit, "/q/a", 3s, 1200ms);
    REQUIRE(response->mKind == ResponseKind::Unavailable);
    REQUIRE(response->mRetryAfter > Duration{ 0 });
    REQUIRE_FALSE(fixture.mStore.contains(SubmissionKey(Common::JobId("a"))));
  }

  SECTION("the store is known not to answer: unavailable at once")
  {
    fixture.mJobApi.setStoreConnected(false);
    REQUIRE(fixture.call(RequestKind::Submit, "/q/a", 3s, 20ms)->mKind ==
            ResponseKind::Unavailable);
  }

  SECTION("the store's answer is lost: the write is repeated")
  {
    fixture.mStore.mMode = FakeStore::Mode::LosingAnswers;
    REQUIRE_FALSE(fixture.call(RequestKind::Submit, "/q/a", 3s, 300ms));
    fixture.mStore.mMode = FakeStore::Mode::Normal;
    fixture.mIo.restart();
    fixture.mIo.run_for(1200ms);
    REQUIRE(fixture.mResponse->mKind == ResponseKind::Accepted);
  }

  SECTION("a write may still take effect: undecided, not unavailable")
  {
    fixture.mStore.mMode = FakeStore::Mode::DelayingWrites;
    const auto response = fixture.call(RequestKind::Submit, "/q/a", 1500ms, 1800ms);
    REQUIRE(response->mKind == ResponseKind::Undecided);
    fixture.mStore.applyDelayedWrites();
    fixture.mStore.mMode = FakeStore::Mode::Normal;
    REQUIRE(fixture.call(RequestKind::Submit, "/q/a")->mKind == ResponseKind::Accepted);
  }
}

TEST_CASE("No job is reported as unknown while the store is unavailable", "[Node][Submissions]")
{
  JobApiFixture fixture;
  fixture.mStore.mMode = FakeStore::Mode::Rejecting;
  REQUIRE(fixture.call(RequestKind::Show, "/q/a")->mKind == ResponseKind::Unavailable);
  REQUIRE(fixture.call(RequestKind::Cancel, "/q/a")->mKind == ResponseKind::Unavailable);
}

TEST_CASE("A stopping process answers its open requests", "[Node][Submissions]")
{
  JobApiFixture fixture;
  const auto stop = [&] {
    fixture.mJobApi.rejectNewRequests(fixture.mContext.now() + 50ms);
    fixture.mIo.restart();
    fixture.mIo.run_for(100ms);
    return fixture.mResponse;
  };
  const std::string key = SubmissionKey(Common::JobId("a"));

  SECTION("undecided if a write may still take effect")
  {
    fixture.mStore.mMode = FakeStore::Mode::DelayingWrites;
    const auto kind = GENERATE(RequestKind::Submit, RequestKind::Cancel);
    REQUIRE_FALSE(fixture.call(kind, "/q/a"));
    REQUIRE(stop()->mKind == ResponseKind::Undecided);
  }

  SECTION("undecided if an earlier write may still take effect and the last one was rejected")
  {
    fixture.mStore.mMode = FakeStore::Mode::LosingAnswers;
    REQUIRE_FALSE(fixture.call(RequestKind::Submit, "/q/a", 3s, 800ms));
    fixture.mStore.mMode = FakeStore::Mode::Rejecting;
    fixture.mIo.restart();
    fixture.mIo.run_for(400ms);
    REQUIRE_FALSE(fixture.mResponse);
    REQUIRE(stop()->mKind == ResponseKind::Undecided);
  }

  SECTION("unavailable if the store rejects the writes, and none is made afterwards")
  {
    // The answer is due between two attempts.
    fixture.mStore.mMode = FakeStore::Mode::Rejecting;
    REQUIRE_FALSE(fixture.call(RequestKind::Submit, "/q/a", 3s, 20ms));
    REQUIRE(stop()->mKind == ResponseKind::Unavailable);
    fixture.mStore.mMode = FakeStore::Mode::Normal;
    fixture.mIo.restart();
    fixture.mIo.run_for(400ms);
    REQUIRE_FALSE(fixture.mStore.contains(key));
  }

  SECTION("unavailable for a query that the store does not answer")
  {
    fixture.mStore.mMode = FakeStore::Mode::Silent;
    REQUIRE_FALSE(fixture.call(RequestKind::Show, "/q/a"));
    REQUIRE(stop()->mKind == ResponseKind::Unavailable);
  }

  SECTION("as usual if the store answers in time")
  {
    fixture.call(RequestKind::Submit, "/q/a", 3s, 0ms);
    REQUIRE_FALSE(fixture.mResponse);
    REQUIRE(stop()->mKind == ResponseKind::Accepted);
  }

  SECTION("and rejects new ones without a call to the store")
  {
    stop();
    REQUIRE(fixture.call(RequestKind::Submit, "/q/a")->mKind == ResponseKind::Unavailable);
    REQUIRE(fixture.call(RequestKind::Cancel, "/q/a")->mKind == ResponseKind::Unavailable);
    REQUIRE(fixture.mStore.mCalls == 0);
  }
}
