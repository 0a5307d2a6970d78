#include <algorithm>
#include <thread>

#include "ProcessBench/Fleet.h"

namespace ProcessBench {

namespace {

using namespace std::chrono_literals;

constexpr int kServiceMillis = 50;
constexpr double kCapacity = Fleet::kSlots * 1000.0 / kServiceMillis;

struct Side
{
  LoadTool::LoadResult mUrgent;
  LoadTool::LoadResult mPatient;
};

Side
RunSide(const Fleet& aFleet, bool aFlooded, std::uint64_t aSeed)
{
  LoadTool::LoadConfig urgent = aFleet.through("/urgent");
  // A third of the capacity, below the share that the urgent route is guaranteed.
  urgent.mPerSecond = kCapacity / 3;
  urgent.mLength = Bench::Quick() ? 3s : 6s;
  urgent.mConnections = 32;
  urgent.mSeed = aSeed;
  LoadTool::LoadConfig patient = aFleet.through("/patient");
  patient.mPerSecond = kCapacity * 10;
  patient.mLength = urgent.mLength;
  // Enough that each request can wait for its whole deadline without delaying the next one.
  patient.mConnections = 400;
  patient.mSeed = aSeed + 1000;
  Side side;
  std::thread flood;
  if (aFlooded) {
    flood = std::thread([&] { side.mPatient = LoadTool::RunLoad(patient); });
  }
  side.mUrgent = LoadTool::RunLoad(urgent);
  if (flood.joinable()) {
    flood.join();
  }
  return side;
}

double
AnsweredShare(const LoadTool::LoadResult& aResult)
{
  return static_cast<double>(aResult.mAnswered) /
         static_cast<double>(std::max<std::uint64_t>(1, aResult.mSent));
}

double
Millis99(const LoadTool::LoadResult& aResult)
{
  return static_cast<double>(aResult.mLatency.quantile(0.99)) / 1000;
}

double
RateOf(const LoadTool::LoadResult& aResult)
{
  const double seconds = std::chrono::duration<double>(aResult.mElapsed).count();
  return seconds > 0 ? static_cast<double>(aResult.mSent) / seconds : 0;
}

// All rows are shown only: load tool, endpoint and daemons share the cores here, and 432 connection
// threads of the load tool delay urgent requests before they reach the entry. The bounds of these
// targets are checked in virtual time by ibisbench.
Bench::Measures
MeasureFlood()
{
  const auto fleet = Fleet::start({ kServiceMillis });
  if (!fleet) {
    return FailedStart("flood", fleet.error());
  }
  const Side calm = RunSide(**fleet, false, 1);
  const Side flooded = RunSide(**fleet, true, 1);
  return {
    { "urgent goodput in a patient flood over processes (target 0.99)",
      "share",
      AnsweredShare(flooded.mUrgent),
      AnsweredShare(calm.mUrgent) },
    { "urgent p99 in a patient flood over processes (target 1.3)",
      "ms",
      Millis99(flooded.mUrgent),
      Millis99(calm.mUrgent) },
    { "patient flood over processes, to the capacity",
      "requests/s",
      RateOf(flooded.mPatient),
      kCapacity },
    { "patient work answered in the flood over processes, of that sent",
      "requests",
      static_cast<double>(flooded.mPatient.mAnswered),
      static_cast<double>(flooded.mPatient.mSent) },
  };
}

const Bench::Registration kFlood("flood", MeasureFlood);

} // namespace

} // namespace ProcessBench
