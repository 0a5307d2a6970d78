#pragma once

#include "UnitTests/Ownership/Nodes.h"

namespace World {

/// One run; internal to the schedule tests. The parts are in the files of their names.
class Simulation
{
public:
  explicit Simulation(const Options& aOptions);

  Result run();

private:
  bool chance(double aProbability) { return mRandom.unit() < aProbability; }
  Duration upTo(Duration aMax)
  {
    return Duration(
      static_cast<Duration::rep>(mRandom.below(static_cast<std::uint64_t>(aMax.count()) + 1)));
  }
  template<typename List>
  auto& any(List& aList)
  {
    return aList[mRandom.below(aList.size())];
  }

  void startProcess(Process& aProcess);

  void startAgent(Agent& aAgent);

  void startOwner(Owner& aOwner);

  // Faults

  void disturb();

  // Separates one owner from some agents, or several owners from one agent.
  void cutSome();

  // Leaves one owner alone with some agents, usually without the store, and the others with the
  // rest.
  void partition();

  void handOver(Owner& aOwner);

  void heal();

  // If most of the recorded roster restarted while the owner changed, only the operator can go on.
  // The owner that was told may be a replaced one that has not noticed, so the call is repeated.
  void declareLostIfStuck();

  // Network

  bool isCut(int aOwner, int aAgent) const
  {
    const auto found = mCut.find({ aOwner, aAgent });
    return found != mCut.end() && found->second > mNow;
  }

  // When a message sent now arrives; empty if it is lost.
  std::optional<Timestamp> arrival(int aOwner, int aAgent);

  // Owners

  void step(Owner& aOwner, const Event& aEvent);

  void begin(Owner& aOwner);

  void call(Owner& aOwner, const Action& aAction);

  void send(Owner& aOwner, const SendHeartbeat& aHeartbeat);

  void placeTasks(Owner& aOwner);

  void place(Owner& aOwner, Slot& aSlot, Timestamp aNow);

  void onReply(Owner& aOwner,
               const HeartbeatReply& aReply,
               std::int64_t aSequence,
               const Report& aReport);

  // Agents

  void receive(Agent& aAgent,
               Owner& aOwner,
               const HeartbeatGrant& aGrant,
               const Report& aStarts,
               Timestamp aSentAt,
               int aRun);

  void start(Agent& aAgent, TaskName aTask, std::int64_t aAttempt, Timestamp aNow);

  // A call of the agent on its worker; the process may be paused before it is sent.
  void toWorker(Agent& aAgent, std::function<void()> aCall);

  void tendTasks(Agent& aAgent);

  void join(Agent& aAgent);

  // Observers

  void observeStart(const Agent& aAgent, TaskName aTask);

  void observeKeys(const Owner& aOwner);

  void violation(const std::string& aText);

  void step();

  Options mOptions;
  Common::Random mRandom;
  OwnerSettings mSettings;
  OwnerSettings mOwnerSettings;
  Timestamp mNow{ 1h };
  Common::ManualClock mStoreClock;
  Store::MemoryStore mStore{ mStoreClock };
  Inbox mLateWrites;
  std::vector<Agent> mAgents;
  std::vector<Owner> mOwners;
  std::map<std::pair<int, int>, Timestamp> mCut;
  std::map<int, Timestamp> mStoreCut;
  Timestamp mStoreDownUntil;
  bool mHealed = false;
  std::int64_t mIncarnations = 0;
  std::set<TaskName> mEverStarted;
  Epoch mKeyEpoch;
  Result mResult;
};

} // namespace World
