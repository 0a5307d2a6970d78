#include <fstream>

#include "Cases.h"

namespace Review {

namespace {

constexpr int kNightJobs = 700;
constexpr double kJobsPerSecond = 13.7;
constexpr int kSteps = 64;
constexpr std::size_t kImageBytes = 3'700;
constexpr std::size_t kImageBytesWithoutTrouble = 20;
constexpr int kMemoryMb = 160;
constexpr int kQuotes = 6;
constexpr Ms kRestartDelay{ 1'000 };

std::string
Id(int aNumber)
{
  char text[17];
  std::snprintf(text, sizeof text, "%016x", aNumber);
  return text;
}

/// Private memory of a process, without its program.
std::int64_t
AnonymousMegabytes(pid_t aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/status");
  std::string word;
  while (file >> word) {
    if (word == "RssAnon:") {
      std::int64_t kilobytes = 0;
      file >> kilobytes;
      return kilobytes / 1024;
    }
  }
  return 0;
}

/// Kills processes that exceed their memory and starts them again, as the platform does.
class MemoryGuard
{
public:
  MemoryGuard(World& aWorld, std::deque<World::Process*>& aProcesses)
    : mWorld(aWorld)
    , mProcesses(aProcesses)
  {
  }

  void check()
  {
    const auto now = Clock::now();
    for (World::Process* process : mProcesses) {
      const auto restart = mRestarts.find(process);
      if (restart != mRestarts.end() && restart->second <= now) {
        mRestarts.erase(restart);
        mWorld.launch(*process);
      } else if (process->mPid > 0) {
        const std::int64_t size = AnonymousMegabytes(process->mPid);
        mLargest = std::max(mLargest, size);
        if (size > kMemoryMb) {
          mWorld.record().line(process->mName + " has " + std::to_string(size) + " MB and is killed");
          mWorld.kill(*process, SIGKILL);
          mRestarts[process] = now + kRestartDelay;
          ++mKills;
        }
      }
    }
  }
  int kills() const { return mKills; }
  std::int64_t largest() const { return mLargest; }

private:
  World& mWorld;
  std::deque<World::Process*>& mProcesses;
  std::map<World::Process*, Clock::time_point> mRestarts;
  int mKills = 0;
  std::int64_t mLargest = 0;
};

struct Quote
{
  bool mAccepted = false;
  int mDone[2] = { 0, 0 };
  int mRunning = 0;
};

} // namespace

/// Submissions for the coming night arrive one after the other, more than a coordinator has memory
/// for. Small submissions that are handed in afterwards have to be worked off as usual.
int
PlayBacklog(World& aWorld, bool aTrouble)
{
  aWorld.setEntryMemory(kMemoryMb);
  std::map<std::string, Quote> quotes;
  Worker::Hooks hooks;
  hooks.mPlan = [](const TaskId&, std::int64_t) { return RunPlan{ Ms(300), false, 100, 64 }; };
  hooks.mStarted = [&](Worker& aWorker, const std::string& aTask, std::int64_t aRun) {
    ++quotes[ParseTask(aTask).mJob].mRunning;
    aWorld.record().line(aWorker.id() + " starts " + aTask + " run " + std::to_string(aRun));
  };
  hooks.mEnded = [&](Worker& aWorker, const std::string& aTask, std::int64_t aRun, const char* aHow) {
    const TaskId id = ParseTask(aTask);
    --quotes[id.mJob].mRunning;
    quotes[id.mJob].mDone[id.mStep] += std::string(aHow) == "done" ? 1 : 0;
    aWorld.record().line(aWorker.id() + " ends " + aTask + " run " + std::to_string(aRun) + ' ' + aHow);
  };
  if (!aWorld.startStore(Tables({ { "night", 3 }, { "quote", 3 } }))) {
    return 2;
  }
  Fleet fleet(aWorld, 3, 4, hooks);
  if (!fleet.start()) {
    std::cerr << "the processes did not get ready\n";
    return 2;
  }
  MemoryGuard guard(aWorld, fleet.mEntries);
  const auto pass = [&](Ms aTime) {
    aWorld.passUntil(aTime, [&] {
      guard.check();
      return false;
    });
  };

  const std::size_t imageBytes = aTrouble ? kImageBytes : kImageBytesWithoutTrouble;
  Json steps = Json::array();
  for (int i = 0; i < kSteps; ++i) {
    Json step = { { "count", 4 }, { "cpu", 1'000 }, { "mem_mb", 256 }, { "estimate_ms", 20'000 } };
    step["image"] = std::string(imageBytes, 'i') + std::to_string(i);
    if (i > 0) {
      step["after"] = Json::array({ i - 1 });
    }
    steps.push_back(step);
  }
  const std::int64_t tonight = UnixMs() + 8LL * 3'600 * 1'000;
  const std::string body = Json({ { "spec", "night batch" },
                                  { "repeats", 1 },
                                  { "first_run_ms", tonight },
                                  { "interval_ms", 60'000 },
                                  { "steps", steps } })
                             .dump();
  aWorld.record().line("submissions for the night have " + std::to_string(body.size()) + " bytes");
  std::map<int, int> answers;
  int sent = 0;
  int inFlight = 0;
  const auto start = Clock::now();
  auto nextNote = start;
  const auto note = [&] {
    std::string text = "answers to submissions for the night:";
    for (const auto& [code, count] : answers) {
      text += ' ' + std::to_string(code) + " x " + std::to_string(count);
    }
    aWorld.record().line(text + "; largest process " + std::to_string(guard.largest()) + " MB, killed " +
                         std::to_string(guard.kills()));
  };
  while (answers[200] < kNightJobs && Clock::now() - start < Ms(65'000)) {
    if (Clock::now() - start >= Ms(static_cast<std::int64_t>(sent * 1'000 / kJobsPerSecond)) && inFlight < 32 &&
        answers[200] + inFlight < kNightJobs) {
      World::Process* entry = fleet.mEntries[static_cast<std::size_t>(sent % 3)];
      ++sent;
      ++inFlight;
      aWorld.client(*entry).call(
        { "POST", "/night/" + Id(sent), body, { { "Host", "review.example" }, { "Ibisshed-Deadline-Ms", "3000" } } },
        std::chrono::seconds(3),
        [&answers, &inFlight](const Net::CallResult& aResult) {
          ++answers[aResult ? static_cast<int>(aResult->mStatus) : 0];
          --inFlight;
        });
    }
    aWorld.pass(Ms(5));
    guard.check();
    if (Clock::now() >= nextNote) {
      nextNote = Clock::now() + Ms(5'000);
      note();
    }
  }
  pass(Ms(3'500));
  note();

  const Json step = { { "count", 4 }, { "cpu", 100 }, { "mem_mb", 64 }, { "estimate_ms", 300 } };
  Json second = step;
  second["after"] = Json::array({ 0 });
  int accepted = 0;
  for (int i = 0; i < kQuotes; ++i) {
    const std::string id = Id(0x10000 + i);
    for (int attempt = 0; attempt < 3 && !quotes[id].mAccepted; ++attempt) {
      const auto [code, answer] = aWorld.ask(*fleet.mEntries[static_cast<std::size_t>((i + attempt) % 3)],
                                             "POST",
                                             "/quote/" + id,
                                             Json({ { "spec", "quote" }, { "steps", Json::array({ step, second }) } }).dump());
      quotes[id].mAccepted = code == 200;
      aWorld.record().line("POST " + id + ": " + std::to_string(code));
      guard.check();
    }
    accepted += quotes[id].mAccepted ? 1 : 0;
  }
  if (accepted == 0) {
    std::cerr << "no small submission was accepted\n";
    return 2;
  }
  // finish_s, and 3 s in which nothing of a submission runs although its turn has come.
  pass(Ms(14'000));
  std::set<std::string> idle;
  for (const auto& [id, quote] : quotes) {
    if (quote.mAccepted) {
      idle.insert(id);
    }
  }
  aWorld.passUntil(Ms(3'000), [&] {
    guard.check();
    std::erase_if(idle, [&](const std::string& aId) {
      return quotes[aId].mDone[1] >= 4 || quotes[aId].mRunning > 0;
    });
    return false;
  });
  note();
  for (const auto& [id, quote] : quotes) {
    aWorld.record().line(id + (quote.mAccepted ? ": accepted" : ": not accepted") + ", done in step 0: " +
                         std::to_string(quote.mDone[0]) + ", in step 1: " + std::to_string(quote.mDone[1]) +
                         (idle.contains(id) ? "; nothing of it ran in the last 3 s" : ""));
  }
  aWorld.record().line(idle.empty() ? "LOST: held" : "LOST: broken for " + std::to_string(idle.size()) + " submissions");
  if (aWorld.anyEnded()) {
    return 2;
  }
  return idle.empty() ? 0 : 1;
}

} // namespace Review
