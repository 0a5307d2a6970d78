#pragma once

#include <map>
#include <utility>

#include "Scheduling/PlaceWait.h"
#include "Scheduling/Placement.h"

/// Waits for places near the data within one placement round.
namespace Scheduling {

/// What the round expects of the racks that tasks want, with the places that tasks ahead in the
/// order took or wait for. Forecasts are made when they are first needed.
struct NearPlaces
{
  /// False while no task may wait: there is no remote factor, or the ends of the runs on recorded
  /// workers are not known yet.
  bool mMayWait = false;
  /// By rack, and whether for best-effort tasks, which take cores that others reserve.
  std::map<std::pair<Common::RackId, bool>, RackForecast> mForecasts;
};

/// To be called at the beginning of a round.
NearPlaces
BeginNearPlaces(SchedulerState& aState, const CurrentTime& aNow);

/// Decides for the tasks of one step, in their order, whether they wait.
class StepWait
{
public:
  StepWait(SchedulerState& aState,
           NearPlaces& aPlaces,
           const ReadyStep& aReady,
           const QueueSpec& aQueue,
           const CurrentTime& aNow);

  /// True if the task waits for a place near its data, although it could start on aRemote now.
  bool waits(std::uint32_t aIndex, WorkerNumber aRemote);
  /// To be called once all tasks of the step have been decided; counts and logs the waits.
  void finish();

private:
  bool canWait(std::uint32_t aIndex) const;
  void collectNearWorkers();

  SchedulerState& mState;
  NearPlaces& mPlaces;
  const ReadyStep& mReady;
  const QueueSpec& mQueue;
  const CurrentTime& mNow;
  std::vector<NearWorker> mNear;
  bool mIsPrepared = false;
  /// A task did not wait; the turns of those after it come later.
  bool mIsOver = false;
  std::uint32_t mWaiting = 0;
  Duration mLongestWait{ 0 };
  Duration mGain{ 0 };
};

/// True if the gang, whose tasks have to be on one rack or near their data, waits for that although
/// it might start elsewhere now.
bool
GangWaits(SchedulerState& aState,
          NearPlaces& aPlaces,
          const ReadyStep& aReady,
          const QueueSpec& aQueue,
          const CurrentTime& aNow);

/// To be called once the task has been assigned to a worker: updates the forecasts and the counters
/// of near and remote starts.
void
NoteStart(SchedulerState& aState,
          NearPlaces& aPlaces,
          const TaskRef& aRef,
          const CurrentTime& aNow);

} // namespace Scheduling
