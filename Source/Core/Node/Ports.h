#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Net/HttpServer.h"
#include "Node/Tables.h"
#include "Scheduling/Model.h"

/// What an adapter supplies so that the processes can speak with callers, workers and the store.
namespace Node {

/// A worker's own account of itself.
struct Announcement
{
  Scheduling::WorkerView mView;
  /// Rises within one lifetime.
  std::int64_t mSequence = 0;
};

enum class AnnouncementKind
{
  Heartbeat,
  /// The worker has ended what it ran and goes.
  Farewell,
};

struct WorkerCall
{
  AnnouncementKind mKind = AnnouncementKind::Heartbeat;
  Common::WorkerId mWorker;
  /// Set for heartbeats.
  Announcement mAnnouncement;
};

/// A time on a worker's own clock.
using WorkerClock = Common::Quantity<struct WorkerClockTag>;

struct StartCall
{
  Scheduling::TaskName mTask;
  Scheduling::RunNumber mRun;
  std::string mPayload;
  std::string mCheckpoint;
  std::string mTicket;
  WorkerClock mLeaseEnd;
};

struct OrderAnswer
{
  Scheduling::OrderResult mResult = Scheduling::OrderResult::Unknown;
  std::optional<WorkerClock> mClock;
};

enum class LookError
{
  /// Nothing listens at the worker's address.
  Refused,
  NoAnswer,
  /// Another lifetime answered.
  OtherLife,
  /// A coordinator with a higher term has been there.
  Fenced,
};

struct Look
{
  WorkerClock mClock;
  /// 0 if the worker does not say.
  Scheduling::LifetimeStart mStartedAt;
  std::vector<Scheduling::RunningTask> mRunning;
  std::vector<Scheduling::EndedTask> mEnded;
};

/// Calls to one worker. All of them are idempotent.
class WorkerPort
{
public:
  virtual ~WorkerPort() = default;
  virtual void start(Common::Epoch aTerm,
                     const StartCall& aCall,
                     Common::Duration aTimeout,
                     std::function<void(OrderAnswer)> aDone) = 0;
  virtual void stop(Common::Epoch aTerm,
                    const Scheduling::TaskName& aTask,
                    Scheduling::RunNumber aRun,
                    Common::Duration aTimeout,
                    std::function<void(OrderAnswer)> aDone) = 0;
  virtual void pace(Common::Epoch aTerm,
                    const Scheduling::TaskName& aTask,
                    Scheduling::RunNumber aRun,
                    Scheduling::Percent aPercent,
                    Common::Duration aTimeout,
                    std::function<void(OrderAnswer)> aDone) = 0;
  /// Lists the worker's runs, lets it forget the ends up to aForget and extends its lease if
  /// aLeaseEnd is given. The answer comes at the next end or after aWait.
  virtual void look(Common::Epoch aTerm,
                    Scheduling::EndNumber aForget,
                    std::optional<WorkerClock> aLeaseEnd,
                    Common::Duration aWait,
                    Common::Duration aTimeout,
                    std::function<void(tl::expected<Look, LookError>)> aDone) = 0;
};

using MakeWorkerPort =
  std::function<std::unique_ptr<WorkerPort>(const std::string& aAddress, const Common::WorkerId&)>;

/// Calls to the service that says which workers may run a step.
class AdvicePort
{
public:
  virtual ~AdvicePort() = default;
  /// aDone gets nothing if the service did not answer or turned the call away.
  virtual void ask(const Scheduling::TaskName& aStep,
                   const std::vector<Common::WorkerId>& aWorkers,
                   Common::Duration aTimeout,
                   std::function<void(std::optional<Scheduling::Advice>)> aDone) = 0;
};

/// What an entry tells a caller.
struct CallerAnswer
{
  enum class Kind
  {
    Accepted,
    State,
    Pending,
    Cancelled,
    /// No such job.
    Unknown,
    NoRoute,
    Invalid,
    /// Not accepted, and it will never run.
    Overloaded,
    Unavailable,
    /// Whether it was accepted is not known.
    Undecided,
    NotAllowed,
  };
  Kind mKind = Kind::Unavailable;
  Scheduling::JobState mState = Scheduling::JobState::Queued;
  std::int64_t mPending = 0;
  /// Time after which the caller should come back; 0 to leave it out.
  Common::Duration mRetryAfter{ 0 };
  std::string mDetail;
};

/// The answer's kind in logs and counters.
std::string_view
KindText(CallerAnswer::Kind aKind);

struct CallerCall
{
  enum class Kind
  {
    Submit,
    /// The state of a job, or of a queue if the path names no job.
    Show,
    Cancel,
    Other,
  };
  Kind mKind = Kind::Other;
  std::string mHost;
  std::string mPath;
  std::string mBody;
  /// Time for which the caller waits for the answer.
  Common::Duration mPatience{ std::chrono::seconds(3) };
};

/// Formats of the platform.
struct Formats
{
  std::function<CallerCall(Net::HttpRequest)> mReadCall;
  std::function<Net::HttpResponse(const CallerAnswer&)> mWriteAnswer;
  std::function<bool(const std::string&)> mIsJobId;
  /// The job of a submission without id and queue, or why it cannot be read.
  std::function<tl::expected<Scheduling::JobSpec, std::string>(const std::string&)> mReadJob;
  std::function<tl::expected<QueueTables, std::string>(const std::string&)> mReadTables;
  /// Key of the operators' tables in the store.
  std::string mTablesKey;
  /// True if the request asks whether the entry takes callers.
  std::function<bool(const Net::HttpRequest&)> mIsReadiness;
  /// Nothing if the request is none of a worker's calls; an error if it cannot be read.
  std::function<tl::expected<WorkerCall, std::string>(const Net::HttpRequest&)> mReadWorkerCall;
};

} // namespace Node
