#include <algorithm>
#include <ctime>

#include "Bench/Measure.h"
#include "Common/Random.h"
#include "Placement/Place.h"

namespace Bench {

namespace {

using Placement::Resources;

/// Processor time of this thread, which other load on the machine disturbs less than wall time.
double
ThreadSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

/// A fleet that is held at about nine tenths of its cores by placing and ending tasks.
class Fleet
{
public:
  explicit Fleet(std::uint32_t aWorkers)
  {
    for (std::uint32_t i = 0; i < aWorkers; ++i) {
      const Resources total{ Common::MilliCores(16000),
                             Common::Bytes(std::int64_t{ 60 } << 30),
                             Common::Accelerators(2) };
      Placement::SetWorker(mIndex,
                           { Common::WorkerId("w" + std::to_string(i)),
                             Common::RackId("r" + std::to_string(i / 3)),
                             Common::DataCentreId("dc" + std::to_string(i % 15)),
                             {},
                             total });
    }
    // 22 tasks of 650 millicores on average are nine tenths of 16 cores.
    while (mPlaced.size() < std::size_t{ aWorkers } * 22) {
      if (!place(false)) {
        break;
      }
    }
  }

  /// Seconds for each placement, over aCount of them.
  double measure(std::size_t aCount, bool aScan)
  {
    double seconds = 0;
    for (std::size_t done = 0; done < aCount; ++done) {
      end();
      seconds += place(aScan);
    }
    return seconds / static_cast<double>(aCount);
  }

  std::size_t misses() const { return mMisses; }

private:
  struct Placed
  {
    Placement::WorkerNumber mWorker;
    Resources mNeed;
  };

  /// Returns the seconds of the placement; 0 if there was no room.
  double place(bool aScan)
  {
    Placement::TaskRequest request;
    request.mReservationId = ++mTicket;
    request.mNeed = { Common::MilliCores(100 + static_cast<std::int64_t>(mRandom.below(1100))),
                      Common::Bytes(static_cast<std::int64_t>(1 + mRandom.below(4)) << 29),
                      Common::Accelerators(mRandom.below(40) == 0 ? 1 : 0) };
    const double before = ThreadSeconds();
    const auto worker = aScan ? Placement::PlaceByScan(mIndex, request, mPolicy)
                              : Placement::PlaceTask(mIndex, request, mPolicy, mRandom);
    const double seconds = ThreadSeconds() - before;
    if (!worker) {
      ++mMisses;
      return 0;
    }
    // The agent's next report contains the task.
    Placement::SetReportedFreeResources(
      mIndex, *worker, Placement::FreeResources(mIndex, *worker), {});
    mPlaced.push_back({ *worker, request.mNeed });
    return seconds;
  }

  void end()
  {
    std::swap(mPlaced[mRandom.below(mPlaced.size())], mPlaced.back());
    const Placed placed = mPlaced.back();
    mPlaced.pop_back();
    Placement::SetReportedFreeResources(
      mIndex, placed.mWorker, Placement::FreeResources(mIndex, placed.mWorker) + placed.mNeed, {});
  }

  Placement::WorkerIndex mIndex;
  Placement::PlacementPolicy mPolicy;
  Common::Random mRandom{ 11 };
  std::vector<Placed> mPlaced;
  Placement::ReservationId mTicket = 0;
  std::size_t mMisses = 0;
};

double
Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

Measures
RunPlacement()
{
  const std::uint32_t sizes[] = { 280, 2800, 28000 };
  std::vector<Fleet> fleets;
  fleets.reserve(3);
  for (const std::uint32_t size : sizes) {
    fleets.emplace_back(size);
  }
  // Rounds take turns, so that a busy moment of the machine hits all sizes alike.
  const int rounds = Quick() ? 7 : 21;
  std::vector<std::vector<double>> seconds(3);
  for (int round = 0; round < rounds; ++round) {
    for (std::size_t i = 0; i < 3; ++i) {
      seconds[i].push_back(fleets[i].measure(10'000, false));
    }
  }
  Measures measures;
  for (std::size_t i = 0; i < 3; ++i) {
    const double scan = fleets[i].measure(100, true);
    const std::string name = "placements by one core, " + std::to_string(sizes[i]) + " workers";
    measures.push_back({ name + ", against a scan", "1/s", 1 / Median(seconds[i]), 1 / scan });
  }
  measures.push_back({ "placements by one core, 28000 workers, against the target",
                       "1/s",
                       1 / Median(seconds[2]),
                       100'000,
                       Bound::AtLeast,
                       1.0 });
  measures.push_back({ "cost of a placement, 28000 workers against 280",
                       "us",
                       1e6 * Median(seconds[2]),
                       1e6 * Median(seconds[0]),
                       Bound::AtMost,
                       1.5 });
  return measures;
}

const Registration kPlacement{ "batch-placement", RunPlacement };

} // namespace

} // namespace Bench
