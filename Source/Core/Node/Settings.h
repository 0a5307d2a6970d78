#pragma once

#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"

/// The processes of ibisshed on a platform that has a store with transactions: entries, of which
/// one is the coordinator, and an agent beside each worker.
namespace Node {

using Common::Duration;
using Common::Timestamp;

/// What one process is told at its start. Addresses are "IP:PORT", empty if the role lacks them.
struct Settings
{
  Common::InstanceId mInstance;
  Common::DataCentreId mDataCentre;
  bool mEntry = false;
  bool mAgent = false;
  /// Where callers connect.
  std::string mCallers;
  /// Where the platform asks whether this entry takes callers.
  std::string mReadiness;
  /// Where the worker of this machine announces itself.
  std::string mAnnouncements;
  /// Where the worker of this machine takes calls, if that is known before it announces itself.
  std::string mWorker;
  /// Where other ibisshedd processes connect.
  std::string mPeers;
  /// Counters as text; only served if not empty.
  std::string mMetrics;
  std::string mStore;
  /// The service that says which workers may run a step.
  std::string mAdvice;
  /// Longest lease that a worker accepts.
  Duration mMaxHold{ std::chrono::seconds(5) };
  /// Longest time that a worker takes to end a stopped task.
  Duration mStopTime{ std::chrono::seconds(1) };
  /// Shortest lease that the store grants.
  Duration mMinLease{ std::chrono::seconds(1) };
  /// Time between the request to stop and the end of the process.
  Duration mGrace{ std::chrono::seconds(6) };
  /// How long the state of an ended job is shown at least.
  Duration mRetention{ std::chrono::seconds(120) };
};

/// Times of the processes. Each stands here once; decisions get them passed in.
struct Times
{
  /// Life of the coordinator's key without renewal. A coordinator that is lost without a trace is
  /// replaced after it.
  Duration mTerm{ std::chrono::milliseconds(1500) };
  /// A quarter of mTerm, so that two lost renewals do not end the term.
  Duration mRenewal{ std::chrono::milliseconds(375) };
  /// A renewal is given up after this time. A store that is slow answers in a quarter of a second,
  /// and the way between regions takes 60 ms.
  Duration mRenewalCall{ std::chrono::milliseconds(600) };
  /// The coordinator stops acting this long before its key may lapse.
  Duration mTermMargin{ std::chrono::milliseconds(200) };
  /// While the store does not answer at all, the coordinator goes on for this time beyond its key.
  /// Most outages of the store are shorter. Another coordinator, if there is one, takes the agents
  /// that it reaches over at once, and waits this much longer for what runs on the others.
  Duration mStoreSilence{ std::chrono::milliseconds(5000) };
  /// Longest time that tasks run on after their agent lost the coordinator. It outlasts a freeze of
  /// four seconds; tasks on a worker that is cut off start elsewhere only after it.
  Duration mHold{ std::chrono::milliseconds(5000) };
  /// Steady clocks of workers may be this much slow.
  double mClockDrift = 0.03;
  Duration mReport{ std::chrono::milliseconds(400) };
  /// A message takes at most this long between regions while the link is not full.
  Duration mMessageTime{ std::chrono::milliseconds(300) };
  /// A peer that sends nothing for this long is taken as lost; three reports.
  Duration mPeerSilence{ std::chrono::milliseconds(1500) };
  Duration mConnect{ std::chrono::milliseconds(600) };
  Duration mReconnect{ std::chrono::milliseconds(100) };
  Duration mReconnectMax{ std::chrono::milliseconds(800) };
  /// Answers of the store take some milliseconds, and up to half a second while it is slow.
  Duration mStoreCall{ std::chrono::milliseconds(900) };
  Duration mStoreRetry{ std::chrono::milliseconds(150) };
  /// A watch that says nothing for this long and mWatchSlack is asked anew, because a connection
  /// may have gone silent. Bounds the age of tables in force.
  Duration mWatch{ std::chrono::milliseconds(1200) };
  /// Agents learn of a new coordinator also by the loss of the old one.
  Duration mAgentWatch{ std::chrono::milliseconds(8000) };
  Duration mWatchSlack{ std::chrono::milliseconds(700) };
  Duration mOrderCall{ std::chrono::milliseconds(700) };
  /// The worker answers a look at once or when a task ends.
  Duration mLook{ std::chrono::milliseconds(400) };
  /// Ended tasks that nobody waits for are written together within this time.
  Duration mFlush{ std::chrono::milliseconds(150) };
  /// Ended jobs are written within this time.
  Duration mFlushNow{ std::chrono::milliseconds(5) };
  /// An answer to a caller that needs the coordinator or the store waits this long for one of them.
  Duration mAsk{ std::chrono::milliseconds(400) };
};

} // namespace Node
