#include <catch2/catch.hpp>

#include "Node/Keys.h"
#include "TestCluster.h"

using namespace NodeTests;

namespace {

/// A caller's fixture without a coordinator.
class JobApiFixture
{
public:
  JobApiFixture()
    : mStore(mIo)
    , mFormats(TestFormats())
    , mContext{ mIo, mClock, mSettings, mTimes, mFormats, mStore, mCounters }
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
    JobRequest call;
    call.mKind = aKind;
    call.mHost = "h";
    call.mPath = aPath;
    call.mTimeout = aTimeout;
    mAnswer.reset();
    mJobApi.handleRequest(call, [this](const JobResponse& aAnswer) { mAnswer = aAnswer; });
    mIo.restart();
    mIo.run_for(aRunTime);
    return mAnswer;
  }

  boost::asio::io_context mIo;
  FakeStore mStore;
  Formats mFormats;
  Common::SystemClock mClock;
  Settings mSettings;
  Times mTimes;
  Observability::Counters mCounters;
  Context mContext;
  CoordinatorLink mLink;
  JobApi mJobApi;
  std::optional<JobResponse> mAnswer;
};

using Kind = JobRequest::Kind;
using Answer = JobResponse::Kind;

} // namespace

TEST_CASE("A submission is accepted once it is stored", "[Node]")
{
  JobApiFixture fixture;
  REQUIRE(fixture.call(Kind::Submit, "/q/a")->mKind == Answer::Accepted);
  REQUIRE(fixture.mStore.contains(SubmissionKey(Common::JobId("a"))));

  SECTION("a repeated submission of the same id is accepted")
  {
    REQUIRE(fixture.call(Kind::Submit, "/q/a")->mKind == Answer::Accepted);
  }
  SECTION("its state is shown without a coordinator")
  {
    REQUIRE(fixture.call(Kind::Show, "/q/a")->mKind == Answer::State);
  }
  SECTION("it can be cancelled repeatedly")
  {
    REQUIRE(fixture.call(Kind::Cancel, "/q/a")->mKind == Answer::Cancelled);
    REQUIRE(fixture.call(Kind::Cancel, "/q/a")->mKind == Answer::Cancelled);
  }
}

TEST_CASE("A cancellation that arrives before its submission rejects it", "[Node]")
{
  JobApiFixture fixture;
  REQUIRE(fixture.call(Kind::Cancel, "/q/a")->mKind == Answer::UnknownJob);
  REQUIRE(fixture.call(Kind::Submit, "/q/a")->mKind == Answer::UnknownJob);
  REQUIRE_FALSE(fixture.mStore.contains(SubmissionKey(Common::JobId("a"))));
}

TEST_CASE("Unknown routes, invalid ids and unknown jobs get different answers", "[Node]")
{
  JobApiFixture fixture;
  REQUIRE(fixture.call(Kind::Submit, "/other/a")->mKind == Answer::NoRoute);
  REQUIRE(fixture.call(Kind::Submit, "/q/")->mKind == Answer::Invalid);
  REQUIRE(fixture.call(Kind::Show, "/q/b")->mKind == Answer::UnknownJob);
  REQUIRE(fixture.call(Kind::Unsupported, "/q/b")->mKind == Answer::NotAllowed);
  fixture.mJobApi.setTables(nullptr);
  REQUIRE(fixture.call(Kind::Submit, "/q/a")->mKind == Answer::Unavailable);
}

TEST_CASE("A submission is rejected only if the job will not run", "[Node]")
{
  JobApiFixture fixture;

  SECTION("the store rejects calls: unavailable, and nothing is stored")
  {
    fixture.mStore.mMode = FakeStore::Mode::Refusing;
    const auto answer = fixture.call(Kind::Submit, "/q/a", 3s, 1200ms);
    REQUIRE(answer->mKind == Answer::Unavailable);
    REQUIRE(answer->mRetryAfter > Duration{ 0 });
    REQUIRE_FALSE(fixture.mStore.contains(SubmissionKey(Common::JobId("a"))));
  }

  SECTION("the store is known not to answer: unavailable at once")
  {
    fixture.mJobApi.setStoreConnected(false);
    REQUIRE(fixture.call(Kind::Submit, "/q/a", 3s, 20ms)->mKind == Answer::Unavailable);
  }

  SECTION("the store's answer is lost: the write is repeated")
  {
    fixture.mStore.mMode = FakeStore::Mode::LosingAnswers;
    REQUIRE_FALSE(fixture.call(Kind::Submit, "/q/a", 3s, 300ms));
    fixture.mStore.mMode = FakeStore::Mode::Normal;
    fixture.mIo.restart();
    fixture.mIo.run_for(1200ms);
    REQUIRE(fixture.mAnswer->mKind == Answer::Accepted);
  }

  SECTION("a write may still take effect: undecided, not unavailable")
  {
    fixture.mStore.mMode = FakeStore::Mode::DelayingWrites;
    const auto answer = fixture.call(Kind::Submit, "/q/a", 1500ms, 1800ms);
    REQUIRE(answer->mKind == Answer::Undecided);
    fixture.mStore.applyDelayedWrites();
    fixture.mStore.mMode = FakeStore::Mode::Normal;
    REQUIRE(fixture.call(Kind::Submit, "/q/a")->mKind == Answer::Accepted);
  }
}

TEST_CASE("No job is reported as unknown while the store is unavailable", "[Node]")
{
  JobApiFixture fixture;
  fixture.mStore.mMode = FakeStore::Mode::Refusing;
  REQUIRE(fixture.call(Kind::Show, "/q/a")->mKind == Answer::Unavailable);
  REQUIRE(fixture.call(Kind::Cancel, "/q/a")->mKind == Answer::Unavailable);
}
