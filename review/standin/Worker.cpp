#include "Worker.h"

#include <algorithm>

namespace Review {

using nlohmann::json;

void
Truth::add(const std::string& aJob, const std::vector<StepTruth>& aSteps)
{
  const std::lock_guard lock(mMutex);
  mSteps[aJob] = aSteps;
}

std::optional<StepTruth>
Truth::stepOf(const std::string& aTask) const
{
  const std::lock_guard lock(mMutex);
  const std::size_t first = aTask.find('.');
  const std::size_t second = aTask.find('.', first + 1);
  const auto job = mSteps.find(aTask.substr(0, first));
  if (job == mSteps.end() || second == std::string::npos) {
    return std::nullopt;
  }
  const auto step = static_cast<std::size_t>(std::atoll(aTask.c_str() + second + 1));
  if (step >= job->second.size()) {
    return std::nullopt;
  }
  StepTruth truth = job->second[step];
  if (truth.mVaries) {
    const auto percent = 50 + static_cast<std::int64_t>(std::hash<std::string>{}(aTask) % 101);
    truth.mRunTime = truth.mRunTime * percent / 100;
  }
  return truth;
}

void
Truth::addDone(const std::string& aTask, const std::string& aWorker, std::int64_t aEnd)
{
  const std::lock_guard lock(mMutex);
  mDone.try_emplace(aTask, Done{ aWorker, aEnd });
}

void
Truth::acknowledge(const std::string& aWorker, std::int64_t aUpTo)
{
  const std::lock_guard lock(mMutex);
  for (auto& [task, done] : mDone) {
    done.mAcknowledged = done.mAcknowledged ||
                         (done.mWorker == aWorker && done.mEnd <= aUpTo && !done.mLapsed);
  }
}

void
Truth::lapse(const std::string& aWorker)
{
  const std::lock_guard lock(mMutex);
  for (auto& [task, done] : mDone) {
    done.mLapsed = done.mLapsed || (done.mWorker == aWorker && !done.mAcknowledged);
  }
}

bool
Truth::addStart(const std::string& aTask)
{
  const std::lock_guard lock(mMutex);
  const auto found = mDone.find(aTask);
  if (found != mDone.end()) {
    found->second.mStartedLater = true;
  }
  return found != mDone.end();
}

std::vector<std::string>
Truth::startedAfterDone() const
{
  const std::lock_guard lock(mMutex);
  std::vector<std::string> tasks;
  for (const auto& [task, done] : mDone) {
    if (done.mStartedLater && done.mAcknowledged) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

std::size_t
Truth::doneTasks() const
{
  const std::lock_guard lock(mMutex);
  return mDone.size();
}

Worker::Worker(Options aOptions, int aPort, Truth& aTruth, Record& aRecord)
  : mOptions(std::move(aOptions))
  , mTruth(aTruth)
  , mRecord(aRecord)
  , mServer(aPort, [this](const Request& aRequest) { return handle(aRequest); })
{
}

Worker::~Worker()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    mUp = false;
    ++mLifetime;
  }
  mChanged.notify_all();
  mServer.crash();
  if (mThread.joinable()) {
    mThread.join();
    mReportThread.join();
  }
}

void
Worker::beginLifetime()
{
  ++mLifetime;
  mBorn = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
            .count();
  mClockStart = Clock::now();
  mFence = 0;
  mLeaseEnd = 0;
  mLastEnd = 0;
  mSequence = 0;
  mRuns.clear();
  mHighestEnded.clear();
  mEnds.clear();
  mUp = true;
}

void
Worker::start()
{
  {
    const std::lock_guard lock(mMutex);
    beginLifetime();
    mNextReport = Clock::now();
  }
  mServer.start();
  mThread = std::thread([this] {
    while (!mStopping) {
      std::this_thread::sleep_for(Millis(5));
      tick();
    }
  });
  mReportThread = std::thread([this] {
    while (!mStopping) {
      std::this_thread::sleep_for(Millis(10));
      report();
    }
  });
}

void
Worker::restart(Millis aDown, Millis aFirstReport)
{
  {
    const std::lock_guard lock(mMutex);
    for (const auto& [task, run] : mRuns) {
      mRecord.line("worker %s crash ends %s run %lld", mOptions.mId.c_str(), task.c_str(),
                   static_cast<long long>(run.mNumber));
    }
    mUp = false;
    ++mLifetime;
    mRuns.clear();
    // Nobody can take note of the ends of this lifetime any more.
    mTruth.lapse(mOptions.mId);
  }
  mChanged.notify_all();
  mServer.crash();
  mRecord.line("worker %s crashed", mOptions.mId.c_str());
  std::this_thread::sleep_for(aDown);
  {
    const std::lock_guard lock(mMutex);
    beginLifetime();
    mNextReport = Clock::now() + aFirstReport;
  }
  mServer.start();
  mRecord.line("worker %s is up again under its id, born %lld", mOptions.mId.c_str(),
               static_cast<long long>(mBorn));
}

void
Worker::setCutOff(bool aCutOff)
{
  const std::lock_guard lock(mMutex);
  mCutOff = aCutOff;
  mRecord.line("worker %s %s", mOptions.mId.c_str(), aCutOff ? "is cut off" : "is reachable again");
}

void
Worker::fail(const std::string& aTask)
{
  const std::lock_guard lock(mMutex);
  if (mRuns.count(aTask) > 0) {
    end(aTask, "failed");
  }
}

std::map<std::string, std::int64_t>
Worker::running() const
{
  const std::lock_guard lock(mMutex);
  std::map<std::string, std::int64_t> result;
  for (const auto& [task, run] : mRuns) {
    result[task] = run.mNumber;
  }
  return result;
}

int
Worker::starts(const std::string& aPrefix) const
{
  const std::lock_guard lock(mMutex);
  int count = 0;
  for (const auto& [task, starts] : mStarts) {
    count += task.compare(0, aPrefix.size(), aPrefix) == 0 ? starts : 0;
  }
  return count;
}

std::size_t
Worker::listedEnds() const
{
  const std::lock_guard lock(mMutex);
  return mEnds.size();
}

std::int64_t
Worker::clock() const
{
  return std::chrono::duration_cast<Millis>(Clock::now() - mClockStart).count();
}

json
Worker::clockBody() const
{
  return { { "clock_ms", clock() }, { "born", mBorn } };
}

bool
Worker::takeFence(const json& aBody)
{
  const std::int64_t fence = aBody.value("fencing_token", std::int64_t{ 0 });
  mFence = std::max(mFence, fence);
  return fence >= mFence;
}

void
Worker::takeLease(const json& aBody)
{
  const std::int64_t until = aBody.value("until_ms", std::int64_t{ 0 });
  mLeaseEnd = std::max(mLeaseEnd, std::min(until, clock() + mOptions.mLongestLease.count()));
}

void
Worker::end(const std::string& aTask, const char* aHow)
{
  const Run run = mRuns.at(aTask);
  mRuns.erase(aTask);
  std::int64_t& highest = mHighestEnded[aTask];
  highest = std::max(highest, run.mNumber);
  mEnds.push_back(json::array({ ++mLastEnd, aTask, run.mNumber, aHow, "" }));
  if (std::string(aHow) == "done") {
    mTruth.addDone(aTask, mOptions.mId, mLastEnd);
  }
  mRecord.line("worker %s ended %s run %lld %s", mOptions.mId.c_str(), aTask.c_str(),
               static_cast<long long>(run.mNumber), aHow);
  mChanged.notify_all();
}

void
Worker::tick()
{
  const std::lock_guard lock(mMutex);
  if (!mUp) {
    return;
  }
  std::vector<std::pair<std::string, const char*>> ends;
  for (const auto& [task, run] : mRuns) {
    if (clock() >= mLeaseEnd) {
      ends.emplace_back(task, "lapsed");
    } else if (run.mStopAt && Clock::now() >= *run.mStopAt) {
      ends.emplace_back(task, "stopped");
    } else if (!run.mStep.mLasts && Clock::now() >= run.mStarted + run.mStep.mRunTime) {
      ends.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : ends) {
    end(task, how);
  }
  if (mLeaseEnd > 0 && clock() >= mLeaseEnd && !mEnds.empty()) {
    mTruth.lapse(mOptions.mId);
  }
}

void
Worker::report()
{
  json body;
  {
    const std::lock_guard lock(mMutex);
    if (!mUp || mCutOff || Clock::now() < mNextReport) {
      return;
    }
    mNextReport = Clock::now() + mOptions.mHeartbeat;
    body = { { "service", mOptions.mService },
             { "address", "127.0.0.1:" + std::to_string(mServer.port()) },
             { "zone", mOptions.mZone },
             { "version", "v1" },
             { "slots", 8 },
             { "state", "ready" },
             { "cold_left_ms", 0 },
             { "capacity",
               { { "cpu", mOptions.mMilliCores }, { "mem_mb", mOptions.mMemoryMb }, { "gpu", 0 } } },
             { "labels", { mOptions.mKind, mOptions.mRack } },
             { "clock_ms", clock() },
             { "seq", ++mSequence },
             { "born", mBorn } };
  }
  const auto reply = Call(mOptions.mControlPort, "POST", "/-/Instances.Heartbeat/" + mOptions.mId,
                          body.dump(), {}, Millis(1000));
  if (!reply || reply->mStatus != 200) {
    mRecord.line("worker %s report without an ack", mOptions.mId.c_str());
  }
}

std::optional<Reply>
Worker::handle(const Request& aRequest)
{
  std::unique_lock lock(mMutex);
  if (!mUp || mCutOff) {
    return std::nullopt;
  }
  const auto expected = aRequest.mHeaders.find("ibisshed-expect-instance");
  if (expected != aRequest.mHeaders.end() && expected->second != mOptions.mId) {
    return Reply{ 421, clockBody().dump() };
  }
  const json body = json::parse(aRequest.mBody, nullptr, false);
  if (!body.is_object()) {
    return Reply{ 400, clockBody().dump() };
  }
  if (!takeFence(body)) {
    json answer = clockBody();
    answer["reason"] = "fence";
    return Reply{ 409, answer.dump() };
  }
  const std::string path = aRequest.path();
  if (path == "/-/hold") {
    return hold(body, lock);
  }
  if (path == "/-/run-start") {
    return runStart(body);
  }
  if (path == "/-/run-stop") {
    return runStop(body);
  }
  return Reply{ path == "/-/pace" ? 200 : 404, clockBody().dump() };
}

std::optional<Reply>
Worker::hold(const json& aBody, std::unique_lock<std::mutex>& aLock)
{
  const std::int64_t acked = aBody.value("acked", std::int64_t{ 0 });
  if (std::erase_if(mEnds, [&](const json& aEnd) {
        return aEnd[0].get<std::int64_t>() <= acked;
      }) > 0) {
    mTruth.acknowledge(mOptions.mId, acked);
  }
  if (aBody.contains("until_ms")) {
    const std::int64_t before = mLeaseEnd;
    takeLease(aBody);
    if (mLeaseEnd > before + 5'500) {
      mRecord.line("worker %s lease now ends in %lld ms (until_ms %lld, clock_ms %lld)",
                   mOptions.mId.c_str(), static_cast<long long>(mLeaseEnd - clock()),
                   static_cast<long long>(aBody["until_ms"].get<std::int64_t>()),
                   static_cast<long long>(clock()));
    }
  }
  const int lifetime = mLifetime;
  const auto end =
    Clock::now() + Millis(std::min<std::int64_t>(aBody.value("wait_ms", std::int64_t{ 0 }), 2'000));
  while (mEnds.empty() && mLifetime == lifetime && Clock::now() < end) {
    mChanged.wait_until(aLock, end);
  }
  if (mLifetime != lifetime || mCutOff) {
    return std::nullopt;
  }
  json answer = clockBody();
  answer["running"] = json::array();
  for (const auto& [task, run] : mRuns) {
    const auto ran = std::chrono::duration_cast<Millis>(Clock::now() - run.mStarted).count();
    const std::int64_t percent =
      run.mStep.mLasts ? (ran > 200 ? 100 : 0)
                       : std::min<std::int64_t>(99, 100 * ran / run.mStep.mRunTime.count());
    answer["running"].push_back(
      json::array({ task, run.mNumber, "", percent, run.mStep.mMilliCores }));
  }
  answer["finished"] = json::array();
  for (std::size_t i = 0; i < mEnds.size() && i < 500; ++i) {
    answer["finished"].push_back(mEnds[i]);
  }
  return Reply{ 200, answer.dump() };
}

Reply
Worker::runStart(const json& aBody)
{
  const std::string task = aBody.value("task", "");
  const std::int64_t number = aBody.value("run", std::int64_t{ 0 });
  json answer = clockBody();
  const auto refuse = [&](const char* aReason) {
    answer["reason"] = aReason;
    mRecord.line("worker %s refused %s run %lld: %s", mOptions.mId.c_str(), task.c_str(),
                 static_cast<long long>(number), aReason);
    return Reply{ 409, answer.dump() };
  };
  if (aBody.value("until_ms", std::int64_t{ 0 }) <= clock()) {
    return refuse("late");
  }
  takeLease(aBody);
  const auto present = mRuns.find(task);
  if (present != mRuns.end() && present->second.mNumber == number) {
    return { 200, answer.dump() };
  }
  const auto ended = mHighestEnded.find(task);
  if ((ended != mHighestEnded.end() && number <= ended->second) || present != mRuns.end()) {
    return refuse("old");
  }
  const auto step = mTruth.stepOf(task);
  if (!step) {
    mRecord.line("worker %s UNASKED start of %s", mOptions.mId.c_str(), task.c_str());
    return { 400, answer.dump() };
  }
  std::int64_t cores = step->mMilliCores;
  std::int64_t memory = step->mMemoryMb;
  for (const auto& [other, run] : mRuns) {
    cores += run.mStep.mMilliCores;
    memory += run.mStep.mMemoryMb;
  }
  if (cores > mOptions.mMilliCores || memory > mOptions.mMemoryMb) {
    return refuse("room");
  }
  if (mTruth.addStart(task)) {
    mRecord.line("worker %s starts %s run %lld after a run of it ended done", mOptions.mId.c_str(),
                 task.c_str(), static_cast<long long>(number));
  }
  mRuns[task] = Run{ number, *step, Clock::now(), std::nullopt };
  ++mStarts[task];
  mRecord.line("worker %s started %s run %lld fencing_token %lld", mOptions.mId.c_str(),
               task.c_str(), static_cast<long long>(number),
               static_cast<long long>(aBody.value("fencing_token", std::int64_t{ 0 })));
  return { 200, answer.dump() };
}

Reply
Worker::runStop(const json& aBody)
{
  const std::string task = aBody.value("task", "");
  const std::int64_t number = aBody.value("run", std::int64_t{ 0 });
  mRecord.line("worker %s told to stop %s run %lld", mOptions.mId.c_str(), task.c_str(),
               static_cast<long long>(number));
  const auto present = mRuns.find(task);
  if (present != mRuns.end() && present->second.mNumber == number) {
    if (!present->second.mStopAt) {
      present->second.mStopAt = Clock::now() + mOptions.mStopTime;
    }
  } else {
    std::int64_t& highest = mHighestEnded[task];
    highest = std::max(highest, number);
  }
  return { 200, clockBody().dump() };
}

} // namespace Review
