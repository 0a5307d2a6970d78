#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Net/Link.h"
#include "Node/Election.h"
#include "Node/KeptPayloads.h"
#include "Node/LinkShare.h"
#include "Node/PrefixWatcher.h"
#include "Scheduling/Schedule.h"

namespace Node {

/// The coordinator's part of the process that won the election. It holds the state of all jobs and
/// workers, assigns tasks to workers through their agents, and records the progress of jobs in the
/// store.
class Coordinator
{
public:
  Coordinator(Context& aContext, Election& aElection);
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  /// Starts a term with empty state: recovers jobs and workers from the store, then applies the
  /// agents' reports.
  void startTerm(Common::Epoch aTerm);
  /// Continues the term after pause(); starts it anew if it was paused before the recovery ended.
  void resume();
  /// Suspends orders, lease extensions and answers until resume() or startTerm(). aReason is for
  /// the log.
  void pause(std::string_view aReason);
  /// Drops all state and connections; to be called when another process has a higher term.
  void endTerm();
  /// True if another entry that can become the coordinator is connected.
  bool hasSuccessor() const;
  /// Calls aDone once all records are in the store, or at once if there are none to write. After a
  /// pause() aDone is called only when a later flush completes.
  void flushAll(std::function<void()> aDone);

  /// Adds or updates the queues of the tables; removed queues are kept for their open jobs.
  void setTables(const QueueTables& aTables);
  /// Takes over which data centres are evacuated as of a version of the store. No task starts
  /// before the first call.
  void setEvacuated(const Scheduling::EvacuatedDataCentres& aDataCentres, Store::Version aVersion);
  /// Takes over the connection of an agent or entry; closes it if there is no term.
  void acceptLink(const std::shared_ptr<Net::Link>& aLink);

private:
  /// A connected agent or entry.
  struct Peer
  {
    std::shared_ptr<Net::Link> mLink;
    /// Empty until the peer has reported as an agent.
    Common::InstanceId mAgent;
    /// Data centre of the agent.
    Common::DataCentreId mDataCentre;
    /// The agent's clock in its last report, which the next directive echoes.
    std::int64_t mEchoMicros = 0;
    /// The orders without a result were repeated over this connection, or there were none.
    bool mOrdersRepeated = false;
    /// The peer is another process that can become the coordinator.
    bool mIsCandidate = false;
    /// The peer is an agent that keeps payloads.
    bool mKeepsPayloads = false;
    /// Jobs whose payloads the agent keeps.
    KeptPayloads mKeptPayloads;
  };
  /// A report that arrived during recovery.
  struct EarlyReport
  {
    Wire::Report mReport;
    Timestamp mReceivedAt;
  };

  /// Bytes received or sent for one purpose.
  struct Traffic
  {
    Observability::Counter* mCounter = nullptr;
    /// Since the last log entry about the load.
    std::size_t mUnlogged = 0;
  };

  /// A job whose record a flush writes.
  struct FlushedJob
  {
    Common::JobId mJob;
    Scheduling::JobState mState;
    /// Last change of the job that the record includes.
    std::uint64_t mChange = 0;
  };

  /// A worker whose record a flush wrote, and whether it suspends the extension of the lease.
  struct WrittenWorker
  {
    Scheduling::WorkerLifetime mLifetime;
    bool mIsSuspended = false;
  };

  /// Workers whose records a flush wrote or erased.
  struct FlushedWorkers
  {
    std::vector<WrittenWorker> mWritten;
    std::vector<Scheduling::WorkerLifetime> mErased;
  };

  enum class Phase
  {
    Idle,
    Recovering,
    Working,
    Paused,
  };

  bool isWorking() const { return mPhase == Phase::Working; }
  void handleMessage(Net::Link* aLink, const std::string& aBytes);
  void handleReport(Peer& aPeer, Wire::Report aReport);
  void applyReport(const Wire::Report& aReport, Timestamp aReceivedAt);
  /// End of the leases that an agent extends after the answer to a report received at aReceivedAt.
  Timestamp ownLeaseEnd(Timestamp aReceivedAt) const;
  void applyOrderResults(const std::vector<Wire::OrderResult>& aResults);
  void answerStatusQuery(Peer& aPeer, const Wire::StatusQuery& aQuery);
  /// Makes a write on behalf of an entry whose own calls the store refuses.
  void relayWrite(Net::Link* aLink, const Wire::RelayedWrite& aWrite);
  void dropPeer(Net::Link* aLink);

  void readWorkers();
  /// When the lease of a worker ends that was last extended at aLastExtension.
  Timestamp leaseEndAfter(Timestamp aLastExtension) const;
  /// When the leases end of workers that this coordinator has not heard of.
  Timestamp recordedLeaseEnd() const;
  /// Waits for the news that the earlier coordinator's process has ended.
  void watchPredecessor();
  void handleEndedKey(const std::vector<Store::Entry>& aEntries);
  /// True if no earlier coordinator extends the lease of the recorded worker any more.
  bool holdsSuspension(const Wire::WorkerRecord& aRecord) const;
  /// Repeats a step of the recovery after mStoreRetryDelay, because the read of aKey, a key or a
  /// prefix, failed.
  void retryRead(const std::string& aKey, void (Coordinator::*aStep)());
  std::int64_t millisecondsInTerm() const;
  void readRecordsVersion();
  void readModel();
  void readProgress();
  void watchJobs();
  void handleJobSnapshot(const std::vector<Store::Entry>& aEntries, Store::Version aAt);
  /// Forgets the removed jobs whose entries no answer of the store can contain any more, now that
  /// one of this version has arrived.
  void forgetRemovedJobs(Store::Version aUpTo);
  void handleJobEntry(const Store::Entry& aEntry, bool aRecovered);
  /// Handles the submissions that arrived while the lease was not valid, if it is valid now.
  void acceptHeldSubmissions();
  void startWork();

  void schedulePlacement();
  void placeTasks();
  /// What the starts of a placement round may take of the link now.
  Scheduling::StartBudget startBudget(Timestamp aNow);
  /// Includes the job's payload in start orders, unless the agent keeps it.
  Wire::Order toWireOrder(Peer& aPeer, const Scheduling::Order& aOrder) const;
  void sendOrders();
  void sendDirective(Peer& aPeer,
                     std::vector<Wire::Order> aOrders,
                     bool aIncludeKnownWorkers = false,
                     std::vector<Wire::Question> aQuestions = {});
  void resendOrders(Peer& aPeer);
  Peer* findPeer(const Common::InstanceId& aAgent);
  /// Sends the message and counts its bytes by aPurpose. Returns their number.
  std::size_t send(Net::Link& aLink, const char* aPurpose, const Wire::Message& aMessage);
  void countBytes(const char* aPurpose, std::size_t aBytes);
  /// Records how much later than planned the tick runs, and logs the load at intervals.
  void recordLoad(Timestamp aPlannedTick);
  void scheduleTick();
  void logSchedulingEntries();
  void updateCounters();
  /// Updates the counters of evacuated workers, and logs evacuated data centres without workers and
  /// that none is left in which tasks can start.
  void updateEvacuationCounters();
  /// Updates the counters of ends that wait for the records of their jobs.
  void updateEndCounters();

  void scheduleFlush();
  /// aUrgent prevents scheduleFlush() from replacing the timer.
  void scheduleFlushAfter(Duration aDelay, bool aUrgent);
  void flush();
  /// True if the worker's agent is lost and the worker's record can say, and does not say yet, that
  /// the lease is not extended any more.
  bool canSuspend(const Scheduling::Worker& aWorker) const;
  /// True if the worker's record has to be written, anew or to suspend or resume the extension of
  /// the lease.
  bool hasOutdatedRecord(const Scheduling::Worker& aWorker) const;
  /// Adds the records of the first aRoom workers and returns how many these are.
  std::size_t addWorkerRecords(Store::Transaction& aTransaction,
                               FlushedWorkers& aFlushed,
                               std::span<Scheduling::Worker* const> aWorkers,
                               std::size_t aRoom);
  /// Takes over what the records in the store say of the workers after a flush.
  void handleWrittenWorkers(const FlushedWorkers& aWorkers);
  /// Adds the records of changed jobs, as many as have room, and removes these jobs from the queue.
  void addChangedJobs(Store::Transaction& aTransaction);
  /// Queues the records of the flush in progress to be written again.
  void markFlushJobsDirty();
  /// Tells the agents which ends their workers may drop since the last flush.
  void acknowledgeEnds();
  void handleFlushResult(const FlushedWorkers& aWorkers,
                         const tl::expected<Store::Version, Store::WriteFailure>& aResult);
  /// If the write failed only because an earlier write of this term took effect late, adopts the
  /// version that kRecordsKey has now and returns true.
  bool adoptVersionOfLateWrite(const Store::WriteFailure& aFailure);
  /// Erases the records of jobs that ended long ago.
  void collectGarbage();
  /// Erases the fences between attempts to submit a job that no write can depend on any more.
  void collectFences();
  void handleErasedFences(const std::vector<std::string>& aKeys,
                          const tl::expected<Store::Version, Store::WriteFailure>& aResult);
  /// False if this coordinator may have recorded of a worker of the agent that its lease is not
  /// extended.
  bool mayExtendLeases(const Common::InstanceId& aAgent) const;
  /// Number of workers whose records may say that their leases are not extended.
  std::size_t suspendedWorkers() const;
  /// Longest time by which an agent may extend its workers' leases after a directive.
  Duration maxLeaseExtension() const;

  Context& mContext;
  Election& mElection;
  Phase mPhase = Phase::Idle;
  Common::Epoch mTerm;
  Timestamp mTermStart;
  /// Incremented by pause() and endTerm(); answers to calls of earlier generations are dropped.
  int mCallGeneration = 0;
  Scheduling::SchedulerState mState;
  std::unordered_map<Common::JobId, Scheduling::Progress> mRecoveredProgress;
  /// Last key of the worker records read so far.
  std::string mWorkerCursor;
  /// Last key of the progress records read so far.
  std::string mProgressCursor;
  /// Jobs whose cancellation was seen before their submission.
  std::unordered_set<Common::JobId> mCancelledBeforeSubmission;
  /// Jobs whose records were erased, with the version at which they were. Pages that were read
  /// before may still contain their entries.
  std::unordered_map<Common::JobId, Store::Version> mRemovedJobs;
  struct SeenFence
  {
    Store::Version mVersion;
    Timestamp mSeenAt;
  };
  /// By key.
  std::map<std::string, SeenFence> mFences;
  Timestamp mNextFenceCollection;
  /// Submissions that were read while the lease was not valid. Another coordinator may have started
  /// their tasks.
  std::vector<Store::Entry> mHeldSubmissions;
  std::unique_ptr<PrefixWatcher> mJobWatcher;
  /// Set while the earlier coordinator may still act and workers are awaited because of it.
  std::unique_ptr<PrefixWatcher> mPredecessorWatcher;
  /// The value of kRecordsKey says that earlier coordinators may act for longer than is known now.
  bool mStampOutdated = false;
  std::map<Net::Link*, Peer> mPeers;
  std::map<Common::InstanceId, EarlyReport> mEarlyReports;
  /// When the last report of each agent was received that was answered with an extension of its
  /// workers' leases during the recovery.
  std::map<Common::InstanceId, Timestamp> mExtendedInRecovery;
  /// Results of orders in reports that arrived while this process must not act. Agents send each
  /// result once.
  std::vector<Wire::OrderResult> mHeldResults;
  std::optional<QueueTables> mTables;
  /// The evacuated data centres and the version of the store as of which they are; empty while
  /// nothing is known.
  std::optional<std::pair<Scheduling::EvacuatedDataCentres, Store::Version>> mEvacuated;
  /// Evacuated data centres without workers that were logged.
  Scheduling::EvacuatedDataCentres mLoggedWithoutWorkers;
  bool mLoggedAllEvacuated = false;
  /// This term has logged that nothing is placed because mEvacuated is empty.
  bool mLoggedUnknownEvacuations = false;
  LinkShare mOrderShare;
  boost::asio::steady_timer mPlacementTimer;
  boost::asio::steady_timer mTickTimer;
  boost::asio::steady_timer mFlushTimer;
  boost::asio::steady_timer mReadRetryTimer;
  bool mPlacementPending = false;
  Timestamp mNextPlacement;
  bool mFlushInProgress = false;
  bool mFlushScheduled = false;
  bool mUrgentFlushScheduled = false;
  Timestamp mNextGarbageCollection;
  Timestamp mNextLoadEntry;
  /// Traffic by purpose. The names are literals.
  std::map<std::string_view, Traffic> mTraffic;
  /// Longest delay of a tick and longest placement round since the last log entry about the load.
  Duration mLongestDelay{ 0 };
  Duration mLongestPlacement{ 0 };
  Timestamp mNextModelWrite;
  Timestamp mFlushStartedAt;
  /// Version of kRecordsKey, a precondition of the next flush.
  Store::Version mRecordsVersion;
  /// Callback of flushAll(); empty if none waits.
  std::function<void()> mFlushAllDone;
  /// Jobs in the flush in progress.
  std::vector<FlushedJob> mFlushJobs;
};

} // namespace Node
