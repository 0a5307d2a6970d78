// A worker that starts again under its id and is then cut off: two runs of one task.

#include <algorithm>

#include "Cases.h"

namespace Review {

namespace {

constexpr const char* kJob = "00000000000b0001";
constexpr int kTasks = 8;

} // namespace

int
PlayRestartedWorker(Installation& aInstallation, const std::string& aLevel)
{
  Record& record = aInstallation.mRecord;
  aInstallation.start(3, 4, SmallSiteBounds());
  aInstallation.putConfig(nlohmann::json::array({ Route("r-renders", "/renders/", 2, 3) }));
  if (!aInstallation.waitUntilReady(Millis(15'000))) {
    return 2;
  }
  // The worker has been up for a while.
  std::this_thread::sleep_for(Millis(12'000));
  // Two tasks fill a worker of 16 cores, so that the worker that starts again gets work at once.
  const StepTruth render{ kTasks, 7000, 1024, Millis(9000), false };
  if (aInstallation.submit(kHost, "/renders/", kJob, { render }).mStatus != 200) {
    return 2;
  }
  std::this_thread::sleep_for(Millis(3000));
  Worker& worker = *aInstallation.mWorkers.front();
  if (worker.running().size() != 2) {
    return 2;
  }
  if (aLevel == "1") {
    worker.restart(Millis(100), Millis(500));
    std::this_thread::sleep_for(Millis(700));
    record.line("runs on the worker that started again: %zu", worker.running().size());
    if (worker.running().empty()) {
      return 2;
    }
  }
  if (aLevel != "0") {
    worker.setCutOff(true);
  }
  bool broken = false;
  const auto end = Clock::now() + Millis(12'000);
  while (Clock::now() < end) {
    for (int i = 0; i < kTasks; ++i) {
      const std::string task = std::string(kJob) + ".0.0." + std::to_string(i);
      const auto runs = aInstallation.runsOf(task);
      if (runs.size() > 1 && !broken) {
        broken = true;
        record.line("TWICE: %s runs as run %lld on %s and as run %lld on %s", task.c_str(),
                    static_cast<long long>(runs[0].second), runs[0].first.c_str(),
                    static_cast<long long>(runs[1].second), runs[1].first.c_str());
      }
    }
    std::this_thread::sleep_for(Millis(20));
  }
  if (aLevel != "0") {
    worker.setCutOff(false);
  }
  std::this_thread::sleep_for(Millis(6000));
  aInstallation.call("GET", kHost, std::string("/renders/") + kJob, "");
  return broken ? 1 : 0;
}

} // namespace Review
