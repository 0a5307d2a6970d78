#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

#include "Bench/Measure.h"
#include "Common/Random.h"
#include "Interference/Mitigation.h"
#include "Placement/Place.h"

using namespace std::chrono_literals;

namespace Bench {

namespace {

using Interference::TaskKind;

constexpr std::size_t kServiceKinds = 2;
constexpr std::size_t kBatchKinds = 8;
constexpr std::size_t kAllKinds = kServiceKinds + kBatchKinds;
constexpr std::size_t kWorkers = 60;
constexpr double kLag = 5;

struct Task
{
  std::uint64_t mId = 0;
  std::size_t mKind = 0;
  /// Seconds of work left at full speed.
  double mLeft = 0;
  /// Seconds of work when it was submitted.
  double mWork = 0;
  bool mThrottled = false;
};

struct Machine
{
  std::vector<Task> mTasks;
  Interference::MitigationState mLadder;
  Common::Timestamp mChanged;
  /// Reports on their way.
  std::deque<Interference::WorkerObservation> mReports;
};

struct Result
{
  double mEvictions = 0;
  double mThrottles = 0;
  double mP99Slowdown = 0;
  double mWork = 0;
};

/// A cell in virtual time: one service on each worker, batch tasks of eight kinds, and a slow-down
/// between kinds that the scheduler has to find out from reports that lag and are noisy.
class Cell
{
public:
  Cell(bool aAware, std::uint64_t aSeed)
    : mAware(aAware)
    , mRandom(aSeed)
    , mArrivals(aSeed + 1000)
    , mMachines(kWorkers)
    , mModel(Interference::MakeInterferenceModel())
  {
    for (std::size_t kind = 0; kind < kAllKinds; ++kind) {
      Interference::TaskKindForRoute(mModel, Common::RouteId("k" + std::to_string(kind)));
    }
    makeHidden();
    for (std::size_t i = 0; i < kWorkers; ++i) {
      const Placement::Resources total{ Common::MilliCores(16'000),
                                        Common::Bytes(std::int64_t{ 60 } << 30),
                                        {} };
      Placement::SetWorker(mIndex,
                           { Common::WorkerId("w" + std::to_string(i)),
                             Common::RackId("r" + std::to_string(i / 3)),
                             {},
                             {},
                             total });
      mMachines[i].mTasks.push_back({ ++mTasks, i % kServiceKinds, 1e18, 0, false });
    }
  }

  Result run(int aSeconds, int aWarmUp)
  {
    for (int second = 0; second < aSeconds; ++second) {
      mNow = Common::Timestamp(1h) + std::chrono::seconds(second);
      mCounted = second >= aWarmUp;
      arrive();
      for (std::size_t i = 0; i < kWorkers; ++i) {
        advance(i);
        report(i);
      }
    }
    std::sort(mSlowdowns.begin(), mSlowdowns.end());
    mResult.mP99Slowdown = mSlowdowns[mSlowdowns.size() * 99 / 100];
    return mResult;
  }

private:
  /// A quarter of the batch kinds are hard on services, another quarter on each other.
  void makeHidden()
  {
    Common::Random hidden(99);
    for (std::size_t victim = 0; victim < kAllKinds; ++victim) {
      for (std::size_t other = 0; other < kAllKinds; ++other) {
        const bool noisy =
          other >= kServiceKinds && other < kServiceKinds + 2 && victim < kServiceKinds;
        const bool rough = other >= kAllKinds - 2 && victim >= kAllKinds - 2;
        mHidden[victim][other] = other < kServiceKinds ? 0.02 : 0.01 + 0.02 * hidden.unit();
        if (noisy) {
          mHidden[victim][other] = (victim + other) % 2 == 0 ? 0.45 : 0.10;
        } else if (rough) {
          mHidden[victim][other] = 0.25;
        }
      }
    }
  }

  double slowdown(const Machine& aMachine, const Task& aTask) const
  {
    double sum = 0;
    for (const Task& other : aMachine.mTasks) {
      if (other.mId != aTask.mId) {
        sum += mHidden[aTask.mKind][other.mKind] * (other.mThrottled ? 0.5 : 1.0);
      }
    }
    return sum;
  }

  void arrive()
  {
    // About 60% of the fleet's cores at two cores a task and 120 s of work.
    for (double rate = 1.9; rate > 0; rate -= 1) {
      if (mArrivals.unit() < rate) {
        const double work = -120 * std::log(1 - mArrivals.unit());
        mQueue.push_back(
          { ++mTasks, kServiceKinds + mArrivals.below(kBatchKinds), work, work, false });
      }
    }
    for (std::size_t tries = mQueue.size(); tries > 0; --tries) {
      Task task = mQueue.front();
      mQueue.pop_front();
      if (!place(task)) {
        mQueue.push_back(task);
      }
    }
  }

  bool place(const Task& aTask)
  {
    // Services are worth more than batch work.
    static const std::vector<float> kWeights = { 1, 4, 4 };
    const std::function<double(Placement::WorkerNumber)> cost =
      [&](Placement::WorkerNumber aWorker) {
        std::vector<Interference::TaskKindCount> counts;
        for (const Task& task : mMachines[aWorker].mTasks) {
          counts.push_back({ modelKind(task.mKind), 1 });
        }
        return Interference::InterferenceCost(mModel, modelKind(aTask.mKind), counts, kWeights);
      };
    Placement::TaskRequest request;
    request.mReservationId = aTask.mId;
    request.mNeed = kNeed;
    request.mInterferenceCost = mAware ? &cost : nullptr;
    const auto worker = Placement::PlaceTask(mIndex, request, mPolicy, mRandom);
    if (!worker) {
      return false;
    }
    mMachines[*worker].mTasks.push_back(aTask);
    mMachines[*worker].mChanged = mNow;
    return true;
  }

  void advance(std::size_t aWorker)
  {
    Machine& machine = mMachines[aWorker];
    std::vector<std::uint64_t> done;
    for (Task& task : machine.mTasks) {
      const double slow = slowdown(machine, task);
      if (task.mKind < kServiceKinds) {
        if (mCounted) {
          mSlowdowns.push_back(slow);
        }
        continue;
      }
      const double progress = (task.mThrottled ? 0.5 : 1.0) / (1 + slow);
      task.mLeft -= progress;
      if (task.mLeft <= 0) {
        done.push_back(task.mId);
        // Work that an eviction makes necessary again is not counted.
        mResult.mWork += mCounted ? task.mWork : 0;
      }
    }
    for (const std::uint64_t id : done) {
      remove(aWorker, id);
    }
  }

  Task remove(std::size_t aWorker, std::uint64_t aId)
  {
    Machine& machine = mMachines[aWorker];
    const auto found = std::find_if(machine.mTasks.begin(),
                                    machine.mTasks.end(),
                                    [&](const Task& aTask) { return aTask.mId == aId; });
    const Task task = *found;
    machine.mTasks.erase(found);
    machine.mChanged = mNow;
    const auto worker = static_cast<Placement::WorkerNumber>(aWorker);
    Placement::Release(mIndex, worker, aId);
    return task;
  }

  static TaskKind modelKind(std::size_t aKind) { return static_cast<TaskKind>(aKind + 1); }

  void report(std::size_t aWorker)
  {
    Machine& machine = mMachines[aWorker];
    Interference::WorkerObservation view;
    view.mAsOf = mNow;
    view.mStableSince = machine.mChanged;
    for (const Task& task : machine.mTasks) {
      Interference::TaskObservation& seen = view.mTasks.emplace_back();
      seen.mTask = task.mId;
      seen.mKind = modelKind(task.mKind);
      seen.mProtected = task.mKind < kServiceKinds;
      seen.mEvictionLoss = 10s;
      seen.mThrottled = task.mThrottled;
      const double noise = 0.9 + 0.2 * mRandom.unit();
      seen.mProgressRate = static_cast<float>(10 * noise * (task.mThrottled ? 0.5 : 1.0) /
                                              (1 + slowdown(machine, task)));
    }
    machine.mReports.push_back(std::move(view));
    if (static_cast<double>(machine.mReports.size()) <= kLag) {
      return;
    }
    const Interference::WorkerObservation late = std::move(machine.mReports.front());
    machine.mReports.pop_front();
    learn(machine, late);
    act(aWorker, late);
  }

  /// Reports that hold a throttled task are left out, because its neighbours feel only part of it.
  void learn(const Machine&, const Interference::WorkerObservation& aView)
  {
    Interference::WorkerSample sample;
    sample.mAsOf = aView.mAsOf;
    sample.mStableSince = aView.mStableSince;
    for (const Interference::TaskObservation& task : aView.mTasks) {
      if (task.mThrottled) {
        return;
      }
      sample.mTasks.push_back({ task.mKind, task.mProgressRate, false });
    }
    Interference::UpdateEstimate(mModel, sample);
  }

  void act(std::size_t aWorker, const Interference::WorkerObservation& aView)
  {
    Machine& machine = mMachines[aWorker];
    const auto action =
      Interference::ChooseMitigation(machine.mLadder, mModel, aView, mLadderPolicy, mNow);
    if (!action) {
      return;
    }
    const auto found = std::find_if(machine.mTasks.begin(),
                                    machine.mTasks.end(),
                                    [&](const Task& aTask) { return aTask.mId == action->mTask; });
    if (found == machine.mTasks.end()) {
      return;
    }
    if (action->mKind == Interference::MitigationActionKind::Evict ||
        action->mKind == Interference::MitigationActionKind::Stop) {
      Task task = remove(aWorker, action->mTask);
      // The checkpoint and the restart cost ten seconds of work.
      task.mLeft += 10;
      task.mThrottled = false;
      mResult.mEvictions += mCounted ? 1 : 0;
      mQueue.push_back(task);
      return;
    }
    found->mThrottled = action->mKind == Interference::MitigationActionKind::Throttle;
    mResult.mThrottles += mCounted && found->mThrottled ? 1 : 0;
    machine.mChanged = mNow;
  }

  static constexpr Placement::Resources kNeed{ Common::MilliCores(2000),
                                               Common::Bytes(std::int64_t{ 6 } << 30),
                                               {} };

  bool mAware;
  Common::Random mRandom;
  /// Apart from the rest, so that both policies are offered the same work.
  Common::Random mArrivals;
  std::vector<Machine> mMachines;
  Interference::InterferenceModel mModel;
  Interference::MitigationPolicy mLadderPolicy;
  Placement::WorkerIndex mIndex;
  Placement::PlacementPolicy mPolicy;
  std::deque<Task> mQueue;
  std::uint64_t mTasks = 0;
  Common::Timestamp mNow;
  bool mCounted = false;
  double mHidden[kAllKinds][kAllKinds] = {};
  std::vector<double> mSlowdowns;
  Result mResult;
};

Measures
RunInterference()
{
  const int seconds = Quick() ? 2400 : 7200;
  Result aware;
  Result ignoring;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const auto add = [](Result& aSum, const Result& aOne) {
      aSum.mEvictions += aOne.mEvictions;
      aSum.mThrottles += aOne.mThrottles;
      aSum.mP99Slowdown += aOne.mP99Slowdown / 3;
      aSum.mWork += aOne.mWork;
    };
    add(aware, Cell(true, seed).run(seconds, 600));
    add(ignoring, Cell(false, seed).run(seconds, 600));
  }
  Measures measures;
  const std::string tail = ", against placement that ignores interference";
  measures.push_back(
    { "evictions" + tail, "evictions", aware.mEvictions, ignoring.mEvictions, Bound::AtMost, 0.5 });
  measures.push_back({ "throttles" + tail, "throttles", aware.mThrottles, ignoring.mThrottles });
  measures.push_back({ "p99 slow-down of services" + tail,
                       "",
                       aware.mP99Slowdown,
                       ignoring.mP99Slowdown,
                       Bound::AtMost,
                       0.5 });
  measures.push_back(
    { "batch work done" + tail, "s", aware.mWork, ignoring.mWork, Bound::AtLeast, 0.99 });
  return measures;
}

const Registration kInterference{ "batch-interference", RunInterference };

} // namespace

} // namespace Bench
