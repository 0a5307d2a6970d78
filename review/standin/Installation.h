#pragma once

#include <memory>

#include <sys/types.h>

#include "Store.h"
#include "Worker.h"

namespace Review {

/// A small installation: stand-ins of store and workers, and the system's own processes, started
/// with the command of the deploy file.
class Installation
{
public:
  struct Machine
  {
    std::string mName;
    std::string mZone;
    bool mIsEdge = false;
    int mFirstPort = 0;
    pid_t mProcess = 0;
    int frontend() const { return mFirstPort; }
    int readiness() const { return mFirstPort + 1; }
    int control() const { return mFirstPort + 2; }
    int peer() const { return mFirstPort + 3; }
  };

  /// aProgram: the daemon; aFolder: for settings and logs, it must exist.
  Installation(std::string aProgram, std::string aFolder, Record& aRecord);
  ~Installation();
  Installation(const Installation&) = delete;
  Installation& operator=(const Installation&) = delete;

  /// aEdges entries and aWorkers workers with an agent each, over three zones.
  void start(int aEdges, int aWorkers, nlohmann::json aBounds);
  void startProcess(Machine& aMachine);
  void signal(Machine& aMachine, int aSignal);
  /// Kills the process and waits for its end.
  void kill(Machine& aMachine);
  /// Waits until an entry is ready and all workers are recorded by the coordinator.
  bool waitUntilReady(Millis aTimeout);
  /// The entry that holds the coordinator's key in the store; nullptr if nobody holds it.
  Machine* coordinator();
  void putConfig(const nlohmann::json& aRoutes);

  /// A caller's request; an unanswered or undecided one is repeated at other entries, four times.
  Reply call(const std::string& aMethod,
             const std::string& aHost,
             const std::string& aTarget,
             const std::string& aBody);
  /// Submits a job with one step for each entry of aSteps, each after the one before.
  Reply submit(const std::string& aHost,
               const std::string& aPrefix,
               const std::string& aJob,
               const std::vector<StepTruth>& aSteps);
  /// Runs of the task on all workers that are up.
  std::vector<std::pair<std::string, std::int64_t>> runsOf(const std::string& aTask);
  int startsOf(const std::string& aPrefix);

  Record& mRecord;
  Truth mTruth;
  std::unique_ptr<Store> mStore;
  std::vector<Machine> mEdges;
  std::vector<Machine> mSides;
  std::vector<std::unique_ptr<Worker>> mWorkers;

private:
  nlohmann::json settingsOf(const Machine& aMachine) const;

  std::string mProgram;
  std::string mFolder;
  nlohmann::json mBounds;
  std::int64_t mVersion = 0;
  std::size_t mNextEdge = 0;
};

} // namespace Review
