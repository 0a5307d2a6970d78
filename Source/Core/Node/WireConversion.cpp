#include "Node/WireConversion.h"

namespace Node {

namespace {

/// Size of the record of the learned models, well below the largest value of the store, and that of
/// one of its rows without names.
constexpr std::size_t kMaxModelBytes = 512 << 10;
constexpr std::size_t kModelRowBytes = 40;

std::int64_t
Millis(Common::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

Wire::StepSpec
ToWire(const Scheduling::StepSpec& aStep)
{
  Wire::StepSpec step;
  step.tasks = static_cast<std::int32_t>(aStep.mTaskCount);
  step.milliCores = aStep.mNeed.mCores.value();
  step.memoryMb = aStep.mNeed.mMemory.value() / Common::kMib;
  step.accelerators = static_cast<std::int32_t>(aStep.mNeed.mAccelerators.value());
  step.estimateMs = Millis(aStep.mEstimatedRunTime);
  step.after.assign(aStep.mDependencies.begin(), aStep.mDependencies.end());
  step.checkpoints = aStep.mCheckpoints;
  step.gang = aStep.mGang;
  step.sameRack = aStep.mSameRack;
  step.label = aStep.mLabel;
  step.dataRack = aStep.mDataRack;
  step.maxPerWorker = static_cast<std::int32_t>(aStep.mMaxPerWorker);
  step.speculative = aStep.mSpeculative;
  step.lasting = aStep.mLongRunning;
  step.image = aStep.mImage;
  step.tailTargetMs = Millis(aStep.mTailLatencyTarget);
  step.fills = aStep.mBestEffort;
  step.mayMiss = static_cast<std::int32_t>(aStep.mMaxUnavailable);
  return step;
}

Scheduling::StepSpec
FromWire(const Wire::StepSpec& aStep)
{
  Scheduling::StepSpec step;
  step.mTaskCount = static_cast<std::uint32_t>(aStep.tasks);
  step.mNeed.mCores = Common::MilliCores{ aStep.milliCores };
  step.mNeed.mMemory = Common::Bytes{ aStep.memoryMb * Common::kMib };
  step.mNeed.mAccelerators = Common::Accelerators{ aStep.accelerators };
  step.mEstimatedRunTime = std::chrono::milliseconds(aStep.estimateMs);
  step.mDependencies.assign(aStep.after.begin(), aStep.after.end());
  step.mCheckpoints = aStep.checkpoints;
  step.mGang = aStep.gang;
  step.mSameRack = aStep.sameRack;
  step.mLabel = aStep.label;
  step.mDataRack = aStep.dataRack;
  step.mMaxPerWorker = static_cast<std::uint32_t>(aStep.maxPerWorker);
  step.mSpeculative = aStep.speculative;
  step.mLongRunning = aStep.lasting;
  step.mImage = aStep.image;
  step.mTailLatencyTarget = std::chrono::milliseconds(aStep.tailTargetMs);
  step.mBestEffort = aStep.fills;
  step.mMaxUnavailable = static_cast<std::uint32_t>(aStep.mayMiss);
  return step;
}

void
AddQueue(Wire::JobRecord& aRecord, const Scheduling::QueueSpec& aQueue)
{
  aRecord.pool = aQueue.mPool.str();
  aRecord.priority = aQueue.mPriority;
  aRecord.maxAttempts = static_cast<std::int32_t>(aQueue.mMaxAttempts);
  aRecord.stretchFactor = aQueue.mStretchFactor;
  aRecord.slackMs = Millis(aQueue.mSlack);
  aRecord.needsTicket = aQueue.mAdvice.has_value();
  if (aQueue.mAdvice) {
    aRecord.adviceDecisionMicros = aQueue.mAdvice->mDecisionTime.count();
    aRecord.adviceMicrosPerWorker = aQueue.mAdvice->mTimePerWorker.count();
    aRecord.ticketLifetimeMicros = aQueue.mAdvice->mTicketLifetime.count();
  }
}

std::optional<Scheduling::QueueSpec>
QueueOf(const Wire::JobRecord& aRecord)
{
  if (aRecord.pool.empty()) {
    return std::nullopt;
  }
  Scheduling::QueueSpec queue;
  queue.mName = Common::RouteId(aRecord.queue);
  queue.mPool = Common::PoolId(aRecord.pool);
  queue.mPriority = aRecord.priority;
  queue.mMaxAttempts = static_cast<std::uint32_t>(aRecord.maxAttempts);
  queue.mStretchFactor = aRecord.stretchFactor;
  queue.mSlack = std::chrono::milliseconds(aRecord.slackMs);
  if (aRecord.needsTicket) {
    queue.mAdvice = Scheduling::AdviceTimes{ Common::Duration(aRecord.adviceDecisionMicros),
                                             Common::Duration(aRecord.adviceMicrosPerWorker),
                                             Common::Duration(aRecord.ticketLifetimeMicros) };
  }
  return queue;
}

} // namespace

Wire::JobRecord
ToRecord(const Scheduling::JobSpec& aJob)
{
  Wire::JobRecord record;
  record.job = aJob.mJob.str();
  record.queue = aJob.mQueue.str();
  record.payload = aJob.mPayload;
  for (const auto& step : aJob.mSteps) {
    record.steps.push_back(ToWire(step));
  }
  record.repeats = static_cast<std::int32_t>(aJob.mRepeats);
  record.firstRunUnixMs = aJob.mFirstRun.count();
  record.intervalMs = aJob.mInterval.count();
  record.acceptedUnixMs = aJob.mAccepted.count();
  if (aJob.mAcceptedQueue) {
    AddQueue(record, *aJob.mAcceptedQueue);
  }
  return record;
}

Scheduling::JobSpec
FromRecord(const Wire::JobRecord& aRecord)
{
  Scheduling::JobSpec job;
  job.mJob = Common::JobId(aRecord.job);
  job.mQueue = Common::RouteId(aRecord.queue);
  job.mAcceptedQueue = QueueOf(aRecord);
  job.mPayload = aRecord.payload;
  for (const auto& step : aRecord.steps) {
    job.mSteps.push_back(FromWire(step));
  }
  job.mRepeats = static_cast<std::uint32_t>(aRecord.repeats);
  job.mFirstRun = Common::UnixMillis{ aRecord.firstRunUnixMs };
  job.mInterval = Common::UnixMillis{ aRecord.intervalMs };
  job.mAccepted = Common::UnixMillis{ aRecord.acceptedUnixMs };
  return job;
}

Wire::ProgressRecord
ToRecord(const Scheduling::Progress& aProgress)
{
  Wire::ProgressRecord record;
  record.state = static_cast<std::int32_t>(aProgress.mState);
  record.endedUnixMs = aProgress.mEndedAt.count();
  for (const Scheduling::OccurrenceRange& range : aProgress.mEndedOccurrences) {
    Wire::OccurrenceRange row;
    row.first = static_cast<std::int32_t>(range.mFirst);
    row.last = static_cast<std::int32_t>(range.mLast);
    record.endedOccurrences.push_back(row);
  }
  for (const auto& step : aProgress.mSteps) {
    Wire::StepProgress row;
    row.occurrence = static_cast<std::int32_t>(step.mOccurrence);
    row.step = static_cast<std::int32_t>(step.mStep);
    row.done = step.mDone;
    for (const auto& task : step.mTasks) {
      Wire::TaskProgress item;
      item.index = static_cast<std::int32_t>(task.mIndex);
      item.done = task.mDone;
      for (const Scheduling::RunNumber run : task.mFailedRuns) {
        item.failedRuns.push_back(static_cast<std::int32_t>(run.value()));
      }
      item.checkpoint = task.mCheckpoint;
      item.clearedRun = static_cast<std::int32_t>(task.mClearedRun.value());
      for (const Scheduling::SuspectedCrash& crash : task.mCrashes) {
        Wire::Crash entry;
        entry.run = static_cast<std::int32_t>(crash.mRun.value());
        entry.instance = crash.mInstance.str();
        entry.conclusive = crash.mIsConclusive;
        item.crashes.push_back(std::move(entry));
      }
      row.tasks.push_back(std::move(item));
    }
    record.steps.push_back(std::move(row));
  }
  return record;
}

Scheduling::Progress
FromRecord(const Wire::ProgressRecord& aRecord)
{
  Scheduling::Progress progress;
  progress.mState = static_cast<Scheduling::JobState>(aRecord.state);
  progress.mEndedAt = Common::UnixMillis{ aRecord.endedUnixMs };
  for (const Wire::OccurrenceRange& row : aRecord.endedOccurrences) {
    progress.mEndedOccurrences.push_back(
      { static_cast<std::uint32_t>(row.first), static_cast<std::uint32_t>(row.last) });
  }
  for (const auto& row : aRecord.steps) {
    Scheduling::StepProgress step;
    step.mOccurrence = static_cast<std::uint32_t>(row.occurrence);
    step.mStep = static_cast<std::uint32_t>(row.step);
    step.mDone = row.done;
    for (const auto& item : row.tasks) {
      Scheduling::TaskProgress task{
        static_cast<std::uint32_t>(item.index),  item.done, {}, item.checkpoint, {},
        Scheduling::RunNumber{ item.clearedRun }
      };
      for (const auto& crash : item.crashes) {
        task.mCrashes.push_back({ Scheduling::RunNumber{ crash.run },
                                  Common::InstanceId(crash.instance),
                                  crash.conclusive });
      }
      for (const std::int32_t run : item.failedRuns) {
        task.mFailedRuns.emplace_back(run);
      }
      step.mTasks.push_back(std::move(task));
    }
    progress.mSteps.push_back(std::move(step));
  }
  return progress;
}

Wire::TaskName
ToWire(const Scheduling::TaskName& aTask)
{
  Wire::TaskName name;
  name.job = aTask.mJob.str();
  name.occurrence = static_cast<std::int32_t>(aTask.mOccurrence);
  name.step = static_cast<std::int32_t>(aTask.mStep);
  name.index = static_cast<std::int32_t>(aTask.mIndex);
  return name;
}

Scheduling::TaskName
FromWire(const Wire::TaskName& aTask)
{
  return { Common::JobId(aTask.job),
           static_cast<std::uint32_t>(aTask.occurrence),
           static_cast<std::uint32_t>(aTask.step),
           static_cast<std::uint32_t>(aTask.index) };
}

Wire::WorkerView
ToWire(const Scheduling::WorkerView& aView)
{
  Wire::WorkerView view;
  view.worker = aView.mLifetime.mWorker.str();
  view.born = aView.mLifetime.mStartedAt.value();
  view.address = aView.mAddress;
  view.pool = aView.mPool.str();
  view.rack = aView.mRack.str();
  view.labels = aView.mLabels;
  view.milliCores = aView.mCapacity.mCores.value();
  view.memoryMb = aView.mCapacity.mMemory.value() / Common::kMib;
  view.accelerators = static_cast<std::int32_t>(aView.mCapacity.mAccelerators.value());
  view.leaving = aView.mLeaving;
  view.remainingMs = Millis(aView.mRemaining);
  view.responding = aView.mResponding;
  view.listed = aView.mHasTaskList;
  view.listNumber = static_cast<std::int64_t>(aView.mTaskListNumber);
  view.leaseLeftMs = Millis(aView.mLeaseRemaining);
  view.endedCut = aView.mEndedListCut;
  view.awaitsHeartbeat = aView.mAwaitsHeartbeat;
  view.coldLeftMs = Millis(aView.mColdRemaining);
  for (const auto& row : aView.mRunning) {
    Wire::RunningTask task;
    task.task = ToWire(row.mTask);
    task.run = static_cast<std::int32_t>(row.mRun.value());
    task.checkpoint = row.mCheckpoint;
    task.percent = static_cast<std::int32_t>(row.mPercent.value());
    task.usage = row.mUsage;
    task.fresh = row.mIsFresh;
    view.running.push_back(std::move(task));
  }
  for (const auto& row : aView.mEnded) {
    Wire::EndedTask task;
    task.number = row.mNumber.value();
    task.task = ToWire(row.mTask);
    task.run = static_cast<std::int32_t>(row.mRun.value());
    task.how = static_cast<std::int32_t>(row.mKind);
    task.checkpoint = row.mCheckpoint;
    view.ended.push_back(std::move(task));
  }
  return view;
}

Scheduling::WorkerView
FromWire(const Wire::WorkerView& aView, const Common::DataCentreId& aDataCentre)
{
  Scheduling::WorkerView view;
  view.mLifetime = { Common::WorkerId(aView.worker), Scheduling::LifetimeStart{ aView.born } };
  view.mAddress = aView.address;
  view.mPool = Common::PoolId(aView.pool);
  view.mDataCentre = aDataCentre;
  view.mRack = Common::RackId(aView.rack);
  view.mLabels = aView.labels;
  view.mCapacity.mCores = Common::MilliCores{ aView.milliCores };
  view.mCapacity.mMemory = Common::Bytes{ aView.memoryMb * Common::kMib };
  view.mCapacity.mAccelerators = Common::Accelerators{ aView.accelerators };
  view.mLeaving = aView.leaving;
  view.mRemaining = std::chrono::milliseconds(aView.remainingMs);
  view.mResponding = aView.responding;
  view.mHasTaskList = aView.listed;
  view.mTaskListNumber = static_cast<std::uint64_t>(aView.listNumber);
  view.mLeaseRemaining = std::chrono::milliseconds(aView.leaseLeftMs);
  view.mEndedListCut = aView.endedCut;
  view.mAwaitsHeartbeat = aView.awaitsHeartbeat;
  view.mColdRemaining = std::chrono::milliseconds(aView.coldLeftMs);
  for (const auto& task : aView.running) {
    view.mRunning.push_back({ FromWire(task.task),
                              Scheduling::RunNumber{ task.run },
                              task.checkpoint,
                              Scheduling::Percent{ task.percent },
                              task.usage,
                              task.fresh });
  }
  for (const auto& task : aView.ended) {
    view.mEnded.push_back({ Scheduling::EndNumber{ task.number },
                            FromWire(task.task),
                            Scheduling::RunNumber{ task.run },
                            static_cast<Scheduling::EndKind>(task.how),
                            task.checkpoint });
  }
  return view;
}

Wire::ModelRecord
ToModelRecord(const Scheduling::SchedulerState& aState)
{
  Wire::ModelRecord record;
  std::size_t bytes = 0;
  const auto hasRoomFor = [&bytes](std::size_t aNameBytes) {
    bytes += aNameBytes + kModelRowBytes;
    return bytes <= kMaxModelBytes;
  };
  for (const auto& [key, times] : aState.mRunTimes) {
    if (hasRoomFor(key.first.str().size() + key.second.size())) {
      Wire::RunTimeModel model;
      model.queue = key.first.str();
      model.image = key.second;
      model.ratio = times.mRatio;
      model.samples = static_cast<std::int32_t>(times.mSamples);
      record.runTimes.push_back(std::move(model));
    }
  }
  const auto copy = [&hasRoomFor](const std::map<std::string, double>& aFrom,
                                  std::vector<Wire::ImageModel>& aTo) {
    for (const auto& [image, value] : aFrom) {
      if (hasRoomFor(image.size())) {
        Wire::ImageModel model;
        model.image = image;
        model.value = value;
        aTo.push_back(std::move(model));
      }
    }
  };
  copy(aState.mTailInterference.mLowestTailMs, record.unloaded);
  copy(aState.mTailInterference.mMeanPressures, record.neighbours);
  for (const auto& [key, pressure] : aState.mTailInterference.mPairPressures) {
    if (hasRoomFor(key.first.size() + key.second.size())) {
      Wire::PairModel pair;
      pair.neighbour = key.first;
      pair.image = key.second;
      pair.pressure = pressure;
      record.pairs.push_back(std::move(pair));
    }
  }
  return record;
}

void
RestoreModel(Scheduling::SchedulerState& aState, const Wire::ModelRecord& aRecord)
{
  for (const auto& pair : aRecord.pairs) {
    aState.mTailInterference.mPairPressures[{ pair.neighbour, pair.image }] = pair.pressure;
  }
  for (const auto& model : aRecord.unloaded) {
    aState.mTailInterference.mLowestTailMs[model.image] = model.value;
  }
  for (const auto& model : aRecord.neighbours) {
    aState.mTailInterference.mMeanPressures[model.image] = model.value;
  }
  for (const auto& model : aRecord.runTimes) {
    aState.mRunTimes[{ Common::RouteId(model.queue), model.image }] = {
      model.ratio, static_cast<std::uint32_t>(model.samples)
    };
  }
}

Wire::Life
ToWire(const Scheduling::EndedLifetime& aEnded)
{
  Wire::Life life;
  life.worker = aEnded.mLifetime.mWorker.str();
  life.born = aEnded.mLifetime.mStartedAt.value();
  life.leftByPlan = aEnded.mLeftByPlan;
  life.lateStart = aEnded.mMayBeLateStart;
  for (const Scheduling::CrashSuspect& run : aEnded.mSuspects) {
    Wire::Suspect suspect;
    suspect.task = ToWire(run.mTask);
    suspect.run = static_cast<std::int32_t>(run.mRun.value());
    life.suspects.push_back(std::move(suspect));
  }
  return life;
}

Scheduling::EndedLifetime
FromWire(const Wire::Life& aLife)
{
  Scheduling::EndedLifetime ended;
  ended.mLifetime = { Common::WorkerId(aLife.worker), Scheduling::LifetimeStart{ aLife.born } };
  ended.mLeftByPlan = aLife.leftByPlan;
  ended.mMayBeLateStart = aLife.lateStart;
  for (const Wire::Suspect& run : aLife.suspects) {
    ended.mSuspects.push_back({ FromWire(run.task), Scheduling::RunNumber{ run.run } });
  }
  return ended;
}

Wire::Order
ToWire(const Scheduling::Order& aOrder, const std::string& aPayload)
{
  Wire::Order order;
  order.number = aOrder.mNumber;
  order.kind = static_cast<std::int32_t>(aOrder.mKind);
  order.worker = aOrder.mLifetime.mWorker.str();
  order.born = aOrder.mLifetime.mStartedAt.value();
  order.task = ToWire(aOrder.mTask);
  order.run = static_cast<std::int32_t>(aOrder.mRun.value());
  order.payload = aPayload;
  order.checkpoint = aOrder.mCheckpoint;
  order.ticket = aOrder.mTicket;
  order.repeated = aOrder.mRepeated;
  order.trial = aOrder.mIsTrial;
  order.percent = static_cast<std::int32_t>(aOrder.mPercent.value());
  return order;
}

Scheduling::Order
FromWire(const Wire::Order& aOrder)
{
  Scheduling::Order order;
  order.mNumber = aOrder.number;
  order.mKind = static_cast<Scheduling::OrderKind>(aOrder.kind);
  order.mLifetime = { Common::WorkerId(aOrder.worker), Scheduling::LifetimeStart{ aOrder.born } };
  order.mTask = FromWire(aOrder.task);
  order.mRun = Scheduling::RunNumber{ aOrder.run };
  order.mCheckpoint = aOrder.checkpoint;
  order.mTicket = aOrder.ticket;
  order.mIsTrial = aOrder.trial;
  order.mRepeated = aOrder.repeated;
  order.mPercent = Scheduling::Percent{ aOrder.percent };
  return order;
}

Wire::Question
ToWire(const Scheduling::AdviceRequest& aRequest, Common::Duration aTimeout)
{
  Wire::Question question;
  question.number = aRequest.mNumber;
  question.step = ToWire(aRequest.mStep);
  for (const Scheduling::WorkerLifetime& lifetime : aRequest.mWorkers) {
    question.workers.push_back(lifetime.mWorker.str());
  }
  question.timeoutMs = std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout).count();
  return question;
}

Wire::AdviceAnswer
ToWire(std::int64_t aNumber, const std::optional<Scheduling::Advice>& aAdvice)
{
  Wire::AdviceAnswer answer;
  answer.number = aNumber;
  answer.answered = aAdvice.has_value();
  if (aAdvice) {
    for (const Scheduling::Grant& grant : aAdvice->mGrants) {
      Wire::Grant row;
      row.worker = grant.mWorker.str();
      row.ticket = grant.mTicket;
      answer.grants.push_back(std::move(row));
    }
    answer.validMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(aAdvice->mTicketLifetime).count();
  }
  return answer;
}

std::optional<Scheduling::Advice>
FromWire(const Wire::AdviceAnswer& aAnswer)
{
  if (!aAnswer.answered) {
    return std::nullopt;
  }
  Scheduling::Advice advice;
  advice.mTicketLifetime = std::chrono::milliseconds(aAnswer.validMs);
  for (const Wire::Grant& grant : aAnswer.grants) {
    advice.mGrants.push_back({ Common::WorkerId(grant.worker), grant.ticket });
  }
  return advice;
}

Wire::RelayedWrite
ToWire(std::int64_t aNumber, const Store::Transaction& aTransaction)
{
  Wire::RelayedWrite write;
  write.number = aNumber;
  for (const Store::Expectation& expectation : aTransaction.mExpected) {
    Wire::StoreVersion row;
    row.key = expectation.mKey;
    row.version = expectation.mVersion.value();
    write.expected.push_back(std::move(row));
  }
  for (const Store::Put& put : aTransaction.mPuts) {
    Wire::StorePut row;
    row.key = put.mKey;
    row.value = put.mValue;
    write.puts.push_back(std::move(row));
  }
  return write;
}

Store::Transaction
FromWire(const Wire::RelayedWrite& aWrite)
{
  Store::Transaction transaction;
  for (const Wire::StoreVersion& row : aWrite.expected) {
    transaction.mExpected.push_back({ row.key, Store::Version{ row.version } });
  }
  for (const Wire::StorePut& row : aWrite.puts) {
    transaction.mPuts.push_back({ row.key, row.value, std::nullopt });
  }
  return transaction;
}

Wire::RelayedResult
ToWire(std::int64_t aNumber, const tl::expected<Store::Version, Store::WriteFailure>& aResult)
{
  Wire::RelayedResult result;
  result.number = aNumber;
  result.written = aResult.has_value();
  if (aResult) {
    result.version = aResult->value();
    return result;
  }
  result.error = static_cast<std::int32_t>(aResult.error().mError);
  for (const Store::Entry& entry : aResult.error().mActual) {
    Wire::StoreVersion row;
    row.key = entry.mKey;
    row.version = entry.mVersion.value();
    result.actual.push_back(std::move(row));
  }
  return result;
}

tl::expected<Store::Version, Store::WriteFailure>
FromWire(const Wire::RelayedResult& aResult)
{
  if (aResult.written) {
    return Store::Version{ aResult.version };
  }
  Store::WriteFailure failure;
  failure.mError = static_cast<Store::StoreError>(aResult.error);
  for (const Wire::StoreVersion& row : aResult.actual) {
    failure.mActual.push_back({ row.key, {}, Store::Version{ row.version } });
  }
  return tl::unexpected(failure);
}

} // namespace Node
