#include "Cases.h"

namespace Review {

namespace {

const char* const kWideJob = "00000000000000aa";
constexpr int kTasks = 6'000;
constexpr int kTasksWithoutTrouble = 60;
constexpr std::size_t kCheckpointBytes = 512;
constexpr int kQuotes = 6;

std::string
QuoteId(int aNumber)
{
  char text[17];
  std::snprintf(text, sizeof text, "%016x", 0x1000 + aNumber);
  return text;
}

struct Quote
{
  /// Tasks of each step that have ended done.
  int mDone[2] = { 0, 0 };
  int mRunning = 0;
};

} // namespace

/// One submission with many small tasks that save their progress. Small submissions of another queue
/// are handed in beside it and have to be worked off as usual.
int
PlayWideJob(World& aWorld, bool aTrouble)
{
  std::map<std::string, Quote> quotes;
  std::int64_t started = 0;
  std::int64_t done = 0;
  Worker::Hooks hooks;
  hooks.mPlan = [](const TaskId& aTask, std::int64_t) {
    if (aTask.mJob == kWideJob) {
      return RunPlan{ Ms(25'000 + aTask.mIndex * 7 % 15'000), false, 10, 4, kCheckpointBytes };
    }
    return RunPlan{ Ms(300), false, 100, 64 };
  };
  hooks.mStarted = [&](Worker& aWorker, const std::string& aTask, std::int64_t aRun) {
    const TaskId id = ParseTask(aTask);
    if (id.mJob == kWideJob) {
      ++started;
      return;
    }
    ++quotes[id.mJob].mRunning;
    aWorld.record().line(aWorker.id() + " starts " + aTask + " run " + std::to_string(aRun));
  };
  hooks.mEnded = [&](Worker& aWorker, const std::string& aTask, std::int64_t aRun, const char* aHow) {
    const TaskId id = ParseTask(aTask);
    if (id.mJob == kWideJob) {
      ++done;
      return;
    }
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
  const auto note = [&] {
    std::string text = "runs of the wide job started: " + std::to_string(started) + ", ended: " + std::to_string(done) +
                       "; acked and listed ends:";
    for (const auto& worker : fleet.mWorkers) {
      text += ' ' + std::to_string(worker->acked()) + '/' + std::to_string(worker->listedEnds());
    }
    aWorld.record().line(text + "; writes refused for a value over value_bytes: " +
                         std::to_string(aWorld.store().refusedWrites()) + ", largest " +
                         std::to_string(aWorld.store().largestRefusedValue()) + " bytes");
  };
  const int tasks = aTrouble ? kTasks : kTasksWithoutTrouble;
  const Json job = { { "spec", "night batch" },
                     { "steps",
                       Json::array({ { { "count", tasks },
                                       { "cpu", 10 },
                                       { "mem_mb", 4 },
                                       { "estimate_ms", 30'000 },
                                       { "checkpointing", true } } }) } };
  const auto [status, answer] =
    aWorld.ask(*fleet.mEntries[0], "POST", std::string("/night/") + kWideJob, job.dump());
  aWorld.record().line("POST " + std::string(kWideJob) + ", " + std::to_string(tasks) + " tasks: " + std::to_string(status));
  if (status != 200) {
    return 2;
  }
  const std::int64_t wideEnd = aWorld.record().now() + 60'000;
  while (aWorld.record().now() < wideEnd) {
    aWorld.pass(Ms(3'000));
    note();
  }
  for (int i = 0; i < kQuotes; ++i) {
    const Json step = { { "count", 4 }, { "cpu", 100 }, { "mem_mb", 64 }, { "estimate_ms", 300 } };
    Json second = step;
    second["after"] = Json::array({ 0 });
    const std::string id = QuoteId(i);
    quotes[id];
    const auto [code, body] = aWorld.ask(*fleet.mEntries[static_cast<std::size_t>(i % 3)],
                                         "POST",
                                         "/quote/" + id,
                                         Json({ { "spec", "quote" }, { "steps", Json::array({ step, second }) } }).dump());
    aWorld.record().line("POST " + id + ": " + std::to_string(code));
    if (code != 200) {
      return 2;
    }
  }
  // finish_s, and 3 s in which nothing of a submission runs although its turn has come.
  aWorld.pass(Ms(14'000));
  note();
  std::set<std::string> idle;
  for (const auto& [id, quote] : quotes) {
    idle.insert(id);
  }
  aWorld.passUntil(Ms(3'000), [&] {
    std::erase_if(idle, [&](const std::string& aId) {
      return quotes[aId].mDone[1] >= 4 || quotes[aId].mRunning > 0;
    });
    return false;
  });
  for (const auto& [id, quote] : quotes) {
    const auto [code, body] = aWorld.ask(*fleet.mEntries[0], "GET", "/quote/" + id);
    aWorld.record().line("GET " + id + ": " + std::to_string(code) + ' ' + body.dump() + "; done in step 0: " +
                         std::to_string(quote.mDone[0]) + ", in step 1: " + std::to_string(quote.mDone[1]) +
                         (idle.contains(id) ? "; nothing of it ran in the last 3 s" : ""));
  }
  note();
  aWorld.record().line(idle.empty() ? "LOST: held" : "LOST: broken for " + std::to_string(idle.size()) + " submissions");
  if (aWorld.anyEnded()) {
    return 2;
  }
  return idle.empty() ? 0 : 1;
}

} // namespace Review
