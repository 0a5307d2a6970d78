#include <catch2/catch.hpp>

#include "Node/StoreKeys.h"
#include "TestCluster.h"

using namespace NodeTests;

namespace {

using RequestKind = JobRequest::Kind;
using ResponseKind = JobResponse::Kind;

/// Entries without a coordinator that share a fake store.
class EntriesFixture
{
public:
  struct Call
  {
    std::optional<JobResponse> mResponse;
    Timestamp mSent;
    Timestamp mAnswered;

    Duration took() const { return mAnswered - mSent; }
  };

  explicit EntriesFixture(std::size_t aEntries)
    : mStore(mIo)
    , mFormats(TestFormats())
    , mContext{ mIo, mClock, mSettings, mTiming, mFormats, mStore, mCounters }
    , mLink(mContext)
  {
    for (std::size_t i = 0; i < aEntries; ++i) {
      mEntries.push_back(std::make_unique<JobApi>(mContext, mLink));
      mEntries.back()->setTables(std::make_shared<const QueueTables>(*mFormats.mParseTables("1")));
      mEntries.back()->setStoreConnected(true);
    }
  }

  std::shared_ptr<Call> submit(std::size_t aEntry,
                               const std::string& aJob,
                               std::chrono::milliseconds aTimeout = 3s)
  {
    JobRequest request;
    request.mKind = RequestKind::Submit;
    request.mHost = "h";
    request.mPath = "/q/" + aJob;
    request.mTimeout = aTimeout;
    auto call = std::make_shared<Call>();
    call->mSent = mClock.now();
    mEntries[aEntry]->handleRequest(request, [this, call](const JobResponse& aResponse) {
      call->mResponse = aResponse;
      call->mAnswered = mClock.now();
    });
    return call;
  }

  void run(std::chrono::milliseconds aTime)
  {
    mIo.restart();
    mIo.run_for(aTime);
  }

  bool isStored(const std::string& aJob) const
  {
    return mStore.contains(SubmissionKey(Common::JobId(aJob)));
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
  std::vector<std::unique_ptr<JobApi>> mEntries;
};

/// When the store answers again, shortly before the submission of 3 s is answered as undecided.
constexpr std::chrono::milliseconds kLateInSubmission{ 2300 };
constexpr std::chrono::milliseconds kRestOfSubmission{ 600 };

} // namespace

TEST_CASE("A submission without an answer is refused only when its writes can't be applied late",
          "[Node][Submissions]")
{
  // Callers got 504 in an outage of 4 s for submissions that had reached no worker, and could not
  // retry them.
  EntriesFixture fixture(1);
  fixture.mStore.mMode = FakeStore::Mode::DelayingWrites;
  const auto first = fixture.submit(0, "a");
  fixture.run(kLateInSubmission);
  REQUIRE_FALSE(first->mResponse);

  SECTION("the store answers shortly before the deadline")
  {
    fixture.mStore.mMode = FakeStore::Mode::Normal;
    fixture.run(kRestOfSubmission);
    REQUIRE(first->mResponse);
    REQUIRE(first->mResponse->mKind == ResponseKind::Unavailable);
    REQUIRE(first->mResponse->mRetryAfter > Duration{ 0 });
    REQUIRE(first->took() < 2800ms);
    REQUIRE_FALSE(fixture.isStored("a"));

    SECTION("its late writes fail")
    {
      fixture.mStore.applyDelayedWrites();
      REQUIRE_FALSE(fixture.isStored("a"));
    }
    SECTION("a retry with the same id is accepted, before or after the late writes")
    {
      if (GENERATE(true, false)) {
        fixture.mStore.applyDelayedWrites();
      }
      const auto retry = fixture.submit(0, "a");
      fixture.run(200ms);
      REQUIRE(retry->mResponse);
      REQUIRE(retry->mResponse->mKind == ResponseKind::Accepted);
      REQUIRE(fixture.isStored("a"));
      const auto stored = fixture.mStore.value(SubmissionKey(Common::JobId("a")));
      fixture.mStore.applyDelayedWrites();
      REQUIRE(fixture.mStore.value(SubmissionKey(Common::JobId("a"))) == stored);
    }
    SECTION("a retry without an answer can be refused in turn, and its late writes fail")
    {
      fixture.mStore.mMode = FakeStore::Mode::DelayingWrites;
      const auto retry = fixture.submit(0, "a");
      fixture.run(kLateInSubmission);
      fixture.mStore.mMode = FakeStore::Mode::Normal;
      fixture.run(kRestOfSubmission);
      REQUIRE(retry->mResponse);
      REQUIRE(retry->mResponse->mKind == ResponseKind::Unavailable);
      fixture.mStore.applyDelayedWrites();
      REQUIRE_FALSE(fixture.isStored("a"));
    }
  }

  SECTION("the writes are applied before the settlement: accepted")
  {
    fixture.mStore.applyDelayedWrites();
    fixture.mStore.mMode = FakeStore::Mode::Normal;
    fixture.run(kRestOfSubmission);
    REQUIRE(first->mResponse);
    REQUIRE(first->mResponse->mKind == ResponseKind::Accepted);
  }

  SECTION("the store answers nothing until the deadline: undecided")
  {
    fixture.mStore.mMode = GENERATE(FakeStore::Mode::Silent, FakeStore::Mode::Rejecting);
    fixture.run(kRestOfSubmission);
    REQUIRE(first->mResponse);
    REQUIRE(first->mResponse->mKind == ResponseKind::Undecided);
    REQUIRE(first->took() < 2950ms);
  }

  SECTION("the store applies the settlement and loses its answer: refused by a repetition")
  {
    fixture.mStore.mMode = FakeStore::Mode::LosingAnswers;
    fixture.run(200ms);
    fixture.mStore.mMode = FakeStore::Mode::Normal;
    fixture.run(400ms);
    REQUIRE(first->mResponse);
    REQUIRE(first->mResponse->mKind == ResponseKind::Unavailable);
    fixture.mStore.applyDelayedWrites();
    REQUIRE_FALSE(fixture.isStored("a"));
  }
}

TEST_CASE("A cancellation after a settled refusal keeps the job out", "[Node][Submissions]")
{
  EntriesFixture fixture(1);
  fixture.mStore.put(FenceKey(Common::JobId("a")), "e1");
  fixture.mStore.put(CancelKey(Common::JobId("a")), "");
  const auto retry = fixture.submit(0, "a");
  fixture.run(200ms);
  REQUIRE(retry->mResponse);
  REQUIRE(retry->mResponse->mKind == ResponseKind::UnknownJob);
  REQUIRE_FALSE(fixture.isStored("a"));
}

TEST_CASE("Two entries with the same submission agree on what becomes of it", "[Node][Submissions]")
{
  EntriesFixture fixture(2);
  fixture.mStore.mMode = FakeStore::Mode::DelayingWrites;
  const auto first = fixture.submit(0, "a");

  SECTION("the second stores it: the first accepts it, too")
  {
    fixture.run(kLateInSubmission);
    fixture.mStore.mMode = FakeStore::Mode::Normal;
    const auto second = fixture.submit(1, "a");
    fixture.run(kRestOfSubmission);
    REQUIRE(second->mResponse);
    REQUIRE(second->mResponse->mKind == ResponseKind::Accepted);
    REQUIRE(first->mResponse);
    REQUIRE(first->mResponse->mKind == ResponseKind::Accepted);
  }

  SECTION("both refuse it, and no late write of either is applied")
  {
    const auto second = fixture.submit(1, "a");
    fixture.run(kLateInSubmission);
    fixture.mStore.mMode = FakeStore::Mode::Normal;
    fixture.run(kRestOfSubmission);
    REQUIRE(first->mResponse);
    REQUIRE(first->mResponse->mKind == ResponseKind::Unavailable);
    REQUIRE(second->mResponse);
    REQUIRE(second->mResponse->mKind == ResponseKind::Unavailable);
    fixture.mStore.applyDelayedWrites();
    REQUIRE_FALSE(fixture.isStored("a"));
    const auto retry = fixture.submit(1, "a");
    fixture.run(200ms);
    REQUIRE(retry->mResponse);
    REQUIRE(retry->mResponse->mKind == ResponseKind::Accepted);
  }
}

TEST_CASE("New submissions are not written to a store that has gone silent", "[Node][Submissions]")
{
  EntriesFixture fixture(1);
  fixture.mStore.mMode = FakeStore::Mode::DelayingWrites;
  const auto first = fixture.submit(0, "a");
  fixture.run(400ms);
  const auto held = fixture.submit(0, "b");
  fixture.run(300ms);
  REQUIRE_FALSE(held->mResponse);

  SECTION("one that was held is written when the store answers")
  {
    fixture.mStore.mMode = FakeStore::Mode::Normal;
    fixture.run(500ms);
    REQUIRE(held->mResponse);
    REQUIRE(held->mResponse->mKind == ResponseKind::Accepted);
  }

  SECTION("one that was held is refused, and nothing of it was written")
  {
    fixture.run(800ms);
    REQUIRE(held->mResponse);
    REQUIRE(held->mResponse->mKind == ResponseKind::Unavailable);
    REQUIRE(held->mResponse->mRetryAfter > Duration{ 0 });
    fixture.mStore.applyDelayedWrites();
    REQUIRE_FALSE(fixture.isStored("b"));

    SECTION("later ones are refused soon, with few calls of the store")
    {
      const std::size_t callsBefore = fixture.mStore.mCalls;
      std::vector<std::shared_ptr<EntriesFixture::Call>> calls;
      for (int i = 0; i < 20; ++i) {
        calls.push_back(fixture.submit(0, "c" + std::to_string(i)));
        fixture.run(20ms);
      }
      fixture.run(300ms);
      for (const auto& call : calls) {
        REQUIRE(call->mResponse);
        REQUIRE(call->mResponse->mKind == ResponseKind::Unavailable);
        REQUIRE(call->took() < 350ms);
      }
      // Probes, and the repetitions of the first submission.
      REQUIRE(fixture.mStore.mCalls - callsBefore <= 8);
      fixture.mStore.applyDelayedWrites();
      REQUIRE_FALSE(fixture.isStored("c0"));
    }

    SECTION("the first one after the silence is accepted")
    {
      fixture.mStore.mMode = FakeStore::Mode::Normal;
      const auto next = fixture.submit(0, "d");
      fixture.run(200ms);
      REQUIRE(next->mResponse);
      REQUIRE(next->mResponse->mKind == ResponseKind::Accepted);
    }
  }
}

TEST_CASE("A silence of the store leaves only the submissions of its first moments undecided",
          "[Node][Submissions]")
{
  // Each entry wrote all that arrived before its watch noticed the silence, and answered 504 to
  // those whose deadlines came before its end.
  constexpr std::size_t kEntries = 3;
  EntriesFixture fixture(kEntries);
  std::vector<std::shared_ptr<EntriesFixture::Call>> calls;
  // Four a second at each entry.
  const auto submitFor = [&](int aRounds) {
    for (int i = 0; i < aRounds; ++i) {
      for (std::size_t entry = 0; entry < kEntries; ++entry) {
        calls.push_back(fixture.submit(entry, "a" + std::to_string(calls.size())));
      }
      fixture.run(250ms);
    }
  };
  submitFor(2);
  fixture.mStore.mMode = FakeStore::Mode::DelayingWrites;
  submitFor(16);
  fixture.mStore.mMode = FakeStore::Mode::Normal;
  submitFor(4);
  fixture.run(3000ms);
  std::size_t undecided = 0;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    REQUIRE(calls[i]->mResponse);
    const ResponseKind kind = calls[i]->mResponse->mKind;
    undecided += kind == ResponseKind::Undecided ? 1 : 0;
    if (kind == ResponseKind::Unavailable) {
      REQUIRE(calls[i]->took() < 2s);
      REQUIRE_FALSE(fixture.isStored("a" + std::to_string(i)));
    }
  }
  // Those of the first 300 ms: two at each entry.
  CAPTURE(undecided);
  REQUIRE(undecided <= 2 * kEntries);
  for (std::size_t i = calls.size() - 3 * kEntries; i < calls.size(); ++i) {
    REQUIRE(calls[i]->mResponse->mKind == ResponseKind::Accepted);
  }
  fixture.mStore.applyDelayedWrites();
  for (std::size_t i = 0; i < calls.size(); ++i) {
    if (calls[i]->mResponse->mKind == ResponseKind::Unavailable) {
      REQUIRE_FALSE(fixture.isStored("a" + std::to_string(i)));
    }
  }
}

TEST_CASE("A lost answer keeps no later submission out", "[Node][Submissions]")
{
  // With a short deadline no call is open any more that could tell whether the store answers.
  EntriesFixture fixture(1);
  fixture.mStore.mMode = FakeStore::Mode::Silent;
  const auto first = fixture.submit(0, "a", 700ms);
  fixture.run(700ms);
  REQUIRE(first->mResponse);
  REQUIRE(first->mResponse->mKind == ResponseKind::Undecided);
  fixture.mStore.mMode = FakeStore::Mode::Normal;
  const auto next = fixture.submit(0, "b");
  fixture.run(200ms);
  REQUIRE(next->mResponse);
  REQUIRE(next->mResponse->mKind == ResponseKind::Accepted);
}

TEST_CASE("A slow store refuses no submission and costs few calls", "[Node][Submissions]")
{
  EntriesFixture fixture(1);
  fixture.mStore.mAnswerDelay = 500ms;
  std::vector<std::shared_ptr<EntriesFixture::Call>> calls;
  for (int i = 0; i < 10; ++i) {
    calls.push_back(fixture.submit(0, "a" + std::to_string(i)));
    fixture.run(100ms);
  }
  fixture.run(800ms);
  for (const auto& call : calls) {
    REQUIRE(call->mResponse);
    REQUIRE(call->mResponse->mKind == ResponseKind::Accepted);
  }
  REQUIRE(fixture.mStore.mCalls == calls.size());
}

TEST_CASE("A submission costs one call of the store", "[Node][Submissions]")
{
  EntriesFixture fixture(1);
  const auto call = fixture.submit(0, "a");
  fixture.run(100ms);
  REQUIRE(call->mResponse);
  REQUIRE(fixture.mStore.mCalls == 1);
}

TEST_CASE("An entry whose writes get lost submits through the coordinator", "[Node][Submissions]")
{
  TestCluster cluster;
  cluster.addEntry("e1");
  REQUIRE(cluster.runUntil([&] { return cluster.coordinatorInstance() == "e1"; }, 2s));
  TestCluster::Process& second = cluster.addEntry("e2");
  CoordinatorLink link(*second.mContext);
  link.setAddress(cluster.mProcesses.at("e1").mSettings.mPeerAddress);
  JobApi jobApi(*second.mContext, link);
  jobApi.setTables(std::make_shared<const QueueTables>(*cluster.mFormats.mParseTables("1")));
  jobApi.setStoreConnected(true);
  cluster.run(300ms);
  second.mStoreProxy->mLosesWrites = true;
  const auto submit = [&](const std::string& aJob) {
    JobRequest request;
    request.mKind = RequestKind::Submit;
    request.mHost = "h";
    request.mPath = "/q/" + aJob;
    std::optional<JobResponse> response;
    jobApi.handleRequest(request, [&](const JobResponse& aResponse) { response = aResponse; });
    const Timestamp start = cluster.mClock.now();
    (void)cluster.runUntil([&] { return response.has_value(); }, 4s);
    REQUIRE(response);
    REQUIRE(response->mKind == ResponseKind::Accepted);
    return cluster.mClock.now() - start;
  };
  // The first one is sent to the store before it is known that it does not answer.
  REQUIRE(submit("a") < 1300ms);
  for (const char* job : { "b", "c", "d" }) {
    REQUIRE(submit(job) < 1300ms);
  }
}

TEST_CASE("The coordinator erases the fences of refused submissions", "[Node][Submissions]")
{
  TestCluster cluster;
  cluster.mTiming.mFenceRetention = 700ms;
  cluster.addEntry("e1");
  REQUIRE(cluster.runUntil([&] { return cluster.coordinatorInstance() == "e1"; }, 2s));
  const std::string key = FenceKey(Common::JobId("a"));
  cluster.mStore.put(key, "e1");
  cluster.run(300ms);
  REQUIRE(cluster.mStore.contains(key));
  REQUIRE(cluster.runUntil([&] { return !cluster.mStore.contains(key); }, 4s));
}
