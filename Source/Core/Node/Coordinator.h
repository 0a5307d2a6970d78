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
#include "Node/Watcher.h"
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
  void begin(Common::Epoch aTerm);
  /// Goes on with the state of the term after a pause.
  void resume();
  /// No orders, grants or answers until resume() or begin().
  void pause();
  /// Drops the state; another process has a higher term.
  void end();
  /// True if another process is there that can take over.
  bool hasSuccessor() const;
  /// Writes what is not written yet; aDone comes in any case.
  void flushAll(std::function<void()> aDone);

  void takeTables(const QueueTables& aTables);
  /// A process connected to this one.
  void takeLink(const std::shared_ptr<Net::Link>& aLink);

private:
  struct Peer
  {
    std::shared_ptr<Net::Link> mLink;
    /// Set once it has reported as an agent.
    Common::InstanceId mAgent;
    std::int64_t mEcho = 0;
    /// The process can become the coordinator.
    bool mCandidate = false;
  };
  struct EarlyReport
  {
    Wire::Report mReport;
    Timestamp mTaken;
  };

  enum class Phase
  {
    Idle,
    Reading,
    Working,
    Paused,
  };

  bool works() const { return mPhase == Phase::Working; }
  void takeMessage(Net::Link* aLink, const std::string& aBytes);
  void takeReport(Peer& aPeer, Wire::Report aReport);
  void apply(const Wire::Report& aReport, Timestamp aTaken);
  void answerStatus(Peer& aPeer, const Wire::StatusQuery& aQuery);
  /// Makes the write of an entry that the store turns away.
  void relay(Net::Link* aLink, const Wire::RelayedWrite& aWrite);
  void dropPeer(Net::Link* aLink);

  void readWorkers();
  /// Repeats a step of the recovery that the store did not answer.
  void readLater(void (Coordinator::*aRead)());
  void readRecordsVersion();
  void readModel();
  void readProgress();
  void watchJobs();
  void takeJobSnapshot(const std::vector<Store::Entry>& aEntries);
  void takeJobEntry(const Store::Entry& aEntry, bool aRecovered);
  void beginWork();

  void planSoon();
  void plan();
  /// Only starts carry the job's payload.
  Wire::Order withPayload(const Scheduling::Order& aOrder) const;
  void sendOrders();
  void sendDirective(Peer& aPeer,
                     std::vector<Wire::Order> aOrders,
                     bool aTellKnown = false,
                     std::vector<Wire::Question> aQuestions = {});
  void repeatOrders(Peer& aPeer);
  Peer* peerOf(const Common::InstanceId& aAgent);
  void everyTick();
  void logNotes();
  void updateCounters();

  void flushSoon();
  /// aNow: no later flush is to take its place before this one.
  void flushAfter(Duration aDelay, bool aNow);
  void flush();
  /// The records of the flush on its way must be written again.
  void markUnwritten();
  void takeFlush(const std::vector<Scheduling::WorkerLifetime>& aRecorded,
                 bool aAllWritten,
                 const tl::expected<Store::Version, Store::WriteFailure>& aResult);
  /// True if the write was refused because an earlier one took effect meanwhile; takes over its
  /// version.
  bool overtakenByOwnWrite(const Store::WriteFailure& aFailure);
  void collectGarbage();
  Duration maxGrant() const;

  Context& mContext;
  Election& mElection;
  Phase mPhase = Phase::Idle;
  Common::Epoch mTerm;
  Timestamp mBegan;
  /// Answers to calls of an earlier term are dropped.
  int mRound = 0;
  Scheduling::SchedulerState mState;
  std::unordered_map<Common::JobId, Scheduling::Progress> mRecovered;
  /// Last key of the progress pages read so far.
  std::string mReadAfter;
  std::unordered_set<Common::JobId> mCancelledEarly;
  std::unique_ptr<Watcher> mJobs;
  std::map<Net::Link*, Peer> mPeers;
  std::map<Common::InstanceId, EarlyReport> mEarly;
  std::optional<QueueTables> mTables;
  boost::asio::steady_timer mTick;
  boost::asio::steady_timer mFlushTimer;
  boost::asio::steady_timer mReadTimer;
  bool mPlanPending = false;
  bool mFlushing = false;
  bool mFlushArmed = false;
  bool mFlushArmedNow = false;
  Timestamp mNextCollection;
  Timestamp mNextModel;
  Timestamp mFlushSent;
  /// Version of kRecordsKey as of the last write.
  Store::Version mRecordsVersion;
  std::function<void()> mFlushed;
  /// Jobs in the flush on its way, with the states that it writes.
  std::vector<std::pair<Common::JobId, Scheduling::JobState>> mFlushJobs;
  /// Ends up to these are in the records of the flush on its way.
  std::map<Scheduling::WorkerLifetime, Scheduling::EndNumber> mFlushEnds;
};

} // namespace Node
