#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include <boost/asio/steady_timer.hpp>

#include "Net/Link.h"
#include "Node/Election.h"
#include "Node/PrefixWatcher.h"
#include "Scheduling/Schedule.h"

namespace Node {

/// The duty of the process that won the election: it knows all jobs and workers, decides what runs
/// where, and writes down what has ended.
class Coordinator
{
public:
  Coordinator(Context& aContext, Election& aElection);
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  /// Begins a term: reads what the store holds, then takes reports.
  void startTerm(Common::Epoch aTerm);
  /// Goes on with the state of the term after a pause.
  void resume();
  /// No orders, grants or answers until resume() or startTerm().
  void pause();
  /// Drops the state; another process has a higher term.
  void endTerm();
  /// True if another process is there that can take over.
  bool hasSuccessor() const;
  /// Writes what is not written yet; aDone comes in any case.
  void flushAll(std::function<void()> aDone);

  void setTables(const QueueTables& aTables);
  /// A process connected to this one.
  void acceptLink(const std::shared_ptr<Net::Link>& aLink);

private:
  struct Peer
  {
    std::shared_ptr<Net::Link> mLink;
    /// Set once it has reported as an agent.
    Common::InstanceId mAgent;
    std::int64_t mEchoMicros = 0;
    /// The process can become the coordinator.
    bool mIsCandidate = false;
  };
  struct EarlyReport
  {
    Wire::Report mReport;
    Timestamp mReceivedAt;
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
  void answerStatus(Peer& aPeer, const Wire::StatusQuery& aQuery);
  /// Makes the write of an entry that the store turns away.
  void relayWrite(Net::Link* aLink, const Wire::RelayedWrite& aWrite);
  void dropPeer(Net::Link* aLink);

  void readWorkers();
  /// Repeats a step of the recovery that the store did not answer.
  void retryRead(void (Coordinator::*aStep)());
  void readRecordsVersion();
  void readModel();
  void readProgress();
  void watchJobs();
  void handleJobSnapshot(const std::vector<Store::Entry>& aEntries);
  void handleJobEntry(const Store::Entry& aEntry, bool aRecovered);
  void startWork();

  void schedulePlan();
  void placeTasks();
  /// Only starts carry the job's payload.
  Wire::Order toWireOrder(const Scheduling::Order& aOrder) const;
  void sendOrders();
  void sendDirective(Peer& aPeer,
                     std::vector<Wire::Order> aOrders,
                     bool aIncludeKnownWorkers = false,
                     std::vector<Wire::Question> aQuestions = {});
  void resendOrders(Peer& aPeer);
  Peer* findPeer(const Common::InstanceId& aAgent);
  void scheduleTick();
  void logNotes();
  void updateCounters();

  void scheduleFlush();
  /// aUrgent: no later flush is to take its place before this one.
  void scheduleFlushAfter(Duration aDelay, bool aUrgent);
  void flush();
  /// The records of the flush on its way must be written again.
  void markFlushJobsDirty();
  void handleFlushResult(const std::vector<Scheduling::Life>& aRecorded,
                         bool aAllJobsWritten,
                         const tl::expected<Store::Version, Store::WriteFailure>& aResult);
  /// True if the write was refused because an earlier one took effect meanwhile; takes over its
  /// version.
  bool wasOvertakenByOwnWrite(const Store::WriteFailure& aFailure);
  void collectGarbage();
  Duration maxLeaseExtension() const;

  Context& mContext;
  Election& mElection;
  Phase mPhase = Phase::Idle;
  Common::Epoch mTerm;
  Timestamp mTermStart;
  /// Answers to calls of an earlier term are dropped.
  int mCallGeneration = 0;
  Scheduling::State mState;
  std::unordered_map<Common::JobId, Scheduling::Progress> mRecoveredProgress;
  /// Last key of the progress pages read so far.
  std::string mProgressCursor;
  std::unordered_set<Common::JobId> mCancelledBeforeSubmission;
  std::unique_ptr<PrefixWatcher> mJobWatcher;
  std::map<Net::Link*, Peer> mPeers;
  std::map<Common::InstanceId, EarlyReport> mEarlyReports;
  std::optional<QueueTables> mTables;
  boost::asio::steady_timer mTickTimer;
  boost::asio::steady_timer mFlushTimer;
  boost::asio::steady_timer mReadRetryTimer;
  bool mPlanPending = false;
  bool mFlushInProgress = false;
  bool mFlushScheduled = false;
  bool mUrgentFlushScheduled = false;
  Timestamp mNextGarbageCollection;
  Timestamp mNextModelWrite;
  Timestamp mFlushStartedAt;
  /// Version of kRecordsKey as of the last write.
  Store::Version mRecordsVersion;
  std::function<void()> mFlushAllDone;
  /// Jobs in the flush on its way, with the states that it writes.
  std::vector<std::pair<Common::JobId, Scheduling::JobState>> mFlushJobs;
  /// Ends up to these are in the records of the flush on its way.
  std::map<Scheduling::Life, Scheduling::EndNumber> mFlushEnds;
};

} // namespace Node
