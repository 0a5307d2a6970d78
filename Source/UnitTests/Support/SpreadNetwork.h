#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "Spread/Spread.h"

/// Runs many instances of Spread::Step in virtual time over a lossy network, to test and measure
/// how a revision reaches all of them. It models messages and cuts only, no load and no scheduling.
namespace Support {

struct NetworkConfig
{
  std::size_t mInstances = 30;
  std::size_t mDataCentres = 3;
  std::size_t mRegions = 2;
  std::size_t mPeerSample = 12;
  std::size_t mRelaysPerDataCentre = 2;
  double mLoss = 0.01;
  std::uint64_t mSeed = 1;
  Spread::Timing mTiming;
  /// Baseline: every process watches the store and there are no messages between processes.
  bool mEveryProcessWatches = false;
};

struct Traffic
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  std::uint64_t mCrossRegionBytes = 0;
  /// Reads and watch wake-ups at the store; a watch that waits counts as one call.
  std::uint64_t mStoreCalls = 0;
};

class SpreadNetwork
{
public:
  explicit SpreadNetwork(const NetworkConfig& aConfig);

  /// Writes a new revision with the given texts to the store; relays that reach it learn of it.
  void publish(Spread::TableTexts aTexts);

  /// Runs until the given time has passed.
  void run(Spread::Duration aFor);

  /// Cuts all messages between a region and the rest, and its relays from the store, or ends the
  /// cut.
  void setRegionCut(std::size_t aRegion, bool aCut);
  void setStoreUp(bool aUp);
  /// Restarts a process: it forgets its tables and starts from the answers of its peers.
  void restart(std::size_t aInstance);
  /// Sends an old digest and its texts from a forged sender, as a peer that missed later revisions
  /// would.
  void injectReply(std::size_t aInstance, const Spread::FetchReply& aReply);

  std::size_t size() const { return mProcesses.size(); }
  const Spread::State& state(std::size_t aInstance) const { return mProcesses[aInstance].mState; }
  const Spread::Digest& stored() const { return mStored; }
  Spread::Timestamp now() const { return mNow; }
  const Traffic& traffic() const { return mTraffic; }
  std::uint64_t bytesOf(std::size_t aInstance) const { return mProcesses[aInstance].mBytes; }
  /// Most bytes that one process sent and received.
  std::uint64_t maxBytes() const;

  /// Time from the publication of the newest revision until the given share of processes had it in
  /// force; empty if that has not happened.
  std::optional<Spread::Duration> timeToShare(double aShare) const;
  /// Number of times that a process put a revision in force that was not above its last one.
  std::uint64_t regressions() const { return mRegressions; }
  std::uint64_t conflicts() const { return mConflicts; }
  std::size_t countInForce(const Spread::Digest& aDigest) const;

private:
  struct Process
  {
    Spread::State mState;
    std::size_t mDataCentre = 0;
    std::uint64_t mBytes = 0;
    Spread::Revision mHighest;
    Spread::Timestamp mScheduledTick;
    bool mRestarted = false;
  };
  struct Item
  {
    Spread::Timestamp mTime;
    std::uint64_t mOrder = 0;
    std::function<void()> mRun;
    bool operator<(const Item& aOther) const
    {
      return mTime != aOther.mTime ? mTime > aOther.mTime : mOrder > aOther.mOrder;
    }
  };

  void at(Spread::Timestamp aTime, std::function<void()> aRun);
  void deliver(std::size_t aTo, const Spread::Event& aEvent);
  void perform(std::size_t aFrom, const Spread::Action& aAction);
  void sendDigest(std::size_t aFrom, const Spread::SendDigest& aAction);
  void sendFetch(std::size_t aFrom, const Spread::SendFetch& aAction);
  void notifyWatcher(std::size_t aInstance);
  void scheduleTick(std::size_t aInstance);
  void setUpPeers(std::size_t aInstance);
  bool passes(std::size_t aFrom, std::size_t aTo);
  bool reachesStore(std::size_t aInstance) const;
  Spread::Duration delay(std::size_t aFrom, std::size_t aTo);
  void count(std::size_t aFrom, std::size_t aTo, std::size_t aBytes);
  std::size_t regionOf(std::size_t aInstance) const;

  NetworkConfig mConfig;
  Common::Random mRandom;
  Spread::Timestamp mNow{ std::chrono::hours(1) };
  std::priority_queue<Item> mQueue;
  std::uint64_t mOrder = 0;
  std::vector<Process> mProcesses;
  std::unordered_map<std::string, std::size_t> mIndex;
  std::vector<bool> mRegionCut;
  bool mStoreUp = true;
  Spread::Digest mStored;
  Spread::TableTexts mStoredTexts;
  Spread::Timestamp mPublishedAt;
  std::vector<Spread::Duration> mInForceAfter;
  Traffic mTraffic;
  std::uint64_t mRegressions = 0;
  std::uint64_t mConflicts = 0;
};

} // namespace Support
