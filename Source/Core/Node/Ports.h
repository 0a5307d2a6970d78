#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "Common/Clock.h"
#include "Net/HttpServer.h"
#include "Node/QueueTables.h"
#include "Scheduling/Model.h"

/// Ports and message types through which entries and agents reach callers, workers and the advice
/// service. A platform adapter implements the ports and parses the formats.
namespace Node {

/// What a worker reports about itself with each heartbeat.
struct WorkerHeartbeat
{
  Scheduling::WorkerView mView;
  /// Increases with each heartbeat of one lifetime, so that reordered heartbeats are ignored.
  std::int64_t mSequence = 0;
};

enum class AnnouncementKind
{
  Heartbeat,
  /// The worker has ended all its tasks and exits.
  Deregistration,
};

/// A request from a worker to the agent on its machine.
struct WorkerAnnouncement
{
  AnnouncementKind mKind = AnnouncementKind::Heartbeat;
  Common::WorkerId mWorker;
  /// Complete for heartbeats. A deregistration sets at most the start of the lifetime; 0 stands
  /// for every lifetime of the worker.
  WorkerHeartbeat mHeartbeat;
};

/// A time on a worker's own clock in milliseconds; not comparable with times of other clocks.
using WorkerTime = Common::Quantity<struct WorkerTimeTag>;

/// Starts one run of a task.
struct StartTaskRequest
{
  Scheduling::TaskName mTask;
  Scheduling::RunNumber mRun;
  std::string mPayload;
  std::string mCheckpoint;
  /// Ticket of the advice service; empty if the step needs none.
  std::string mTicket;
  /// End of the worker's lease. The worker ends its runs then unless a poll extends the lease.
  WorkerTime mLeaseEnd;
};

/// The worker's answer to a start, stop or throttle order.
struct OrderAnswer
{
  Scheduling::OrderResult mResult = Scheduling::OrderResult::Unknown;
  /// The worker's clock when it answered, if the answer contains it.
  std::optional<WorkerTime> mWorkerTime;
};

/// Why a poll returned no lists.
enum class PollError
{
  /// No process listens at the worker's address.
  ConnectionRefused,
  /// No answer within the timeout, or one that could not be parsed.
  NoAnswer,
  /// Not sent: no connection came about, or its check was not answered.
  NotSent,
  /// Another lifetime than the expected one answered.
  OtherLifetime,
  /// The worker has already accepted a call with a higher term.
  Fenced,
};

/// The worker's lists of running and ended runs.
struct PollResult
{
  /// The worker's clock when it answered.
  WorkerTime mWorkerTime;
  /// Lifetime that answered; 0 if the answer does not name it.
  Scheduling::LifetimeStart mStartedAt;
  std::vector<Scheduling::RunningTask> mRunning;
  std::vector<Scheduling::EndedTask> mEnded;
  /// The worker may have more ended runs than it lists.
  bool mEndedListCut = false;
  /// The lists are from the check of a new connection, which extends no lease and acknowledges
  /// nothing; the next poll goes over this connection.
  bool mFromCheck = false;
};

/// True if both are known and are not the same.
bool
AreDifferentLifetimes(Scheduling::LifetimeStart aFirst, Scheduling::LifetimeStart aSecond);

/// Asynchronous calls to one lifetime of a worker. They are not sent to a later lifetime, also
/// under the same id: what they say of clocks, ends and runs does not hold for it. Only a call that
/// got no answer may be carried out late, and then by a later lifetime, too. All calls are
/// idempotent. The worker rejects a call whose term is lower than the highest it has seen. aDone is
/// called once.
class WorkerPort
{
public:
  virtual ~WorkerPort() = default;
  virtual void start(Common::Epoch aTerm,
                     const StartTaskRequest& aRequest,
                     Common::Duration aTimeout,
                     std::function<void(OrderAnswer)> aDone) = 0;
  virtual void stop(Common::Epoch aTerm,
                    const Scheduling::TaskName& aTask,
                    Scheduling::RunNumber aRun,
                    Common::Duration aTimeout,
                    std::function<void(OrderAnswer)> aDone) = 0;
  /// Limits the run to aPercent of its full speed: 0 pauses it, 100 lifts the limit.
  virtual void throttle(Common::Epoch aTerm,
                        const Scheduling::TaskName& aTask,
                        Scheduling::RunNumber aRun,
                        Scheduling::Percent aPercent,
                        Common::Duration aTimeout,
                        std::function<void(OrderAnswer)> aDone) = 0;
  /// Long poll for the worker's lists of runs. It acknowledges the ended runs up to and including
  /// aAcknowledged, which the worker then drops, and extends the worker's lease if aLeaseEnd is
  /// given. The worker answers when the next run ends, or after aWait. A poll that needs a new
  /// connection may bring the answer to the check of that connection instead.
  virtual void poll(Common::Epoch aTerm,
                    Scheduling::EndNumber aAcknowledged,
                    std::optional<WorkerTime> aLeaseEnd,
                    Common::Duration aWait,
                    Common::Duration aTimeout,
                    std::function<void(tl::expected<PollResult, PollError>)> aDone) = 0;
};

using WorkerPortFactory =
  std::function<std::unique_ptr<WorkerPort>(const std::string& aAddress,
                                            const Scheduling::WorkerLifetime& aLifetime)>;

/// Calls to the advice service, which decides which workers may run a step and issues tickets for
/// it.
class AdvicePort
{
public:
  virtual ~AdvicePort() = default;
  /// aDone gets nullopt if the service did not answer within aTimeout or rejected the call.
  virtual void requestAdvice(const Scheduling::TaskName& aStep,
                             const std::vector<Common::WorkerId>& aWorkers,
                             Common::Duration aTimeout,
                             std::function<void(std::optional<Scheduling::Advice>)> aDone) = 0;
};

/// Answer of the job API to a caller.
struct JobResponse
{
  enum class Kind
  {
    Accepted,
    State,
    Pending,
    Cancelled,
    /// No such job.
    UnknownJob,
    NoRoute,
    /// The request or the job is invalid.
    Invalid,
    /// Not accepted; the job will never run.
    Overloaded,
    /// The store or the coordinator does not answer; the caller should retry.
    Unavailable,
    /// It is not known whether the request took effect.
    Undecided,
    NotAllowed,
  };
  Kind mKind = Kind::Unavailable;
  /// For Kind::State.
  Scheduling::JobState mState = Scheduling::JobState::Queued;
  /// For Kind::Pending: jobs of the queue that have neither started nor ended.
  std::int64_t mPendingJobs = 0;
  /// Time after which the caller should retry; 0 to leave it out of the response.
  Common::Duration mRetryAfter{ 0 };
  /// Text for the caller and the logs; empty for the default text of the kind.
  std::string mDetail;
};

/// Name of the kind in logs and counter labels.
std::string_view
ResponseKindText(JobResponse::Kind aKind);

/// A request of a caller to the job API.
struct JobRequest
{
  enum class Kind
  {
    Submit,
    /// Returns the state of a job, or the number of pending jobs of a queue if the path names no
    /// job.
    Show,
    Cancel,
    Unsupported,
  };
  Kind mKind = Kind::Unsupported;
  std::string mHost;
  std::string mPath;
  std::string mBody;
  /// Time that the caller waits for the response.
  Common::Duration mTimeout{ std::chrono::seconds(3) };
};

/// Parsers and serializers for the platform's message formats.
struct Formats
{
  std::function<JobRequest(Net::HttpRequest)> mParseJobRequest;
  std::function<Net::HttpResponse(const JobResponse&)> mFormatJobResponse;
  std::function<bool(const std::string&)> mIsJobId;
  /// Parses the body of a submission. The job's id and queue are left empty. Returns an error
  /// message if the body is invalid.
  std::function<tl::expected<Scheduling::JobSpec, std::string>(const std::string&)> mParseJob;
  std::function<tl::expected<QueueTables, std::string>(const std::string&)> mParseTables;
  /// Store key of the operators' tables.
  std::string mTablesKey;
  /// Prefix of the operators' keys that evacuate data centres; the rest of a key is the name of the
  /// data centre. No data centre can be evacuated if it is empty.
  std::string mEvacuationPrefix;
  /// Whether the value of such a key is one that the operators' tools write. The key alone decides.
  std::function<bool(const std::string&)> mIsEvacuationValue;
  /// Whether the request is the platform's readiness probe.
  std::function<bool(const Net::HttpRequest&)> mIsReadinessProbe;
  /// Returns an error message if the request is not a worker's announcement or is invalid.
  std::function<tl::expected<WorkerAnnouncement, std::string>(const Net::HttpRequest&)>
    mParseAnnouncement;
};

} // namespace Node
