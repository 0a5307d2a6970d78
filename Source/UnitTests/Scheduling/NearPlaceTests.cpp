#include <algorithm>

#include <catch2/catch.hpp>

#include "Fixture.h"

using namespace SchedulingTests;

namespace {

/// A rack "hot" of two workers of 4 cores, and two other workers of 16 cores in racks of their own.
class HotRack : public Fixture
{
public:
  HotRack()
  {
    mState.mPolicy.mRemoteFactor = 3.0;
    for (const char* name : { "h1", "h2" }) {
      addWorker(hotView(name));
    }
    addWorker("w1");
    addWorker("w2");
  }

  WorkerView hotView(const std::string& aName) const
  {
    WorkerView hot = view(aName, 4'000);
    hot.mRack = Common::RackId("hot");
    return hot;
  }

  /// Starts tasks that use all cores of the rack for a second.
  std::vector<Order> fillRack(const std::string& aJob = "first")
  {
    addJob(aJob, { MakeStep().tasks(8).dataRack("hot").build() });
    std::vector<Order> starts = place();
    REQUIRE(onRack(starts) == 8);
    confirm(starts);
    return starts;
  }

  static std::size_t onRack(const std::vector<Order>& aStarts)
  {
    return static_cast<std::size_t>(
      std::count_if(aStarts.begin(), aStarts.end(), [](const Order& aStart) {
        return aStart.mLifetime.mWorker.str().front() == 'h';
      }));
  }

  /// Reports the runs of the orders on the workers of the rack, or their ends.
  void reportRack(const std::vector<Order>& aStarts, bool aEnded)
  {
    for (const char* name : { "h1", "h2" }) {
      WorkerView hot = hotView(name);
      for (const Order& start : aStarts) {
        if (start.mLifetime.mWorker != hot.mLifetime.mWorker) {
          continue;
        }
        if (aEnded) {
          hot.mEnded.push_back(ended(start, ++mLastEnd, EndKind::Done));
        } else {
          hot.mRunning.push_back(running(start, 50));
        }
      }
      report(hot);
    }
  }

  std::size_t waitLines() const
  {
    return static_cast<std::size_t>(
      std::count_if(mState.mLogEntries.begin(), mState.mLogEntries.end(), [](const auto& aEntry) {
        return aEntry.mText == "tasks wait for a place near their data";
      }));
  }

private:
  std::int64_t mLastEnd = 0;
};

} // namespace

TEST_CASE("Tasks wait for a place near their data while it pays off", "[Scheduling]")
{
  HotRack fixture;
  const auto starts = fixture.fillRack();
  fixture.advance(milliseconds(500));
  fixture.reportRack(starts, false);
  fixture.mState.mLogEntries.clear();
  fixture.addJob("next", { MakeStep().tasks(2).dataRack("hot").build() });

  SECTION("with the reason in the log and in the counters")
  {
    REQUIRE(fixture.place().empty());
    REQUIRE(fixture.place().empty());
    REQUIRE(fixture.waitLines() == 1);
    REQUIRE(fixture.mState.mLogEntries.back().mDetail ==
            "0.0 2 waiting, rack hot, expected wait 500 ms, gain 2000 ms");
    REQUIRE(fixture.mState.mCounts.mPlaceWaits == 1);

    SECTION("and start there once the runs have ended")
    {
      fixture.advance(milliseconds(400));
      fixture.reportRack(starts, true);
      REQUIRE(HotRack::onRack(fixture.place()) == 2);
      REQUIRE(fixture.mState.mCounts.mNearStarts == 10);
      REQUIRE(fixture.mState.mCounts.mRemoteStarts == 0);
      REQUIRE(fixture.mState.mCounts.mPlaceWaitTime == milliseconds(800));
    }

    SECTION("but not longer than the gain, whatever is expected")
    {
      // Guards against tasks that wait without end for runs that stand still.
      std::size_t started = 0;
      Duration waited{ 0 };
      for (; waited <= milliseconds(2000) && started == 0; waited += milliseconds(50)) {
        fixture.advance(milliseconds(50));
        started = fixture.place().size();
      }
      REQUIRE(started == 2);
      REQUIRE(fixture.mState.mCounts.mRemoteStarts == 2);
    }

    SECTION("and other work leaves the rack to them")
    {
      // Guards against tasks without a rack that take each place that becomes free.
      fixture.advance(milliseconds(400));
      fixture.reportRack({ starts[0], starts[1], starts[2], starts[3] }, true);
      fixture.addJob("other", { MakeStep().tasks(8).cores(100).build() }, "render");
      for (const Order& start : fixture.place()) {
        const bool isOther = start.mTask.mJob == JobId("other");
        REQUIRE(isOther == (start.mLifetime.mWorker.str().front() == 'w'));
      }
    }
  }

  SECTION("not without a remote factor")
  {
    fixture.mState.mPolicy.mRemoteFactor = 1.0;
    REQUIRE(fixture.place().size() == 2);
    REQUIRE(fixture.waitLines() == 0);
  }

  SECTION("not for a rack that is lost")
  {
    // Guards against waits for a place that never comes.
    fixture.worker("h1").mLifetimeEnded = fixture.worker("h2").mLifetimeEnded = true;
    REQUIRE(fixture.place().size() == 2);
  }
  SECTION("not for a rack that is leaving")
  {
    fixture.worker("h1").mLeaving = fixture.worker("h2").mLeaving = true;
    REQUIRE(fixture.place().size() == 2);
  }
  SECTION("not for a quarantined rack")
  {
    for (const char* name : { "h1", "h2" }) {
      fixture.worker(name).mHealth.mQuarantinedUntil =
        fixture.now().mMonotonic + std::chrono::seconds(3);
    }
    REQUIRE(fixture.place().size() == 2);
  }
  SECTION("not for workers that do not answer")
  {
    fixture.worker("h1").mResponding = fixture.worker("h2").mResponding = false;
    REQUIRE(fixture.place().size() == 2);
  }

  SECTION("not while recorded workers are awaited")
  {
    // Guards against estimates of a new coordinator, which knows only a part of the runs.
    AddRecordedWorker(fixture.mState,
                      fixture.view("recorded"),
                      Common::InstanceId("agent-recorded"),
                      fixture.now().mMonotonic + std::chrono::seconds(5));
    REQUIRE(fixture.place().size() == 2);
  }

  SECTION("not after a failed run")
  {
    const auto job = fixture.mState.mJobs.find(JobId("next"));
    OwnTaskAt({ job->second.get(), 0, 0, 0 }).mAvoidedWorker = 0;
    REQUIRE(fixture.place().size() == 1);
  }
}

TEST_CASE("A wide step waits only with the tasks whose turn comes in time", "[Scheduling]")
{
  // Guards against wide steps of which all tasks wait for few places, one after the other.
  HotRack fixture;
  const auto starts = fixture.fillRack();
  fixture.advance(milliseconds(500));
  fixture.reportRack(starts, false);
  fixture.addJob("wide", { MakeStep().tasks(20).dataRack("hot").build() });
  const auto placed = fixture.place();
  // The rack releases 8 places after half a second. The next turn comes after another second,
  // which is more than half of what it gains.
  REQUIRE(placed.size() == 12);
  REQUIRE(HotRack::onRack(placed) == 0);

  SECTION("and a later job counts with the places that they wait for")
  {
    // Guards against herding on the same free place.
    fixture.addJob("later", { MakeStep().tasks(2).dataRack("hot").build() });
    REQUIRE(fixture.place().size() == 2);
  }
}

TEST_CASE("A gang waits for room on one rack", "[Scheduling]")
{
  Fixture fixture;
  fixture.mState.mPolicy.mRemoteFactor = 3.0;
  for (const char* name : { "w1", "w2" }) {
    fixture.addWorker(name, 4'000);
  }
  fixture.addJob("first", { MakeStep().tasks(4).build() });
  const auto starts = fixture.place();
  REQUIRE(starts.size() == 4);
  fixture.confirm(starts);
  fixture.advance(milliseconds(500));
  fixture.addJob("gang", { MakeStep().tasks(4).gang(true).build() });

  SECTION("if that takes less time than it gains")
  {
    REQUIRE(fixture.place().empty());
    REQUIRE(fixture.mState.mCounts.mPlaceWaits == 1);
    fixture.advance(milliseconds(400));
    for (const char* name : { "w1", "w2" }) {
      WorkerView view = fixture.view(name, 4'000);
      std::int64_t number = 0;
      for (const Order& start : starts) {
        if (start.mLifetime.mWorker == WorkerId(name)) {
          view.mEnded.push_back(Fixture::ended(start, ++number, EndKind::Done));
        }
      }
      fixture.report(view);
    }
    const auto gang = fixture.place();
    REQUIRE(gang.size() == 4);
    REQUIRE(std::all_of(gang.begin(), gang.end(), [&](const Order& aStart) {
      return aStart.mLifetime == gang[0].mLifetime;
    }));
    REQUIRE(fixture.mState.mCounts.mNearStarts == 4);
  }

  SECTION("but not longer than it gains")
  {
    // Guards against gangs that never start because smaller tasks take each free place.
    std::size_t started = 0;
    for (int i = 0; i <= 40 && started == 0; ++i) {
      started = fixture.place().size();
      fixture.advance(milliseconds(50));
    }
    REQUIRE(started == 4);
    REQUIRE(fixture.mState.mCounts.mRemoteStarts == 4);
  }

  SECTION("not without a remote factor")
  {
    fixture.mState.mPolicy.mRemoteFactor = 1.0;
    REQUIRE(fixture.place().size() == 4);
  }
}

TEST_CASE("A gang that fits on no rack does not wait for one", "[Scheduling]")
{
  Fixture fixture;
  fixture.mState.mPolicy.mRemoteFactor = 3.0;
  for (const char* name : { "w1", "w2" }) {
    fixture.addWorker(name, 4'000);
  }
  fixture.addJob("gang", { MakeStep().tasks(6).gang(true).build() });
  REQUIRE(fixture.place().size() == 6);
}
