#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "World.h"

using namespace NodeTests;

namespace {

/// A caller's desk without a coordinator.
class Desk
{
public:
  Desk()
    : mStore(mIo)
    , mFormats(TestFormats())
    , mContext{ mIo, mClock, mSettings, mTiming, mFormats, mStore, mCounters }
    , mLink(mContext)
    , mDesk(mContext, mLink)
  {
    mDesk.takeTables(std::make_shared<const QueueTables>(*mFormats.mReadTables("1")));
    mDesk.setStoreConnected(true);
  }

  std::optional<CallerAnswer> call(CallerCall::Kind aKind,
                                   const std::string& aPath,
                                   std::chrono::milliseconds aPatience = 3s,
                                   std::chrono::milliseconds aRun = 200ms)
  {
    CallerCall call;
    call.mKind = aKind;
    call.mHost = "h";
    call.mPath = aPath;
    call.mPatience = aPatience;
    mAnswer.reset();
    mDesk.answer(call, [this](const CallerAnswer& aAnswer) { mAnswer = aAnswer; });
    mIo.restart();
    mIo.run_for(aRun);
    return mAnswer;
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
  CallerDesk mDesk;
  std::optional<CallerAnswer> mAnswer;
};

using Kind = CallerCall::Kind;
using Answer = CallerAnswer::Kind;

} // namespace

TEST_CASE("A submission is accepted once it is stored", "[Node]")
{
  Desk desk;
  REQUIRE(desk.call(Kind::Submit, "/q/a")->mKind == Answer::Accepted);
  REQUIRE(desk.mStore.contains(SubmissionKey(Common::JobId("a"))));

  SECTION("and again for the same id")
  {
    REQUIRE(desk.call(Kind::Submit, "/q/a")->mKind == Answer::Accepted);
  }
  SECTION("its state is shown without a coordinator")
  {
    REQUIRE(desk.call(Kind::Show, "/q/a")->mKind == Answer::State);
  }
  SECTION("it can be cancelled, also twice")
  {
    REQUIRE(desk.call(Kind::Cancel, "/q/a")->mKind == Answer::Cancelled);
    REQUIRE(desk.call(Kind::Cancel, "/q/a")->mKind == Answer::Cancelled);
  }
}

TEST_CASE("A cancel that overtakes its submission keeps it out", "[Node]")
{
  Desk desk;
  REQUIRE(desk.call(Kind::Cancel, "/q/a")->mKind == Answer::Unknown);
  REQUIRE(desk.call(Kind::Submit, "/q/a")->mKind == Answer::Unknown);
  REQUIRE_FALSE(desk.mStore.contains(SubmissionKey(Common::JobId("a"))));
}

TEST_CASE("Unknown routes, ids and jobs are told apart", "[Node]")
{
  Desk desk;
  REQUIRE(desk.call(Kind::Submit, "/other/a")->mKind == Answer::NoRoute);
  REQUIRE(desk.call(Kind::Submit, "/q/")->mKind == Answer::Invalid);
  REQUIRE(desk.call(Kind::Show, "/q/b")->mKind == Answer::Unknown);
  REQUIRE(desk.call(Kind::Other, "/q/b")->mKind == Answer::NotAllowed);
  desk.mDesk.takeTables(nullptr);
  REQUIRE(desk.call(Kind::Submit, "/q/a")->mKind == Answer::Unavailable);
}

TEST_CASE("A refusal is only given when the job cannot run", "[Node]")
{
  Desk desk;

  SECTION("a store that turns calls away: refused, and nothing is stored")
  {
    desk.mStore.mMode = FakeStore::Mode::Refusing;
    const auto answer = desk.call(Kind::Submit, "/q/a", 3s, 1200ms);
    REQUIRE(answer->mKind == Answer::Unavailable);
    REQUIRE(answer->mRetryAfter > Duration{ 0 });
    REQUIRE_FALSE(desk.mStore.contains(SubmissionKey(Common::JobId("a"))));
  }

  SECTION("a store known not to answer: refused at once")
  {
    desk.mDesk.setStoreConnected(false);
    REQUIRE(desk.call(Kind::Submit, "/q/a", 3s, 20ms)->mKind == Answer::Unavailable);
  }

  SECTION("a lost answer is settled by another write")
  {
    desk.mStore.mMode = FakeStore::Mode::LosingAnswers;
    REQUIRE_FALSE(desk.call(Kind::Submit, "/q/a", 3s, 300ms));
    desk.mStore.mMode = FakeStore::Mode::Normal;
    desk.mIo.restart();
    desk.mIo.run_for(1200ms);
    REQUIRE(desk.mAnswer->mKind == Answer::Accepted);
  }

  SECTION("while a write may still take effect there is no refusal, only an open answer")
  {
    desk.mStore.mMode = FakeStore::Mode::Late;
    const auto answer = desk.call(Kind::Submit, "/q/a", 1500ms, 1800ms);
    REQUIRE(answer->mKind == Answer::Undecided);
    desk.mStore.applyLate();
    desk.mStore.mMode = FakeStore::Mode::Normal;
    REQUIRE(desk.call(Kind::Submit, "/q/a")->mKind == Answer::Accepted);
  }
}

TEST_CASE("No job is shown as missing while the store does not answer", "[Node]")
{
  Desk desk;
  desk.mStore.mMode = FakeStore::Mode::Refusing;
  REQUIRE(desk.call(Kind::Show, "/q/a")->mKind == Answer::Unavailable);
  REQUIRE(desk.call(Kind::Cancel, "/q/a")->mKind == Answer::Unavailable);
}
