#include "Cases.h"

namespace Review {

namespace {

const char* const kTimetable = "00000000000000aa";
constexpr int kTasks = 10'000;
constexpr int kOccurrences = 12;
constexpr int kOccurrencesWithoutTrouble = 1;
constexpr int kCpu = 1;
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
  /// Tasks of each step that have ended done, and runs at work.
  int mDone[2] = { 0, 0 };
  int mRunning = 0;
  int mStarted[2] = { 0, 0 };
};

} // namespace

/// A timetable whose occurrences overlap, because one task of each takes long. Small jobs that are
/// handed in later have to be worked off as usual.
int
PlayWideTimetable(World& aWorld, bool aTrouble)
{
  std::map<std::string, Quote> quotes;
  std::int64_t done = 0;
  Worker::Hooks hooks;
  hooks.mPlan = [](const TaskId& aTask, std::int64_t) {
    if (aTask.mJob == kTimetable) {
      return RunPlan{ aTask.mIndex == 0 ? Ms(300'000) : Ms(1), false, kCpu, 0 };
    }
    return RunPlan{ Ms(300), false, 500, 256 };
  };
  hooks.mStarted = [&](Worker& aWorker, const std::string& aTask, std::int64_t aRun) {
    const TaskId id = ParseTask(aTask);
    if (id.mJob != kTimetable) {
      ++quotes[id.mJob].mRunning;
      ++quotes[id.mJob].mStarted[id.mStep];
      aWorld.record().line(aWorker.id() + " starts " + aTask + " run " + std::to_string(aRun));
    }
  };
  hooks.mEnded = [&](Worker& aWorker, const std::string& aTask, std::int64_t aRun, const char* aHow) {
    const TaskId id = ParseTask(aTask);
    if (id.mJob == kTimetable) {
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
  Fleet fleet(aWorld, 3, 6, hooks);
  if (!fleet.start()) {
    std::cerr << "the processes did not get ready\n";
    return 2;
  }
  const int occurrences = aTrouble ? kOccurrences : kOccurrencesWithoutTrouble;
  const Json timetable = { { "spec", "night batch" },
                           { "repeats", occurrences },
                           { "first_run_ms", UnixMs() },
                           { "interval_ms", 1'000 },
                           { "steps", Json::array({ { { "count", kTasks }, { "cpu", kCpu }, { "estimate_ms", 300'000 } } }) } };
  const auto [status, answer] =
    aWorld.ask(*fleet.mEntries[0], "POST", std::string("/night/") + kTimetable, timetable.dump());
  aWorld.record().line("POST " + std::string(kTimetable) + ", " + std::to_string(occurrences) + " x " +
                       std::to_string(kTasks) + " tasks: " + std::to_string(status));
  if (status != 200) {
    return 2;
  }
  std::int64_t before = -1;
  aWorld.passUntil(Ms(30'000), [&] {
    if (aWorld.record().now() / 2'000 != before) {
      before = aWorld.record().now() / 2'000;
      std::size_t ends = 0;
      for (const auto& worker : fleet.mWorkers) {
        ends += worker->listedEnds();
      }
      aWorld.record().line("ends of the timetable: " + std::to_string(done) + ", listed: " + std::to_string(ends) +
                           ", refused writes: " + std::to_string(aWorld.store().refusedWrites()) +
                           ", largest value " + std::to_string(aWorld.store().largestRefusedValue()) +
                           ", progress record " +
                           std::to_string(Base64Bytes(aWorld.store().value(std::string("ibis/progress/") + kTimetable))));
    }
    return done >= static_cast<std::int64_t>(occurrences) * (kTasks - 1) || aWorld.store().refusedWrites() > 10;
  });
  for (int i = 0; i < kQuotes; ++i) {
    const Json quote = { { "spec", "quote" },
                         { "steps",
                           Json::array({ { { "count", 4 }, { "cpu", 500 }, { "mem_mb", 256 }, { "estimate_ms", 300 } },
                                         { { "count", 4 },
                                           { "cpu", 500 },
                                           { "mem_mb", 256 },
                                           { "estimate_ms", 300 },
                                           { "after", Json::array({ 0 }) } } }) } };
    const std::string id = QuoteId(i);
    quotes[id];
    const auto [code, body] = aWorld.ask(*fleet.mEntries[static_cast<std::size_t>(i % 3)], "POST", "/quote/" + id, quote.dump());
    aWorld.record().line("POST " + id + ": " + std::to_string(code));
    if (code != 200) {
      return 2;
    }
  }
  // finish_s, and 3 s in which nothing of a submission runs although its turn has come.
  aWorld.pass(Ms(14'000));
  std::map<std::string, bool> idle;
  for (const auto& [id, quote] : quotes) {
    idle[id] = true;
  }
  aWorld.passUntil(Ms(3'000), [&] {
    for (const auto& [id, quote] : quotes) {
      const bool ended = quote.mDone[1] >= 4;
      idle[id] = idle[id] && !ended && quote.mRunning == 0;
    }
    return false;
  });
  int broken = 0;
  for (const auto& [id, quote] : quotes) {
    const auto [code, body] = aWorld.ask(*fleet.mEntries[0], "GET", "/quote/" + id);
    const std::string state = body.is_object() ? body.value("state", "") : "";
    aWorld.record().line("GET " + id + ": " + std::to_string(code) + ' ' + state + "; done in step 0: " +
                         std::to_string(quote.mDone[0]) + ", in step 1: " + std::to_string(quote.mDone[1]) +
                         (idle[id] ? "; nothing of it ran in the last 3 s" : ""));
    broken += idle[id] ? 1 : 0;
  }
  aWorld.record().line(broken > 0 ? "LOST: broken for " + std::to_string(broken) + " submissions" : "LOST: held");
  if (aWorld.anyEnded()) {
    return 2;
  }
  return broken > 0 ? 1 : 0;
}

} // namespace Review
