#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Node/Ports.h"

namespace NodeTests {

using namespace Node;
using Common::Duration;
using namespace std::chrono_literals;

/// The event loop of one process. A killed process runs no handler any more, and what is delivered
/// to it is dropped.
struct ProcessLoop
{
  boost::asio::io_context mIo{ 1 };
  bool mKilled = false;

  template<typename Function>
  void deliver(Function aFunction)
  {
    if (!mKilled) {
      boost::asio::post(mIo, std::move(aFunction));
    }
  }
};

/// A worker as the platform describes it. Its tasks end after a fixed time. It counts violations
/// that only a worker can see: runs whose lease ended and tasks that were started twice.
class FakeWorker
{
public:
  using Time = std::chrono::steady_clock::time_point;
  using Milliseconds = std::chrono::milliseconds;

  static constexpr std::size_t kMaxListedEnds = 500;

  struct Run
  {
    Scheduling::TaskName mTask;
    Scheduling::RunNumber mRun;
    Time mStartTime;
    Milliseconds mTaskTime{ 0 };
    /// When a stop that was ordered takes effect.
    std::optional<Time> mStopsAt;
    std::string mPayload;
    /// The start was carried out late, after newer calls.
    bool mLate = false;
  };

  /// What happens to a call to the worker.
  enum class Delivery
  {
    Normal,
    /// Carried out, and the answer is lost.
    AnswerLost,
    /// Carried out after mLateness, and the answer is lost.
    Late,
    /// As Late, and also if the worker has started again meanwhile.
    LateByAnyLifetime,
    /// Neither carried out nor answered.
    Dropped,
    /// Refused without doing anything.
    Refused,
  };

  explicit FakeWorker(std::string aName)
    : mName(std::move(aName))
    , mId(mName)
  {
  }

  WorkerTime clock() const { return clockAt(std::chrono::steady_clock::now()); }

  WorkerTime clockAt(Time aTime) const
  {
    const double elapsed = std::chrono::duration<double, std::milli>(aTime - mClockOrigin).count();
    return WorkerTime{ static_cast<std::int64_t>(elapsed * mClockRate) };
  }

  bool leaseExpired() const { return clock() >= mLeaseEnd; }

  /// Ends the runs that have finished, were stopped or whose lease has ended.
  void endDueRuns()
  {
    const auto now = std::chrono::steady_clock::now();
    std::vector<Run> remaining;
    std::vector<std::pair<Run, Scheduling::EndKind>> ended;
    for (const Run& run : mRunning) {
      const Time doneAt = run.mStartTime + run.mTaskTime;
      const Time stopAt = run.mStopsAt.value_or(Time::max());
      const bool done = doneAt <= now && doneAt <= stopAt && clockAt(doneAt) < mLeaseEnd;
      const bool stopped = stopAt <= now && clockAt(stopAt) < mLeaseEnd;
      if (done) {
        ended.emplace_back(run, Scheduling::EndKind::Done);
      } else if (stopped) {
        ended.emplace_back(run, Scheduling::EndKind::Stopped);
      } else if (leaseExpired()) {
        ended.emplace_back(run, Scheduling::EndKind::LeaseExpired);
      } else {
        remaining.push_back(run);
      }
    }
    mRunning = remaining;
    for (const auto& [run, kind] : ended) {
      addEnd(run, kind);
    }
  }

  Scheduling::OrderResult start(Common::Epoch aTerm, const StartTaskRequest& aRequest, bool aLate)
  {
    endDueRuns();
    if (aTerm < mHighestTerm) {
      return Scheduling::OrderResult::Fenced;
    }
    mHighestTerm = aTerm;
    extendLease(aRequest.mLeaseEnd);
    for (const Run& run : mRunning) {
      if (run.mTask == aRequest.mTask && run.mRun == aRequest.mRun) {
        return Scheduling::OrderResult::Done;
      }
    }
    const auto highestEnded = mHighestEndedRuns.find(aRequest.mTask);
    if (highestEnded != mHighestEndedRuns.end() && aRequest.mRun <= highestEnded->second) {
      return Scheduling::OrderResult::StaleRun;
    }
    if (aRequest.mLeaseEnd <= clock()) {
      return Scheduling::OrderResult::LeaseExpired;
    }
    mDuplicateStarts +=
      static_cast<int>(std::count_if(mRunning.begin(), mRunning.end(), [&](const Run& aRun) {
        return aRun.mTask == aRequest.mTask;
      }));
    const Run run{ aRequest.mTask,
                   aRequest.mRun,
                   std::chrono::steady_clock::now(),
                   mTaskTimeOf ? mTaskTimeOf(aRequest.mTask) : mTaskTime,
                   std::nullopt,
                   aRequest.mPayload,
                   aLate };
    mRunning.push_back(run);
    ++mStarts;
    mStartedTasks.insert(aRequest.mTask);
    if (mOnStart) {
      mOnStart(run);
    }
    return Scheduling::OrderResult::Done;
  }

  Scheduling::OrderResult stop(Common::Epoch aTerm,
                               const Scheduling::TaskName& aTask,
                               Scheduling::RunNumber aRun)
  {
    endDueRuns();
    if (aTerm < mHighestTerm) {
      return Scheduling::OrderResult::Fenced;
    }
    mHighestTerm = aTerm;
    bool found = false;
    for (Run& run : mRunning) {
      if (run.mTask == aTask && run.mRun == aRun) {
        found = true;
        run.mStopsAt = run.mStopsAt.value_or(std::chrono::steady_clock::now() + mStopTime);
      }
    }
    // A run that is not there yet is rejected from now on.
    auto& highest = mHighestEndedRuns[aTask];
    highest = std::max(highest, aRun);
    if (found) {
      endDueRuns();
    }
    return Scheduling::OrderResult::Done;
  }

  tl::expected<PollResult, PollError> poll(Common::Epoch aTerm,
                                           Scheduling::EndNumber aAcknowledged,
                                           std::optional<WorkerTime> aLeaseEnd)
  {
    endDueRuns();
    if (aTerm < mHighestTerm) {
      return tl::unexpected(PollError::Fenced);
    }
    mHighestTerm = aTerm;
    std::erase_if(mEnded, [&](const Scheduling::EndedTask& aEnd) {
      const bool acknowledged = aEnd.mNumber <= aAcknowledged;
      if (acknowledged && mOnAcknowledged) {
        mOnAcknowledged(aEnd);
      }
      return acknowledged;
    });
    if (aLeaseEnd) {
      extendLease(*aLeaseEnd);
    }
    PollResult result;
    result.mWorkerTime = clock();
    result.mStartedAt = mLifetimeStart;
    for (const Run& run : mRunning) {
      const auto ran = std::chrono::steady_clock::now() - run.mStartTime;
      result.mRunning.push_back(
        { run.mTask, run.mRun, "", Scheduling::Percent{ 100 * ran / run.mTaskTime }, 0 });
    }
    const std::size_t listed = std::min(mEnded.size(), kMaxListedEnds);
    result.mEnded.assign(mEnded.begin(), mEnded.begin() + static_cast<std::ptrdiff_t>(listed));
    result.mEndedListCut = listed == kMaxListedEnds;
    return result;
  }

  /// Ends the lifetime without a trace; nothing listens at the address until restart().
  void crash()
  {
    mUp = false;
    ++mConnectionGeneration;
    mRunning.clear();
    mEnded.clear();
    mHighestEndedRuns.clear();
    mLastEndNumber = 0;
    mHighestTerm = Common::Epoch{ 0 };
    mLeaseEnd = WorkerTime{ 0 };
  }

  /// Starts a new lifetime, which knows nothing of the earlier ones.
  void restart(const std::string& aId, Scheduling::LifetimeStart aStart)
  {
    mId = aId;
    mLifetimeStart = aStart;
    mClockOrigin = std::chrono::steady_clock::now();
    mAnnouncements = 0;
    mUp = true;
  }

  /// Name, which is also the address.
  std::string mName;
  /// Id of this lifetime.
  std::string mId;
  Scheduling::LifetimeStart mLifetimeStart{ 1 };
  std::int64_t mAnnouncements = 0;
  bool mUp = true;
  /// Counts crashes, which end all connections.
  int mConnectionGeneration = 0;
  Time mClockOrigin{};
  double mClockRate = 1.0;
  Milliseconds mTaskTime{ 100 };
  std::function<Milliseconds(const Scheduling::TaskName&)> mTaskTimeOf;
  /// Time from a stop request to the end of the run.
  Milliseconds mStopTime{ 0 };
  /// Longest lease; a longer one is shortened.
  Milliseconds mMaxLease{ 5000 };
  bool mUnresponsive = false;
  /// Decides the fate of each call; Delivery::Normal if empty.
  std::function<Delivery()> mDelivery;
  std::function<Milliseconds()> mLateness;
  std::function<void(const Run&)> mOnStart;
  std::function<void(const Scheduling::EndedTask&)> mOnEnd;
  std::function<void(const Scheduling::EndedTask&)> mOnAcknowledged;
  /// Highest term seen; calls of lower terms are rejected.
  Common::Epoch mHighestTerm;
  WorkerTime mLeaseEnd;
  std::vector<Run> mRunning;
  std::vector<Scheduling::EndedTask> mEnded;
  /// Highest run of each task that was stopped or ended here.
  std::map<Scheduling::TaskName, Scheduling::RunNumber> mHighestEndedRuns;
  std::int64_t mLastEndNumber = 0;
  int mStarts = 0;
  int mCompletedRuns = 0;
  int mExpiredRuns = 0;
  /// Starts of a task of which another run was still running.
  int mDuplicateStarts = 0;
  std::set<Scheduling::TaskName> mStartedTasks;

private:
  void extendLease(WorkerTime aLeaseEnd)
  {
    mLeaseEnd =
      std::max(mLeaseEnd, std::min(aLeaseEnd, WorkerTime{ clock().value() + mMaxLease.count() }));
  }

  void addEnd(const Run& aRun, Scheduling::EndKind aKind)
  {
    mEnded.push_back(
      { Scheduling::EndNumber{ ++mLastEndNumber }, aRun.mTask, aRun.mRun, aKind, "" });
    auto& highest = mHighestEndedRuns[aRun.mTask];
    highest = std::max(highest, aRun.mRun);
    mCompletedRuns += aKind == Scheduling::EndKind::Done ? 1 : 0;
    mExpiredRuns += aKind == Scheduling::EndKind::LeaseExpired ? 1 : 0;
    if (mOnEnd) {
      mOnEnd(mEnded.back());
    }
  }
};

/// One agent's calls to a lifetime of a worker. A call that was sent is carried out also if the
/// agent's process is killed before the answer.
class FakeWorkerPort final : public WorkerPort
{
public:
  FakeWorkerPort(boost::asio::io_context& aIo,
                 ProcessLoop& aProcess,
                 FakeWorker& aWorker,
                 Scheduling::WorkerLifetime aLifetime)
    : mIo(aIo)
    , mProcess(aProcess)
    , mWorker(aWorker)
    , mLifetime(std::move(aLifetime))
  {
  }

  void start(Common::Epoch aTerm,
             const StartTaskRequest& aRequest,
             Duration aTimeout,
             std::function<void(OrderAnswer)> aDone) override
  {
    callOrder(aTimeout, aDone, [&worker = mWorker, aTerm, aRequest](bool aLate) {
      return worker.start(aTerm, aRequest, aLate);
    });
  }

  void stop(Common::Epoch aTerm,
            const Scheduling::TaskName& aTask,
            Scheduling::RunNumber aRun,
            Duration aTimeout,
            std::function<void(OrderAnswer)> aDone) override
  {
    callOrder(aTimeout, aDone, [&worker = mWorker, aTerm, aTask, aRun](bool) {
      return worker.stop(aTerm, aTask, aRun);
    });
  }

  void throttle(Common::Epoch aTerm,
                const Scheduling::TaskName&,
                Scheduling::RunNumber,
                Scheduling::Percent,
                Duration aTimeout,
                std::function<void(OrderAnswer)> aDone) override
  {
    callOrder(aTimeout, aDone, [&worker = mWorker, aTerm](bool) {
      return aTerm < worker.mHighestTerm ? Scheduling::OrderResult::Fenced
                                         : Scheduling::OrderResult::Done;
    });
  }

  void poll(Common::Epoch aTerm,
            Scheduling::EndNumber aAcknowledged,
            std::optional<WorkerTime> aLeaseEnd,
            Duration,
            Duration aTimeout,
            std::function<void(tl::expected<PollResult, PollError>)> aDone) override
  {
    using Answer = tl::expected<PollResult, PollError>;
    call<Answer>(
      aTimeout,
      20ms,
      aDone,
      { tl::unexpected(PollError::NoAnswer),
        tl::unexpected(PollError::ConnectionRefused),
        tl::unexpected(PollError::OtherLifetime),
        tl::unexpected(PollError::NoAnswer) },
      [&worker = mWorker, aTerm, aAcknowledged, aLeaseEnd](bool) {
        return worker.poll(aTerm, aAcknowledged, aLeaseEnd);
      },
      [&worker = mWorker, aTerm] {
        return worker.poll(aTerm, Scheduling::EndNumber{ 0 }, std::nullopt);
      });
  }

private:
  template<typename Answer>
  struct FailedAnswers
  {
    Answer mNoAnswer;
    Answer mConnectionRefused;
    Answer mOtherLifetime;
    Answer mUnhealthy;
  };

  void callOrder(Duration aTimeout,
                 const std::function<void(OrderAnswer)>& aDone,
                 const std::function<Scheduling::OrderResult(bool)>& aExecute)
  {
    using Scheduling::OrderResult;
    call<OrderAnswer>(
      aTimeout,
      1ms,
      aDone,
      { { OrderResult::Unknown, {} },
        { OrderResult::Unhealthy, {} },
        { OrderResult::LifetimeEnded, {} },
        { OrderResult::Unhealthy, {} } },
      [&worker = mWorker, aExecute](bool aLate) {
        const auto result = aExecute(aLate);
        return OrderAnswer{ result, worker.clock() };
      },
      [] {
        return OrderAnswer{ OrderResult::LifetimeEnded, {} };
      });
  }

  /// The worker has started again under its id.
  bool reachesOtherLifetime() const
  {
    return AreDifferentLifetimes(mWorker.mLifetimeStart, mLifetime.mStartedAt);
  }

  template<typename Answer>
  void call(Duration aTimeout,
            Duration aAnswerTime,
            const std::function<void(Answer)>& aDone,
            const FailedAnswers<Answer>& aFailed,
            const std::function<Answer(bool)>& aExecute,
            const std::function<Answer()>& aAnswerOfOtherLifetime)
  {
    if (!mWorker.mUp) {
      answerAfter(1ms, aDone, aFailed.mConnectionRefused);
      return;
    }
    if (mWorker.mUnresponsive) {
      answerAfter(aTimeout, aDone, aFailed.mNoAnswer);
      return;
    }
    if (mWorker.mId != mLifetime.mWorker.str()) {
      answerAfter(1ms, aDone, aFailed.mOtherLifetime);
      return;
    }
    if (reachesOtherLifetime()) {
      answerAfter(1ms, aDone, aAnswerOfOtherLifetime());
      return;
    }
    const auto delivery = mWorker.mDelivery ? mWorker.mDelivery() : FakeWorker::Delivery::Normal;
    switch (delivery) {
      case FakeWorker::Delivery::Normal:
        break;
      case FakeWorker::Delivery::AnswerLost:
        (void)aExecute(false);
        answerAfter(aTimeout, aDone, aFailed.mNoAnswer);
        return;
      case FakeWorker::Delivery::Late:
      case FakeWorker::Delivery::LateByAnyLifetime:
        executeLate(
          mWorker.mLateness(), delivery == FakeWorker::Delivery::LateByAnyLifetime, aExecute);
        answerAfter(aTimeout, aDone, aFailed.mNoAnswer);
        return;
      case FakeWorker::Delivery::Dropped:
        answerAfter(aTimeout, aDone, aFailed.mNoAnswer);
        return;
      case FakeWorker::Delivery::Refused:
        answerAfter(1ms, aDone, aFailed.mUnhealthy);
        return;
    }
    // A crash breaks the connection before the answer.
    callAfter(aAnswerTime,
              [&worker = mWorker,
               &process = mProcess,
               generation = mWorker.mConnectionGeneration,
               aDone,
               answer = aExecute(false),
               noAnswer = aFailed.mNoAnswer] {
                const bool broken = worker.mConnectionGeneration != generation;
                process.deliver([aDone, result = broken ? noAnswer : answer] { aDone(result); });
              });
  }

  template<typename Execute>
  void executeLate(std::chrono::milliseconds aDelay, bool aByAnyLifetime, const Execute& aExecute)
  {
    callAfter(
      aDelay,
      [&worker = mWorker, generation = mWorker.mConnectionGeneration, aByAnyLifetime, aExecute] {
        if (worker.mUp && (aByAnyLifetime || worker.mConnectionGeneration == generation)) {
          (void)aExecute(true);
        }
      });
  }

  template<typename Answer>
  void answerAfter(Duration aDelay, const std::function<void(Answer)>& aDone, const Answer& aAnswer)
  {
    callAfter(aDelay, [&process = mProcess, aDone, aAnswer] {
      process.deliver([aDone, aAnswer] { aDone(aAnswer); });
    });
  }

  template<typename Function>
  void callAfter(Duration aDelay, Function aFunction)
  {
    const auto timer = std::make_shared<boost::asio::steady_timer>(mIo);
    timer->expires_after(aDelay);
    timer->async_wait([timer, aFunction](boost::system::error_code) { aFunction(); });
  }

  /// Loop of the workers and the network.
  boost::asio::io_context& mIo;
  ProcessLoop& mProcess;
  FakeWorker& mWorker;
  Scheduling::WorkerLifetime mLifetime;
};

} // namespace NodeTests
