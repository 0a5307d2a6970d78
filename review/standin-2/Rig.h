#pragma once

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ProcessBench/Child.h"
#include "platform/Soak/Proxy.h"
#include "platform/Soak/StoreFront.h"
#include "platform/Soak/WorkerFront.h"

namespace Review {

using Millis = std::chrono::milliseconds;
using Time = std::chrono::steady_clock::time_point;

struct RigOptions
{
  std::string mProgram;
  /// Takes settings and logs of the processes.
  std::string mFolder;
  std::string mRecordFile;
  std::size_t mEntries = 3;
  std::size_t mAgents = 4;
  int mMaxAttempts = 3;
  /// The platform kills a process above this size; 0 for no limit.
  double mMemoryMegabytes = 0;
  /// Largest value that the store takes.
  std::size_t mValueBytes = 1'048'576;
};

/// Answer of an entry to a caller; status 0 if there was none in time.
struct Answer
{
  unsigned mStatus = 0;
  std::string mBody;

  bool isAccepted() const { return mStatus / 100 == 2; }
  /// "state" of a submission; "" if the answer holds none.
  std::string state() const;
};

/// Stand-ins of the platform, and the real programs as separate processes.
class Rig
{
public:
  explicit Rig(RigOptions aOptions);
  ~Rig();

  /// False if the processes do not get ready.
  bool start();
  void passUntil(const std::function<bool()>& aIsOver, Millis aLimit);
  void pass(Millis aTime);
  void after(Millis aTime, std::function<void()> aFunction);
  void record(const std::string& aText);
  Millis sinceStart() const;

  Answer call(std::size_t aEntry,
              const char* aMethod,
              const std::string& aJob,
              const std::string& aBody = {},
              Millis aPatience = Millis(3'000));
  /// Submits as requesters do: the same id at the next entry until it is accepted.
  Answer submit(const std::string& aJob, const std::string& aBody, int aTries = 5);
  /// Asks one entry after the other until one tells the state; "" if none does.
  std::string stateOf(const std::string& aJob);

  Soak::WorkerFront& worker(std::size_t aIndex) { return *mWorkers[aIndex]; }
  std::size_t workers() const { return mWorkers.size(); }
  /// Sends a status report of another writer to the agent: it has the address of the agent's
  /// worker, an id of its own and a service that the configuration does not name.
  void sendForeignReport(std::size_t aAgent);
  void crashWorker(std::size_t aIndex, Millis aDownTime);
  /// Position of the entry that holds the coordinator's key.
  std::optional<std::size_t> coordinator();
  int killedForMemory() const { return mKilledForMemory; }
  /// Writes that the store refused because of a value above its limit.
  int refusedWrites() const { return mRefusedWrites; }
  std::size_t largestValue() const { return mLargestValue; }
  int unexpectedEnds() const { return mUnexpectedEnds; }
  double largestEntryMegabytes() const { return mLargest; }

  /// Run time of a task.
  std::function<Millis(const Scheduling::TaskName&)> mTaskTime;
  std::function<void(std::size_t aWorker, const NodeTests::FakeWorker::Run&)> mOnStart;
  std::function<void(std::size_t aWorker, const Scheduling::EndedTask&)> mOnEnd;
  /// Runs of this job are not written to the record one by one.
  std::string mUnrecordedJob;

private:
  struct Process
  {
    std::string mName;
    bool mIsEntry = false;
    std::size_t mIndex = 0;
    int mFirstPort = 0;
    std::unique_ptr<Soak::Proxy> mStore;
    std::unique_ptr<ProcessBench::Child> mChild;
    bool mWasTold = false;
    std::optional<Time> mStartAt;
  };

  std::string portAddress(const Process& aProcess, int aOffset) const;
  void writeSettings(const Process& aProcess) const;
  void startProcess(Process& aProcess);
  /// Passes a call on to the store unless it writes a value above the limit.
  void passToStore(const Net::HttpRequest& aRequest, const Net::Responder& aRespond);
  void tick();
  void checkMemory(Process& aProcess);
  bool areEntriesReady();

  RigOptions mOptions;
  boost::asio::io_context mIo{ 1 };
  Time mStart = std::chrono::steady_clock::now();
  std::ofstream mRecord;
  Soak::StoreFront mStore;
  std::unique_ptr<Net::HttpClient> mStoreClient;
  Net::HttpServer mLimitedStore;
  int mRefusedWrites = 0;
  std::size_t mLargestValue = 0;
  std::vector<Process> mProcesses;
  std::vector<std::unique_ptr<Soak::WorkerFront>> mWorkers;
  std::vector<std::unique_ptr<Net::HttpClient>> mClients;
  Time mNextMemoryCheck{};
  int mKilledForMemory = 0;
  int mUnexpectedEnds = 0;
  double mLargest = 0;
};

} // namespace Review
