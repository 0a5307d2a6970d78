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
  bool mRunsEntry = false;
  bool mRunsAgent = false;
  /// Where callers connect.
  std::string mCallerAddress;
  /// Where the platform asks whether this entry takes callers.
  std::string mReadinessAddress;
  /// Where the worker of this machine announces itself.
  std::string mAnnouncementAddress;
  /// Where the worker of this machine takes calls, if that is known before it announces itself.
  std::string mWorkerAddress;
  /// Where other ibisshedd processes connect.
  std::string mPeerAddress;
  /// Counters as text; only served if not empty.
  std::string mMetricsAddress;
  std::string mStoreAddress;
  /// The service that says which workers may run a step.
  std::string mAdviceAddress;
  /// Longest lease that a worker accepts.
  Duration mMaxWorkerLease{ std::chrono::seconds(5) };
  /// Longest time that a worker takes to end a stopped task.
  Duration mMaxTaskStopTime{ std::chrono::seconds(1) };
  /// Shortest lease that the store grants.
  Duration mMinStoreLease{ std::chrono::seconds(1) };
  /// Time between the request to stop and the end of the process.
  Duration mShutdownGrace{ std::chrono::seconds(6) };
  /// How long the state of an ended job is shown at least.
  Duration mEndedJobRetention{ std::chrono::seconds(120) };
};

/// Times of the processes. Each stands here once; decisions get them passed in.
struct TimingConstants
{
  /// Life of the coordinator's key without renewal. A coordinator that is lost without a trace is
  /// replaced after it.
  Duration mCoordinatorLease{ std::chrono::milliseconds(1500) };
  /// A quarter of mCoordinatorLease, so that two lost renewals do not end the term.
  Duration mLeaseRenewalInterval{ std::chrono::milliseconds(375) };
  /// A renewal is given up after this time. A store that is slow answers in a quarter of a second,
  /// and the way between regions takes 60 ms.
  Duration mLeaseRenewalTimeout{ std::chrono::milliseconds(600) };
  /// The coordinator stops acting this long before its key may lapse.
  Duration mLeaseSafetyMargin{ std::chrono::milliseconds(200) };
  /// While the store does not answer at all, the coordinator goes on for this time beyond its key.
  /// Most outages of the store are shorter. Another coordinator, if there is one, takes the agents
  /// that it reaches over at once, and waits this much longer for what runs on the others.
  Duration mStoreOutageGrace{ std::chrono::milliseconds(5000) };
  /// Longest time that tasks run on after their agent lost the coordinator. It outlasts a freeze of
  /// four seconds; tasks on a worker that is cut off start elsewhere only after it.
  Duration mWorkerLease{ std::chrono::milliseconds(5000) };
  /// Steady clocks of workers may be this much slow.
  double mClockDrift = 0.03;
  Duration mReportInterval{ std::chrono::milliseconds(400) };
  /// A message takes at most this long between regions while the link is not full.
  Duration mMaxMessageDelay{ std::chrono::milliseconds(300) };
  /// A peer that sends nothing for this long is taken as lost; three reports.
  Duration mPeerTimeout{ std::chrono::milliseconds(1500) };
  Duration mConnectTimeout{ std::chrono::milliseconds(600) };
  Duration mReconnectDelay{ std::chrono::milliseconds(100) };
  Duration mMaxReconnectDelay{ std::chrono::milliseconds(800) };
  /// Answers of the store take some milliseconds, and up to half a second while it is slow.
  Duration mStoreCallTimeout{ std::chrono::milliseconds(900) };
  Duration mStoreRetryDelay{ std::chrono::milliseconds(150) };
  /// A watch that says nothing for this long and mWatchTimeoutMargin is asked anew, because a
  /// connection may have gone silent. Bounds the age of tables in force.
  Duration mWatchWait{ std::chrono::milliseconds(1200) };
  /// Agents learn of a new coordinator also by the loss of the old one.
  Duration mAgentWatchWait{ std::chrono::milliseconds(8000) };
  Duration mWatchTimeoutMargin{ std::chrono::milliseconds(700) };
  Duration mOrderCallTimeout{ std::chrono::milliseconds(700) };
  /// The worker answers a look at once or when a task ends.
  Duration mWorkerPollWait{ std::chrono::milliseconds(400) };
  /// Ended tasks that nobody waits for are written together within this time.
  Duration mFlushDelay{ std::chrono::milliseconds(150) };
  /// Ended jobs are written within this time.
  Duration mUrgentFlushDelay{ std::chrono::milliseconds(5) };
  /// An answer to a caller that needs the coordinator or the store waits this long for one of them.
  Duration mStatusQueryTimeout{ std::chrono::milliseconds(400) };
};

} // namespace Node
