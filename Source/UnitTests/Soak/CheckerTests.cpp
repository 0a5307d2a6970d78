#include <vector>

#include <catch2/catch.hpp>

#include "platform/Soak/Checker.h"

namespace {

using namespace Soak;
using Scheduling::EndKind;

const Common::JobId kJob("00000001000000aa");
const Scheduling::TaskName kTask{ kJob, 0, 0, 0 };
const char* const kFirst = "worker-1";
const char* const kSecond = "worker-2";

/// Builds a record whose events are one second apart.
class RecordBuilder
{
public:
  RecordBuilder() { mRecord.mSubmissions.push_back({ kJob, { 1 } }); }

  RecordBuilder& repeats(std::uint32_t aOccurrences)
  {
    mRecord.mSubmissions.back().mOccurrences = aOccurrences;
    return *this;
  }
  RecordBuilder& attempt(int aStatus)
  {
    Event event;
    event.mKind = EventKind::Attempt;
    event.mTask.mJob = kJob;
    event.mStatus = aStatus;
    return add(std::move(event));
  }
  RecordBuilder& start(const char* aWorker, std::int64_t aRun)
  {
    Event event = ofWorker(EventKind::RunStarted, aWorker);
    event.mTask = kTask;
    event.mRun = Scheduling::RunNumber{ aRun };
    return add(std::move(event));
  }
  RecordBuilder& end(const char* aWorker,
                     std::int64_t aRun,
                     EndKind aEnd = EndKind::Done,
                     std::int64_t aNumber = 1)
  {
    Event event = ofWorker(EventKind::RunEnded, aWorker);
    event.mTask = kTask;
    event.mRun = Scheduling::RunNumber{ aRun };
    event.mEnd = aEnd;
    event.mNumber = Scheduling::EndNumber{ aNumber };
    return add(std::move(event));
  }
  RecordBuilder& startIn(const char* aDataCentre)
  {
    Event event = ofWorker(EventKind::RunStarted, kFirst);
    event.mTask = kTask;
    event.mDataCentre = Common::DataCentreId(aDataCentre);
    return add(std::move(event));
  }
  RecordBuilder& evacuation(EventKind aKind, const char* aDataCentre)
  {
    Event event;
    event.mKind = aKind;
    event.mDataCentre = Common::DataCentreId(aDataCentre);
    return add(std::move(event));
  }
  RecordBuilder& storeFault(EventKind aKind, StoreFault aFault)
  {
    Event event;
    event.mKind = aKind;
    event.mStoreFault = aFault;
    return add(std::move(event));
  }
  RecordBuilder& acknowledge(const char* aWorker, std::int64_t aNumber = 1)
  {
    Event event = ofWorker(EventKind::EndsAcknowledged, aWorker);
    event.mNumber = Scheduling::EndNumber{ aNumber };
    return add(std::move(event));
  }
  RecordBuilder& lapse(const char* aWorker)
  {
    return add(ofWorker(EventKind::LeaseExpired, aWorker));
  }
  RecordBuilder& crash(const char* aWorker)
  {
    return add(ofWorker(EventKind::WorkerCrashed, aWorker));
  }
  RecordBuilder& faultEnds()
  {
    Event event;
    event.mKind = EventKind::FaultEnded;
    return add(std::move(event));
  }

  operator const Record&() const { return mRecord; }

private:
  static Event ofWorker(EventKind aKind, const char* aWorker)
  {
    Event event;
    event.mKind = aKind;
    event.mWorker = Common::WorkerId(aWorker);
    return event;
  }
  RecordBuilder& add(Event aEvent)
  {
    aEvent.mAt = std::chrono::seconds(mRecord.mEvents.size() + 1);
    mRecord.mEvents.push_back(std::move(aEvent));
    return *this;
  }

  Record mRecord;
};

std::vector<EventKind>
ExcerptKinds(const Violation& aViolation)
{
  std::vector<EventKind> kinds;
  for (const Event& event : aViolation.mExcerpt) {
    kinds.push_back(event.mKind);
  }
  return kinds;
}

} // namespace

TEST_CASE("A task must not run twice")
{
  RecordBuilder record;
  record.start(kFirst, 1);

  SECTION("while a run of it goes on")
  {
    SECTION("on another worker, which is shown by the two starts")
    {
      record.start(kSecond, 2).end(kFirst, 1).end(kSecond, 2, EndKind::Stopped);
      const auto found = CheckTwice(record);
      REQUIRE(found.size() == 1);
      CHECK(found[0].mRule == Rule::Twice);
      CHECK(ExcerptKinds(found[0]) == std::vector{ EventKind::RunStarted, EventKind::RunStarted });
    }
    SECTION("unless the run has ended")
    {
      record.end(kFirst, 1, EndKind::LeaseExpired).start(kSecond, 2);
      CHECK(CheckTwice(record).empty());
    }
    SECTION("unless its worker has crashed")
    {
      record.crash(kFirst).start(kSecond, 2);
      CHECK(CheckTwice(record).empty());
    }
    SECTION("also if another worker has crashed")
    {
      record.crash(kSecond).start(kSecond, 2);
      CHECK(CheckTwice(record).size() == 1);
    }
  }

  SECTION("after it was done")
  {
    record.end(kFirst, 1);

    SECTION("and the end was noted before the start")
    {
      record.acknowledge(kFirst).start(kSecond, 2);
      const auto found = CheckTwice(record);
      REQUIRE(found.size() == 1);
      CHECK(ExcerptKinds(found[0]) ==
            std::vector{ EventKind::RunEnded, EventKind::EndsAcknowledged, EventKind::RunStarted });
    }
    SECTION("and the end is noted after the start")
    {
      record.start(kSecond, 2).acknowledge(kFirst);
      CHECK(CheckTwice(record).size() == 1);
    }
    SECTION("and the lease lapses after the end was noted")
    {
      record.acknowledge(kFirst).lapse(kFirst).start(kSecond, 2);
      CHECK(CheckTwice(record).size() == 1);
    }
    SECTION("unless the end is never noted")
    {
      record.start(kSecond, 2).end(kSecond, 2, EndKind::Done, 7).acknowledge(kSecond, 7);
      CHECK(CheckTwice(record).empty());

      SECTION("and also not a third time after the second end was noted")
      {
        record.start(kFirst, 3);
        CHECK(CheckTwice(record).size() == 1);
      }
    }
    SECTION("unless the lease lapsed before the end was noted")
    {
      record.lapse(kFirst).start(kSecond, 2).acknowledge(kFirst);
      CHECK(CheckTwice(record).empty());
    }
    SECTION("unless an earlier end of the worker was noted")
    {
      record.acknowledge(kFirst, 0).start(kSecond, 2);
      CHECK(CheckTwice(record).empty());
    }
    SECTION("unless another worker's end was noted")
    {
      record.acknowledge(kSecond).start(kSecond, 2);
      CHECK(CheckTwice(record).empty());
    }
  }

  SECTION("but may run again after it failed")
  {
    record.end(kFirst, 1, EndKind::Failed).acknowledge(kFirst).start(kSecond, 2);
    CHECK(CheckTwice(record).empty());
  }
}

TEST_CASE("A job that was rejected must not run")
{
  RecordBuilder record;
  record.attempt(503);

  SECTION("although each attempt was rejected")
  {
    record.attempt(429).start(kFirst, 1);
    const auto found = CheckRefused(record);
    REQUIRE(found.size() == 1);
    CHECK(ExcerptKinds(found[0]) ==
          std::vector{ EventKind::Attempt, EventKind::Attempt, EventKind::RunStarted });
  }
  SECTION("unless an attempt was accepted")
  {
    record.attempt(202).start(kFirst, 1);
    CHECK(CheckRefused(record).empty());
  }
  SECTION("unless an attempt got no answer")
  {
    record.attempt(0).start(kFirst, 1);
    CHECK(CheckRefused(record).empty());
  }
  SECTION("and need not run")
  {
    CHECK(CheckRefused(record).empty());
  }
}

TEST_CASE("An accepted job must be completed")
{
  constexpr Millis kBound{ 5'000 };
  constexpr Millis kEnd{ 60'000 };
  RecordBuilder record;

  SECTION("if it was accepted")
  {
    record.attempt(202);

    SECTION("and nothing ran")
    {
      const auto found = CheckLost(record, kBound, kEnd);
      REQUIRE(found.size() == 1);
      CHECK(found[0].mRule == Rule::Lost);
      CHECK(ExcerptKinds(found[0]) == std::vector{ EventKind::Attempt });
      CHECK_FALSE(AllAcceptedDone(record));
    }
    SECTION("and the last run was stopped")
    {
      record.start(kFirst, 1).end(kFirst, 1, EndKind::Stopped).faultEnds();
      const auto found = CheckLost(record, kBound, kEnd);
      REQUIRE(found.size() == 1);
      CHECK(ExcerptKinds(found[0]) ==
            std::vector{ EventKind::Attempt, EventKind::RunEnded, EventKind::FaultEnded });
    }
    SECTION("and is done in time")
    {
      record.start(kFirst, 1).end(kFirst, 1);
      CHECK(CheckLost(record, kBound, kEnd).empty());
      CHECK(AllAcceptedDone(record));
    }
    SECTION("and one of its occurrences is not done")
    {
      record.start(kFirst, 1).end(kFirst, 1).repeats(2);
      const auto found = CheckLost(record, kBound, kEnd);
      REQUIRE(found.size() == 1);
      CHECK(found[0].mWhat.find(kJob.str() + ".1.0.0") == 0);
      CHECK_FALSE(AllAcceptedDone(record));
    }
    SECTION("and is done too late")
    {
      record.start(kFirst, 1).end(kFirst, 1);
      CHECK(CheckLost(record, Millis(1'500), kEnd).size() == 1);
    }
    SECTION("and its time counts from the last fault")
    {
      record.start(kFirst, 1).faultEnds().end(kFirst, 1);
      CHECK(CheckLost(record, Millis(1'500), kEnd).empty());
    }
    SECTION("and the record ends before its time is over")
    {
      CHECK(CheckLost(record, kBound, Millis(5'900)).empty());
    }
  }
  SECTION("unless no attempt was accepted")
  {
    record.attempt(503).attempt(0);
    CHECK(CheckLost(record, kBound, kEnd).empty());
    CHECK(AllAcceptedDone(record));
  }
}

TEST_CASE("No task may start in a data centre that has been evacuated for long enough")
{
  const EvacuationBounds bounds{ Millis(3'000), Millis(4'000) };
  RecordBuilder record;
  record.evacuation(EventKind::Evacuated, "dc1").startIn("dc1").startIn("dc2");
  CHECK(CheckEvacuated(record, bounds).empty());

  SECTION("a start there after the bound is a violation, of which one is reported")
  {
    record.startIn("dc1").startIn("dc1");
    const auto violations = CheckEvacuated(record, bounds);
    REQUIRE(violations.size() == 1);
    CHECK(violations[0].mRule == Rule::Evacuated);
    CHECK(ExcerptKinds(violations[0]) ==
          std::vector<EventKind>{ EventKind::Evacuated, EventKind::RunStarted });
  }
  SECTION("starts elsewhere and after the removal are none")
  {
    record.startIn("dc2").evacuation(EventKind::BackInService, "dc1").startIn("dc1");
    CHECK(CheckEvacuated(record, bounds).empty());
  }
  SECTION("the time begins anew when a fault of the store ends")
  {
    const StoreFault fault = GENERATE(StoreFault::Unreachable, StoreFault::Down);
    record.storeFault(EventKind::FaultBegan, fault)
      .startIn("dc1")
      .storeFault(EventKind::FaultEnded, fault)
      .startIn("dc1");
    CHECK(CheckEvacuated(record, bounds).empty());
    record.startIn("dc1").startIn("dc1");
    CHECK(CheckEvacuated(record, bounds).size() == 1);
  }
  SECTION("unless only some processes did not reach the store and the stretch is over")
  {
    record.storeFault(EventKind::FaultBegan, StoreFault::Unreachable)
      .startIn("dc1")
      .startIn("dc1")
      .startIn("dc2")
      .startIn("dc1");
    CHECK(CheckEvacuated(record, bounds).size() == 1);
  }
  SECTION("which begins anew when the store answers again")
  {
    record.storeFault(EventKind::FaultBegan, StoreFault::Unreachable)
      .storeFault(EventKind::FaultBegan, StoreFault::Down)
      .storeFault(EventKind::FaultEnded, StoreFault::Down);
    for (int second = 0; second < 6; ++second) {
      record.startIn("dc1");
    }
    CHECK(CheckEvacuated(record, bounds).empty());
    record.startIn("dc1");
    CHECK(CheckEvacuated(record, bounds).size() == 1);
  }
}
