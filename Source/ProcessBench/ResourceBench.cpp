#include <thread>

#include "ProcessBench/Fleet.h"

namespace ProcessBench {

namespace {

using namespace std::chrono_literals;

// Targets of the design page, as baselines.
constexpr double kHardMegabytes = 64;
constexpr double kAimedMegabytes = 20;
constexpr double kRestingShare = 0.038;

struct Span
{
  double mMegabytes = 0;
  double mShare = 0;
};

/// The processor share of a child while aAction runs, and its resident memory at the end.
class Meter
{
public:
  explicit Meter(const Child& aChild)
    : mChild(aChild)
    , mBefore(aChild.usage())
    , mStarted(std::chrono::steady_clock::now())
  {
  }

  Span read() const
  {
    const Usage now = mChild.usage();
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - mStarted;
    return { now.mResidentMegabytes, (now.mCpuSeconds - mBefore.mCpuSeconds) / elapsed.count() };
  }

private:
  const Child& mChild;
  Usage mBefore;
  std::chrono::steady_clock::time_point mStarted;
};

// The targets are those of the agent; the entry's figures are shown for comparison.
void
AddSpan(Bench::Measures& aInto,
        const std::string& aName,
        const Span& aSpan,
        bool aAgent,
        bool aRest)
{
  using Bench::Bound;
  aInto.push_back({ aName + ": resident memory, to the hard limit",
                    "MB",
                    aSpan.mMegabytes,
                    kHardMegabytes,
                    aAgent ? Bound::AtMost : Bound::Info,
                    1 });
  aInto.push_back(
    { aName + ": resident memory, to the aim", "MB", aSpan.mMegabytes, kAimedMegabytes });
  aInto.push_back({ aName + ": processor share, to the target at rest",
                    "cores",
                    aSpan.mShare,
                    kRestingShare,
                    aAgent && aRest ? Bound::AtMost : Bound::Info,
                    1 });
}

Bench::Measures
MeasureResources()
{
  const auto started = Fleet::start({ 5 });
  if (!started) {
    return FailedStart("resources", started.error());
  }
  Fleet& fleet = **started;
  Bench::Measures measures;
  {
    const Meter agent(fleet.agent());
    const Meter entry(fleet.entry());
    std::this_thread::sleep_for(Bench::Quick() ? 4s : 10s);
    AddSpan(measures, "agent at rest", agent.read(), true, true);
    AddSpan(measures, "entry at rest", entry.read(), false, true);
  }
  LoadTool::LoadConfig load = fleet.through("/urgent");
  load.mPerSecond = 500;
  load.mLength = Bench::Quick() ? 3s : 10s;
  const Meter agent(fleet.agent());
  const Meter entry(fleet.entry());
  const LoadTool::LoadResult result = LoadTool::RunLoad(load);
  AddSpan(measures, "agent under load", agent.read(), true, false);
  AddSpan(measures, "entry under load", entry.read(), false, false);
  measures.push_back({ "resources: requests answered under load, of those sent",
                       "requests",
                       static_cast<double>(result.mAnswered),
                       static_cast<double>(result.mSent),
                       Bench::Bound::AtLeast,
                       0.95 });
  return measures;
}

const Bench::Registration kResources("resources", MeasureResources);

} // namespace

} // namespace ProcessBench
