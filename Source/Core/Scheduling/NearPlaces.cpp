#include "Scheduling/NearPlaces.h"

#include <algorithm>
#include <set>

#include "Scheduling/ExpectedTime.h"

namespace Scheduling {

namespace {

std::int64_t
Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

/// Resources that the task holds, as far as they count for tasks of the kind of the forecast.
Common::Resources
HeldBy(const StepSpec& aStep, bool aForBestEffort)
{
  return aForBestEffort ? aStep.mNeed : ReservedBy(aStep);
}

WorkerForecast
ForecastOf(const SchedulerState& aState,
           WorkerNumber aWorker,
           bool aForBestEffort,
           const CurrentTime& aNow)
{
  const Worker& worker = aState.mWorkers[aWorker];
  Common::Resources free = worker.mCapacity - worker.mUsed;
  if (aForBestEffort) {
    free.mCores = Common::MilliCores{ CoresLeftForBestEffort(aState, worker) };
  }
  // A worker that refused a start gets none for a moment.
  const Duration pause = std::max(worker.mNoStartsUntil - aNow.mMonotonic, Duration{ 0 });
  WorkerForecast forecast{ aWorker, { { pause, free } } };
  for (const TaskRef& ref : worker.mTasks) {
    const StepSpec& step = StepSpecOf(ref);
    if (step.mLongRunning) {
      continue;
    }
    const Task& task = TaskAt(ref);
    const RunState run{ aNow.mMonotonic - task.mPhaseSince,
                        ExpectedTimeOn(aState, *ref.mJob, ref.mStep, worker),
                        task.mPercent,
                        aNow.mMonotonic - task.mProgressedAt };
    forecast.mReleases.push_back(
      { std::max(ExpectedRemaining(run), pause), HeldBy(step, aForBestEffort) });
  }
  std::stable_sort(forecast.mReleases.begin(),
                   forecast.mReleases.end(),
                   [](const ExpectedRelease& aLeft, const ExpectedRelease& aRight) {
                     return aLeft.mAfter < aRight.mAfter;
                   });
  return forecast;
}

RackForecast&
ForecastOf(const SchedulerState& aState,
           NearPlaces& aPlaces,
           const Common::RackId& aRack,
           bool aForBestEffort,
           const CurrentTime& aNow)
{
  const auto [entry, isNew] = aPlaces.mForecasts.try_emplace({ aRack, aForBestEffort });
  if (isNew) {
    for (WorkerNumber number = 0; number < aState.mWorkers.size(); ++number) {
      const Worker& worker = aState.mWorkers[number];
      if (worker.mRack == aRack && worker.mConnected && !worker.mLifetimeEnded) {
        entry->second.mWorkers.push_back(ForecastOf(aState, number, aForBestEffort, aNow));
      }
    }
  }
  return entry->second;
}

/// True if the worker will run a task of the step once it has capacity, as far as is known now.
bool
IsWorthWaitingFor(const SchedulerState& aState,
                  WorkerNumber aWorker,
                  const ReadyStep& aReady,
                  const QueueSpec& aQueue,
                  const CurrentTime& aNow)
{
  const Worker& worker = aState.mWorkers[aWorker];
  const StepSpec& step = aReady.mJob->mSpec.mSteps[aReady.mStep];
  if (!CanEverHost(aState, worker, step, aQueue) || IsQuarantined(worker, aNow) ||
      !worker.mRecorded || worker.mSuspensionMayBeRecorded || !worker.mResponding ||
      worker.mHasUnknownRun || aNow.mMonotonic >= worker.mLeaseEnd ||
      HostsTrial(aState, worker, aNow)) {
    return false;
  }
  if (aQueue.mAdvice && !HasTicket(StepAt(FirstTask(aReady)), aWorker, aNow)) {
    return false;
  }
  if (step.mMaxPerWorker != 0 &&
      TasksOfStepOn(worker, aReady.mJob, aReady.mOccurrence, aReady.mStep) >= step.mMaxPerWorker) {
    return false;
  }
  // When long-running tasks will have room for more pressure is not known.
  const double cores = static_cast<double>(step.mNeed.mCores.value()) / 1000.0;
  return !step.mBestEffort || AddedPressureFits(aState, worker, step.mImage, cores);
}

/// The workers of the rack that are worth waiting for, with the run times near the data.
std::vector<NearWorker>
NearWorkersOf(const SchedulerState& aState,
              const Common::RackId& aRack,
              const ReadyStep& aReady,
              const QueueSpec& aQueue,
              const CurrentTime& aNow)
{
  std::vector<NearWorker> near;
  for (WorkerNumber number = 0; number < aState.mWorkers.size(); ++number) {
    const Worker& worker = aState.mWorkers[number];
    if (worker.mRack == aRack && IsWorthWaitingFor(aState, number, aReady, aQueue, aNow)) {
      near.push_back({ number, ExpectedTimeOn(aState, *aReady.mJob, aReady.mStep, worker) });
    }
  }
  return near;
}

/// Time that the tasks of the step have waited for a place near their data.
Duration
WaitedFor(const Step& aStep, const CurrentTime& aNow)
{
  return aStep.mPlaceWaitSince == Timestamp{} ? Duration{ 0 }
                                              : aNow.mMonotonic - aStep.mPlaceWaitSince;
}

void
NoteWait(SchedulerState& aState,
         const ReadyStep& aReady,
         const std::string& aRack,
         std::uint32_t aWaiting,
         Duration aExpected,
         Duration aGain,
         const CurrentTime& aNow)
{
  Step& step = StepAt(FirstTask(aReady));
  if (step.mPlaceWaitSince == Timestamp{}) {
    step.mPlaceWaitSince = aNow.mMonotonic;
    ++aState.mCounts.mPlaceWaits;
  }
  if (step.mPlaceWaitLoggedAt != Timestamp{} &&
      aNow.mMonotonic - step.mPlaceWaitLoggedAt < aState.mPolicy.mPlaceWaitLogInterval) {
    return;
  }
  step.mPlaceWaitLoggedAt = aNow.mMonotonic;
  aState.mLogEntries.push_back({ "tasks wait for a place near their data",
                                 aReady.mJob->mSpec.mJob,
                                 std::to_string(aReady.mOccurrence) + '.' +
                                   std::to_string(aReady.mStep) + ' ' + std::to_string(aWaiting) +
                                   " waiting, rack " + aRack + ", expected wait " +
                                   std::to_string(Milliseconds(aExpected)) + " ms, gain " +
                                   std::to_string(Milliseconds(aGain)) + " ms" });
}

/// Lets other work avoid the rack for a while.
void
MarkWanted(SchedulerState& aState, const Common::RackId& aRack, const CurrentTime& aNow)
{
  aState.mWantedRacks[aRack] = aNow.mMonotonic + aState.mPolicy.mRackWantedTime;
}

/// The racks on which the gang runs at its normal pace.
std::set<Common::RackId>
RacksForGang(const SchedulerState& aState, const StepSpec& aStep)
{
  if (!aStep.mDataRack.empty()) {
    return { Common::RackId(aStep.mDataRack) };
  }
  std::set<Common::RackId> racks;
  for (const Worker& worker : aState.mWorkers) {
    if (aStep.mSameRack && !worker.mRack.empty()) {
      racks.insert(worker.mRack);
    }
  }
  return racks;
}

} // namespace

NearPlaces
BeginNearPlaces(SchedulerState& aState, const CurrentTime& aNow)
{
  std::erase_if(aState.mWantedRacks,
                [&](const auto& aEntry) { return aEntry.second <= aNow.mMonotonic; });
  NearPlaces places;
  places.mMayWait = aState.mPolicy.mRemoteFactor > 1.0 && !AwaitsRecordedWorkers(aState, aNow);
  return places;
}

StepWait::StepWait(SchedulerState& aState,
                   NearPlaces& aPlaces,
                   const ReadyStep& aReady,
                   const QueueSpec& aQueue,
                   const CurrentTime& aNow)
  : mState(aState)
  , mPlaces(aPlaces)
  , mReady(aReady)
  , mQueue(aQueue)
  , mNow(aNow)
  , mIsOver(!aPlaces.mMayWait || aReady.mJob->mSpec.mSteps[aReady.mStep].mDataRack.empty() ||
            aReady.mJob->mSpec.mSteps[aReady.mStep].mLongRunning)
{
}

bool
StepWait::canWait(std::uint32_t aIndex) const
{
  const TaskRef ref{ mReady.mJob, mReady.mOccurrence, mReady.mStep, aIndex };
  const Task& task = TaskAt(ref);
  // A task that failed may have failed because of a worker near its data.
  return task.mAvoidedWorker == kNoWorker && !NeedsTrial(ref) &&
         (!StepSpecOf(ref).mBestEffort ||
          StarvationOf(mState, mReady, mQueue, task, mNow) == Starvation::None);
}

void
StepWait::collectNearWorkers()
{
  const StepSpec& step = mReady.mJob->mSpec.mSteps[mReady.mStep];
  mNear = NearWorkersOf(mState, Common::RackId(step.mDataRack), mReady, mQueue, mNow);
  mIsPrepared = true;
}

bool
StepWait::waits(std::uint32_t aIndex, WorkerNumber aRemote)
{
  const StepSpec& step = mReady.mJob->mSpec.mSteps[mReady.mStep];
  if (mIsOver || !IsAwayFromData(step, mState.mWorkers[aRemote]) || !canWait(aIndex)) {
    return false;
  }
  if (!mIsPrepared) {
    collectNearWorkers();
  }
  const Common::RackId rack(step.mDataRack);
  RackForecast& forecast = ForecastOf(mState, mPlaces, rack, step.mBestEffort, mNow);
  const Common::Resources need = HeldBy(step, step.mBestEffort);
  const std::optional<ExpectedSlot> slot = EarliestSlot(forecast, need, mNear);
  MarkWanted(mState, rack, mNow);
  if (!slot) {
    mIsOver = true;
    return false;
  }
  const WaitChoice choice{
    slot->mAfter,
    WaitedFor(StepAt(FirstTask(mReady)), mNow),
    slot->mNear.mRunTime,
    ExpectedTimeOn(mState, *mReady.mJob, mReady.mStep, mState.mWorkers[aRemote]),
  };
  // A place that is free now was passed over for another reason, which a wait does not change.
  if (slot->mAfter <= Duration::zero() || !PaysToWait(choice)) {
    mIsOver = true;
    return false;
  }
  TakeSlot(forecast, *slot, need);
  ++mWaiting;
  mLongestWait = std::max(mLongestWait, slot->mAfter);
  mGain = choice.mRemoteTime - choice.mNearTime;
  return true;
}

void
StepWait::finish()
{
  if (mWaiting > 0) {
    const std::string& rack = mReady.mJob->mSpec.mSteps[mReady.mStep].mDataRack;
    NoteWait(mState, mReady, rack, mWaiting, mLongestWait, mGain, mNow);
  }
}

bool
GangWaits(SchedulerState& aState,
          NearPlaces& aPlaces,
          const ReadyStep& aReady,
          const QueueSpec& aQueue,
          const CurrentTime& aNow)
{
  const StepSpec& step = aReady.mJob->mSpec.mSteps[aReady.mStep];
  const Task& first = StepAt(FirstTask(aReady)).mTasks.at(0);
  if (!aPlaces.mMayWait || step.mLongRunning || first.mAvoidedWorker != kNoWorker ||
      (step.mBestEffort && StarvationOf(aState, aReady, aQueue, first, aNow) != Starvation::None)) {
    return false;
  }
  const Common::Resources need = HeldBy(step, step.mBestEffort);
  std::optional<Duration> wait;
  Common::RackId rack;
  std::vector<NearWorker> near;
  for (const Common::RackId& candidate : RacksForGang(aState, step)) {
    const auto workers = NearWorkersOf(aState, candidate, aReady, aQueue, aNow);
    const auto after =
      EarliestGangSlot(ForecastOf(aState, aPlaces, candidate, step.mBestEffort, aNow),
                       need,
                       step.mTaskCount,
                       workers);
    if (after && (!wait || *after < *wait)) {
      wait = after;
      rack = candidate;
      near = workers;
    }
  }
  const Duration nearTime = ExpectedRunTime(aState, *aReady.mJob, aReady.mStep);
  const auto remoteTime =
    std::chrono::duration_cast<Duration>(nearTime * aState.mPolicy.mRemoteFactor);
  if (!wait || *wait <= Duration::zero() ||
      !PaysToWait({ *wait, WaitedFor(StepAt(FirstTask(aReady)), aNow), nearTime, remoteTime })) {
    return false;
  }
  MarkWanted(aState, rack, aNow);
  RackForecast& forecast = ForecastOf(aState, aPlaces, rack, step.mBestEffort, aNow);
  for (std::uint32_t i = 0; i < step.mTaskCount; ++i) {
    if (const auto slot = EarliestSlot(forecast, need, near)) {
      TakeSlot(forecast, { slot->mNear, std::max(slot->mAfter, *wait) }, need);
    }
  }
  NoteWait(aState, aReady, rack.str(), step.mTaskCount, *wait, remoteTime - nearTime, aNow);
  return true;
}

void
NoteStart(SchedulerState& aState, NearPlaces& aPlaces, const TaskRef& aRef, const CurrentTime& aNow)
{
  const StepSpec& step = StepSpecOf(aRef);
  const WorkerNumber number = TaskAt(aRef).mWorker;
  const Worker& worker = aState.mWorkers[number];
  const Duration runTime = ExpectedTimeOn(aState, *aRef.mJob, aRef.mStep, worker);
  for (const bool bestEffort : { false, true }) {
    if (const auto found = aPlaces.mForecasts.find({ worker.mRack, bestEffort });
        found != aPlaces.mForecasts.end()) {
      TakeSlot(found->second,
               { { number, runTime }, Duration{ 0 } },
               HeldBy(step, bestEffort),
               !step.mLongRunning);
    }
  }
  if (!step.mDataRack.empty() || (step.mGang && step.mSameRack)) {
    const bool isRemote =
      IsAwayFromData(step, worker) || (step.mGang && LocalityFactorOfRun(aState, aRef) > 1.0);
    ++(isRemote ? aState.mCounts.mRemoteStarts : aState.mCounts.mNearStarts);
  }
  aState.mCounts.mPlaceWaitTime += WaitedFor(StepAt(aRef), aNow);
}

} // namespace Scheduling
