#include "Cases.h"

namespace Review {

namespace {

constexpr int kLongJobs = 6;
constexpr int kQuotes = 6;

std::string
Id(int aNumber)
{
  char text[17];
  std::snprintf(text, sizeof text, "%016x", aNumber);
  return text;
}

struct Progress
{
  int mDone = 0;
  int mRunning = 0;
  int mTasks = 0;
  int mStops = 0;
  std::int64_t mIdleSince = 0;
};

} // namespace

/// Submissions whose tasks take ten minutes and state no estimate. Nothing else happens.
int
PlayLongTasks(World& aWorld, bool aTrouble)
{
  std::map<std::string, Progress> jobs;
  const Ms longTime = aTrouble ? Ms(600'000) : Ms(20'000);
  Worker::Hooks hooks;
  hooks.mPlan = [&](const TaskId& aTask, std::int64_t) {
    return aTask.mJob < Id(0x1000) ? RunPlan{ longTime, false, 1'000, 64 } : RunPlan{ Ms(300), false, 100, 64 };
  };
  hooks.mStarted = [&](Worker& aWorker, const std::string& aTask, std::int64_t aRun) {
    ++jobs[ParseTask(aTask).mJob].mRunning;
    aWorld.record().line(aWorker.id() + " starts " + aTask + " run " + std::to_string(aRun));
  };
  hooks.mEnded = [&](Worker& aWorker, const std::string& aTask, std::int64_t aRun, const char* aHow) {
    Progress& job = jobs[ParseTask(aTask).mJob];
    --job.mRunning;
    job.mDone += std::string(aHow) == "done" ? 1 : 0;
    job.mStops += std::string(aHow) == "stopped" ? 1 : 0;
    job.mIdleSince = aWorld.record().now();
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
  const auto submit = [&](int aEntry, const std::string& aQueue, const std::string& aId, const Json& aSteps) {
    const auto [code, body] = aWorld.ask(*fleet.mEntries[static_cast<std::size_t>(aEntry % 3)],
                                         "POST",
                                         '/' + aQueue + '/' + aId,
                                         Json({ { "spec", aQueue }, { "steps", aSteps } }).dump());
    aWorld.record().line("POST " + aId + ": " + std::to_string(code));
    jobs[aId].mIdleSince = aWorld.record().now();
    return code == 200;
  };
  for (int i = 0; i < kLongJobs; ++i) {
    jobs[Id(i + 1)].mTasks = 2;
    if (!submit(i, "night", Id(i + 1), Json::array({ { { "count", 2 }, { "cpu", 1'000 }, { "mem_mb", 64 } } }))) {
      return 2;
    }
  }
  aWorld.pass(Ms(45'000));
  for (int i = 0; i < kQuotes; ++i) {
    jobs[Id(0x1000 + i)].mTasks = 8;
    const Json step = { { "count", 4 }, { "cpu", 100 }, { "mem_mb", 64 }, { "estimate_ms", 300 } };
    Json second = step;
    second["after"] = Json::array({ 0 });
    if (!submit(i, "quote", Id(0x1000 + i), Json::array({ step, second }))) {
      return 2;
    }
  }
  // finish_s after the last submission; then 3 s in which nothing of one runs although its turn has come.
  aWorld.pass(Ms(14'000));
  for (auto& [id, job] : jobs) {
    job.mIdleSince = std::max(job.mIdleSince, aWorld.record().now());
  }
  std::set<std::string> broken;
  aWorld.passUntil(Ms(25'000), [&] {
    for (auto& [id, job] : jobs) {
      const std::int64_t now = aWorld.record().now();
      if (job.mRunning > 0 || job.mDone >= job.mTasks) {
        job.mIdleSince = now;
      } else if (now - job.mIdleSince >= 3'000 && broken.insert(id).second) {
        aWorld.record().line("nothing of " + id + " has run for 3 s, and most of the capacity is free");
      }
    }
    return false;
  });
  for (const auto& [id, job] : jobs) {
    const auto [code, body] = aWorld.ask(*fleet.mEntries[0], "GET", (id < Id(0x1000) ? "/night/" : "/quote/") + id);
    aWorld.record().line("GET " + id + ": " + std::to_string(code) + ' ' + body.dump() + ", done " +
                         std::to_string(job.mDone) + " of " + std::to_string(job.mTasks) + ", stopped " +
                         std::to_string(job.mStops) + " times");
  }
  aWorld.record().line(broken.empty() ? "LOST: held" : "LOST: broken for " + std::to_string(broken.size()) + " submissions");
  if (aWorld.anyEnded()) {
    return 2;
  }
  return broken.empty() ? 0 : 1;
}

} // namespace Review
