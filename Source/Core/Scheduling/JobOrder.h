#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <tuple>

#include "Common/Clock.h"
#include "Common/Ids.h"

/// Order of waiting jobs: pure functions over plain structs.
namespace Scheduling {

using Common::Duration;
using Common::Timestamp;

/// Which rules the order follows. Without any, jobs that can't meet their objective come after the
/// others, and the fixed part of a job's value is the same in all queues.
struct OrderRules
{
  /// Jobs that can still end within three times their objective come before those that can't: they
  /// earn a part of their value, and the others nothing.
  bool mLatePart = false;
  /// The fixed part of a job's value is learned from the mean work of its queue.
  bool mQueueValue = false;
  /// As many of the largest tenth of a queue's jobs come first as it takes to serve this multiple
  /// of the share in which all jobs of the queue are served. 0 stands for no such guard.
  double mLargeJobShare = 0;
};

/// What the place of a job in the order depends on. Work is in core-seconds.
struct OrderInput
{
  int mPriority = 0;
  bool mLongRunning = false;
  /// Time since the job could first start.
  Duration mAge{ 0 };
  /// Time in which the job earns its full value.
  Duration mObjective{ 0 };
  /// Expected time until the job ends if it gets all the workers that it can use.
  Duration mRemainingChain{ 0 };
  double mWork = 0;
  double mRemainingWork = 0;
  /// Mean work of the jobs of the queue; nothing while it is not known.
  std::optional<double> mMeanWork;
  /// The job was put first so that the largest jobs of its queue get their share.
  bool mIsPromoted = false;
};

/// Lower keys come first: priority, class, negative value per remaining core-second.
using OrderKey = std::tuple<int, int, double>;

OrderKey
OrderKeyOf(const OrderInput& aInput, const OrderRules& aRules);

/// Recent jobs of a queue, kept by the coordinator in memory.
struct QueueHistory
{
  struct Event
  {
    Timestamp mTime;
    double mWork = 0;
  };
  /// Jobs that arrived and jobs that completed, the oldest first.
  std::deque<Event> mArrivals;
  std::deque<Event> mEnds;
  /// Large jobs that were put first and have not ended, with the time when they were.
  std::map<Common::JobId, Timestamp> mPromoted;
  /// Moving mean over the last jobs; 0 while there is none.
  double mMeanWork = 0;
  std::size_t mSamples = 0;
};

void
NoteArrival(QueueHistory& aHistory, double aWork, Timestamp aNow);
/// aCompleted is false for jobs that failed or were cancelled.
void
NoteEnd(QueueHistory& aHistory,
        const Common::JobId& aJob,
        double aWork,
        bool aCompleted,
        Timestamp aNow);
std::optional<double>
MeanWork(const QueueHistory& aHistory);

/// How many more of the largest jobs of a queue have to be put first.
struct LargeJobDebt
{
  std::size_t mJobs = 0;
  /// Work from which on a job is one of them.
  double mMinWork = 0;
};

LargeJobDebt
LargeJobDebtOf(const QueueHistory& aHistory, double aLargeJobShare, Timestamp aNow);
/// Puts the job first from the next order on if it is among those that the debt asks for, and
/// reduces the debt. Only jobs that can earn their full value are put first.
void
PromoteIfOwed(QueueHistory& aHistory,
              LargeJobDebt& aDebt,
              const Common::JobId& aJob,
              double aWork,
              const OrderKey& aKey,
              Timestamp aNow);

} // namespace Scheduling
