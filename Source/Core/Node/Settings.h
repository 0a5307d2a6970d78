#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/Clock.h"
#include "Common/Ids.h"

/// The processes of ibisshed on a platform whose store has transactions. Entry processes answer
/// callers' requests, and one of them is elected coordinator; an agent process runs beside each
/// worker.
namespace Node {

using Common::Duration;
using Common::Timestamp;

/// Start-up configuration of one process. Addresses have the form "IP:PORT" and are empty if the
/// process's role does not use them.
struct Settings
{
  Common::InstanceId mInstance;
  Common::DataCentreId mDataCentre;
  /// Exactly one of mRunsEntry and mRunsAgent is set.
  bool mRunsEntry = false;
  bool mRunsAgent = false;
  /// Where callers connect.
  std::string mCallerAddress;
  /// Where the platform's readiness checks ask whether this entry accepts requests.
  std::string mReadinessAddress;
  /// Where the worker of this machine sends its announcements.
  std::string mAnnouncementAddress;
  /// Where the worker of this machine accepts calls, if known before its first announcement.
  std::string mWorkerAddress;
  /// Where other ibisshedd processes connect.
  std::string mPeerAddress;
  /// Where the counters are served as text; not served if empty.
  std::string mMetricsAddress;
  std::string mStoreAddress;
  /// The advice service, which decides which workers may run a step.
  std::string mAdviceAddress;
  /// Longest lease that a worker accepts; an upper limit to TimingConstants::mWorkerLease.
  Duration mMaxWorkerLease{ std::chrono::seconds(5) };
  /// Longest time that a worker takes to end a task after a stop request.
  Duration mMaxTaskStopTime{ std::chrono::seconds(1) };
  /// Share of a core that the machine gives this process, and the speed of its link in Mbit/s; 0 if
  /// not known.
  double mProcessorShare = 0;
  double mLinkSpeed = 0;
  /// Memory of the machine of this process in bytes, and descriptors that it may have open.
  std::uint64_t mMemoryLimit = 512ULL << 20;
  std::size_t mMaxDescriptors = 4'096;
  /// Shortest lease that the store grants.
  Duration mMinStoreLease{ std::chrono::seconds(1) };
  /// Time from the request to stop a process until the platform kills it.
  Duration mShutdownGrace{ std::chrono::seconds(6) };
  /// Expected ratio of the run time on a cold worker to that on a warm one until it is learned.
  double mColdOverrun = 1.0;
  /// Stated by the platform without saying what it bounds; not used. 0 if not stated.
  double mColdTolerance = 0.0;
  /// Shortest time for which the state of an ended job can be queried.
  Duration mEndedJobRetention{ std::chrono::seconds(120) };
  /// Multiple of its run time that a task takes away from its data; 1 if the settings state none.
  double mRemoteFactor = 1.0;
};

/// Intervals, delays and timeouts of the processes. The scheduling code receives the ones it needs
/// as arguments.
struct TimingConstants
{
  /// Time to live of the coordinator's leased key. A coordinator that crashes without releasing the
  /// key is replaced once it expires.
  Duration mCoordinatorLease{ std::chrono::milliseconds(1500) };
  /// A quarter of mCoordinatorLease, so that the lease survives two lost renewals.
  Duration mLeaseRenewalInterval{ std::chrono::milliseconds(375) };
  /// Timeout of one renewal call. A slow store answers within 250 ms; the network latency between
  /// regions adds 60 ms.
  Duration mLeaseRenewalTimeout{ std::chrono::milliseconds(600) };
  /// The coordinator stops acting this long before its key can expire.
  Duration mLeaseSafetyMargin{ std::chrono::milliseconds(200) };
  /// While the store does not answer at all, the coordinator continues for this time after its
  /// lease would have expired; most store outages are shorter. If another coordinator is elected
  /// meanwhile, it takes over all reachable agents without delay, but waits this much longer before
  /// it restarts tasks that may still run on workers of the others.
  Duration mStoreOutageGrace{ std::chrono::milliseconds(5000) };
  /// How long tasks may keep running after their agent lost the coordinator. Tasks survive a freeze
  /// of four seconds, but those of a disconnected worker are restarted elsewhere only after this
  /// time.
  Duration mWorkerLease{ std::chrono::milliseconds(5000) };
  /// Largest fraction by which a worker's steady clock may run slow.
  double mClockDrift = 0.03;
  /// Interval at which agents report to the coordinator.
  Duration mReportInterval{ std::chrono::milliseconds(400) };
  /// Longest delivery time of a message between regions while the link is not saturated.
  Duration mMaxMessageDelay{ std::chrono::milliseconds(300) };
  /// A peer that sends nothing for this long counts as lost; more than three report intervals.
  Duration mPeerTimeout{ std::chrono::milliseconds(1500) };
  Duration mConnectTimeout{ std::chrono::milliseconds(600) };
  /// Delay before a reconnect to the coordinator. Agents double it up to mMaxReconnectDelay while
  /// none answers.
  Duration mReconnectDelay{ std::chrono::milliseconds(100) };
  Duration mMaxReconnectDelay{ std::chrono::milliseconds(800) };
  /// The store answers within a few milliseconds, or within 500 ms while it is slow.
  Duration mStoreCallTimeout{ std::chrono::milliseconds(900) };
  Duration mStoreRetryDelay{ std::chrono::milliseconds(150) };
  /// How long the store may hold a watch call open. A call without an answer after this time plus
  /// mWatchTimeoutMargin is repeated, because its connection may be dead. This bounds the age of
  /// the tables in use.
  Duration mWatchWait{ std::chrono::milliseconds(1200) };
  /// Like mWatchWait, for agents' watch of the coordinator's key. It can be longer because agents
  /// also look for a new coordinator when they lose the connection to the old one.
  Duration mAgentWatchWait{ std::chrono::milliseconds(8000) };
  Duration mWatchTimeoutMargin{ std::chrono::milliseconds(700) };
  /// Timeout of one call that carries out an order on a worker.
  Duration mOrderCallTimeout{ std::chrono::milliseconds(700) };
  /// A run whose worker crashes within this time after its start call may be the cause.
  Duration mCrashTrialTime{ std::chrono::milliseconds(150) };
  /// How long a worker may hold a poll open; it answers earlier when a task ends.
  Duration mWorkerPollWait{ std::chrono::milliseconds(400) };
  /// Records that nothing waits for are collected for this time and written together.
  Duration mFlushDelay{ std::chrono::milliseconds(150) };
  /// Delay before the write of urgent records, such as those of ended jobs.
  Duration mUrgentFlushDelay{ std::chrono::milliseconds(5) };
  /// How long the fence between two attempts to submit a job is kept. Callers wait for up to 600 s,
  /// and the writes that it fences are applied within seconds of the caller's deadline.
  Duration mFenceRetention{ std::chrono::seconds(660) };
  /// How long a caller's query waits for the coordinator; a job's state is then read from the
  /// store.
  Duration mStatusQueryTimeout{ std::chrono::milliseconds(400) };
};

} // namespace Node
