#include <algorithm>
#include <set>

#include "Scheduling/NearPlaces.h"

namespace Scheduling {

bool
PlaceGang(SchedulerState& aState,
          NearPlaces& aPlaces,
          const ReadyStep& aReady,
          const QueueSpec& aQueue,
          StartBudget* aBudget,
          const CurrentTime& aNow)
{
  Step& step = StepAt(FirstTask(aReady));
  if (step.mWaitingTasks != step.mTasks.size()) {
    // Some tasks of the previous run have not ended.
    return true;
  }
  std::set<std::string> racks{ "" };
  if (aReady.mJob->mSpec.mSteps[aReady.mStep].mSameRack) {
    for (const Worker& worker : aState.mWorkers) {
      racks.insert(worker.mRack.str());
    }
    // The empty name stands for any rack. It comes last, because tasks on several racks take
    // longer.
    racks.erase("");
  }
  std::vector<std::string> rackChoices(racks.begin(), racks.end());
  if (rackChoices.empty() || !rackChoices.front().empty()) {
    rackChoices.emplace_back();
  }
  // Near the data first.
  const std::string& dataRack = aReady.mJob->mSpec.mSteps[aReady.mStep].mDataRack;
  std::stable_partition(rackChoices.begin(), rackChoices.end(), [&](const std::string& aRack) {
    return !aRack.empty() && aRack == dataRack;
  });
  RunNumber run = aState.mRunBase;
  // The checkpoint of any task is valid for the whole gang, and all tasks must start from the same
  // one.
  std::string checkpoint;
  for (const auto& [index, task] : step.mTasks.own()) {
    run = std::max(run, task.mRun);
    if (checkpoint.empty()) {
      checkpoint = task.mCheckpoint;
    }
  }
  run = run + RunNumber{ 1 };
  for (const std::string& rack : rackChoices) {
    if (rack.empty() && GangWaits(aState, aPlaces, aReady, aQueue, aNow)) {
      return true;
    }
    std::uint32_t placed = 0;
    for (; placed < step.mTasks.size(); ++placed) {
      const WorkerNumber worker = BestWorker(aState, aReady, aQueue, placed, rack, aNow);
      if (worker == kNoWorker) {
        break;
      }
      AssignToWorker(aState,
                     { aReady.mJob, aReady.mOccurrence, aReady.mStep, placed },
                     worker,
                     TaskPhase::Starting,
                     aNow);
    }
    if (placed == step.mTasks.size()) {
      for (std::uint32_t i = 0; i < placed; ++i) {
        const TaskRef ref{ aReady.mJob, aReady.mOccurrence, aReady.mStep, i };
        step.mTasks[i].mCheckpoint = checkpoint;
        ChargeStart(aState, ref, aBudget);
        NoteStart(aState, aPlaces, ref, aNow);
        OrderStart(aState, ref, run, aNow);
      }
      return true;
    }
    for (std::uint32_t i = 0; i < placed; ++i) {
      SetWaiting(aState, { aReady.mJob, aReady.mOccurrence, aReady.mStep, i }, aNow);
      step.mTasks.dropIfNew(i);
    }
  }
  return false;
}

} // namespace Scheduling
