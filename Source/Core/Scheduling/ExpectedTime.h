#pragma once

#include "Scheduling/Schedule.h"

/// Expected run time of a task on a worker: the learned run time near its data, the distance of the
/// worker to the data, and the worker's speed.
namespace Scheduling {

/// True if the step names a rack for its data and the worker is in another one.
bool
IsAwayFromData(const StepSpec& aStep, const Worker& aWorker);

/// Multiple of the run time near the data that a task of the step takes on a sound worker there.
double
LocalityFactor(const SchedulerState& aState, const StepSpec& aStep, const Worker& aWorker);

/// The same for the present run of the task. All tasks of a gang take as long as the slowest.
double
LocalityFactorOfRun(const SchedulerState& aState, const TaskRef& aRef);

/// Median ratio of actual to expected run time in this lifetime of the worker; 1 while too few runs
/// have been observed.
double
SpeedRatio(const Worker& aWorker);

/// True if enough runs on the worker took much longer than expected.
bool
IsSlow(const Worker& aWorker);

/// True if the slow worker should get a single task, to show whether it is still slow.
bool
AllowsSpeedTrial(const SchedulerState& aState, const Worker& aWorker, const CurrentTime& aNow);

/// Expected run time of a task of the step on the worker. aColdRatio is the multiple of the run
/// time on a cold worker; 1 for a warm one.
Duration
ExpectedTimeOn(const SchedulerState& aState,
               const Job& aJob,
               std::uint32_t aStep,
               const Worker& aWorker,
               double aColdRatio = 1.0);

/// Adds a run that took aActual to the samples of the worker, if the task tells something about the
/// worker's speed. To be called before the run time is learned from the same run.
void
LearnSpeed(SchedulerState& aState, const TaskRef& aRef, Duration aActual);

} // namespace Scheduling
