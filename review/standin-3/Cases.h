#pragma once

#include "World.h"

namespace Review {

int
PlayWideTimetable(World& aWorld, bool aTrouble);
int
PlayWideJob(World& aWorld, bool aTrouble);
int
PlayLongTasks(World& aWorld, bool aTrouble);
int
PlayOpenStarts(World& aWorld, bool aTrouble);
int
PlayBacklog(World& aWorld, bool aTrouble);

inline const std::pair<const char*, int (*)(World&, bool)> kCases[] = {
  { "wide-timetable", &PlayWideTimetable },
  { "wide-job", &PlayWideJob },
  { "long-tasks", &PlayLongTasks },
  { "open-starts", &PlayOpenStarts },
  { "backlog", &PlayBacklog },
};

/// Starts aEntries entries, and aAgents agents with a worker each; false if they do not get ready.
struct Fleet
{
  Fleet(World& aWorld, int aEntries, int aAgents, Worker::Hooks aHooks, std::function<void(int, Worker::Options&)> aAdjust = {})
    : mWorld(aWorld)
  {
    for (int i = 0; i < aEntries; ++i) {
      mEntries.push_back(&aWorld.add(true, i));
    }
    for (int i = 0; i < aAgents; ++i) {
      World::Process& agent = aWorld.add(false, i);
      mAgents.push_back(&agent);
      Worker::Options options;
      options.mId = "i-" + std::to_string(1000 + i);
      options.mPool = "work";
      options.mZone = agent.mZone;
      options.mRack = "r-" + std::to_string(i / 3);
      options.mAddress = World::at(agent.mPort);
      options.mAgentAddress = World::at(agent.mPort + 2);
      if (aAdjust) {
        aAdjust(i, options);
      }
      mWorkers.push_back(std::make_unique<Worker>(aWorld.io(), options, aHooks));
    }
  }

  bool start()
  {
    for (const auto& worker : mWorkers) {
      if (!worker->start()) {
        return false;
      }
    }
    for (World::Process* process : mEntries) {
      mWorld.launch(*process);
    }
    for (World::Process* process : mAgents) {
      mWorld.launch(*process);
    }
    const bool ready = mWorld.passUntil(Ms(20'000), [this] {
      return mWorld.coordinator() != nullptr &&
             std::all_of(mEntries.begin(), mEntries.end(), [this](const World::Process* aEntry) {
               return mWorld.isReady(*aEntry);
             });
    });
    // Two status reports, after which all workers are known.
    mWorld.pass(Ms(3'500));
    return ready;
  }

  World& mWorld;
  std::deque<World::Process*> mEntries;
  std::deque<World::Process*> mAgents;
  std::vector<std::unique_ptr<Worker>> mWorkers;
};

} // namespace Review
