// One night's work is handed in, on machines with the memory of the small site.

#include <atomic>
#include <fstream>

#include "Cases.h"

namespace Review {

namespace {

constexpr int kWorkers = 11;
constexpr double kSubmissionsPerSecond = 6.7;
constexpr int kSubmissions = 160;
constexpr int kTasks = 10'000;
/// memory_mb of the site's machines of class edge.
constexpr long kMemoryMb = 260;
constexpr int kObservedSeconds = 40;

std::string
JobName(char aKind, int aNumber)
{
  char name[17];
  std::snprintf(name, sizeof name, "0000000000%c%05x", aKind, static_cast<unsigned>(aNumber));
  return name;
}

/// Memory of the process that it shares with no file, in megabytes.
long
OwnMemoryMb(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("RssAnon:", 0) == 0) {
      return std::atol(line.c_str() + 8) / 1024;
    }
  }
  return 0;
}

} // namespace

int
PlayLargeSubmissions(Installation& aInstallation, const std::string& aLevel)
{
  Record& record = aInstallation.mRecord;
  aInstallation.start(3, kWorkers, SmallSiteBounds());
  aInstallation.putConfig(nlohmann::json::array(
    { Route("r-checks", "/checks/", 0, 2), Route("r-reserves", "/reserves/", 2, 3) }));
  if (!aInstallation.waitUntilReady(Millis(15'000))) {
    return 2;
  }
  // The platform kills a process that exceeds memory_mb and starts it again after a short delay.
  std::atomic<bool> done{ false };
  std::atomic<int> kills{ 0 };
  std::thread platform([&] {
    while (!done) {
      std::this_thread::sleep_for(Millis(50));
      for (auto& machine : aInstallation.mEdges) {
        const long memory = OwnMemoryMb(machine.mProcess);
        if (memory > kMemoryMb) {
          record.line("process %s has %ld MB, more than memory_mb = %ld", machine.mName.c_str(),
                      memory, kMemoryMb);
          ++kills;
          aInstallation.kill(machine);
          std::this_thread::sleep_for(Millis(1000));
          aInstallation.startProcess(machine);
        }
      }
    }
  });
  const int tasks = aLevel == "0" ? 8 : kTasks;
  const auto start = Clock::now();
  const auto elapsed = [&] { return std::chrono::duration<double>(Clock::now() - start).count(); };
  int sent = 0;
  int checks = 0;
  int accepted = 0;
  std::vector<std::pair<std::string, Clock::time_point>> acceptedChecks;
  const double sending = kSubmissions / kSubmissionsPerSecond;
  while (elapsed() < sending + kObservedSeconds) {
    if (sent < std::min<double>(kSubmissions, elapsed() * kSubmissionsPerSecond)) {
      accepted += aInstallation.submit(kHost, "/reserves/", JobName('a', sent++),
                                       { { tasks, 1800, 3200, Millis(2000) } })
                        .mStatus == 200;
    }
    // A small urgent submission each second.
    if (checks < elapsed()) {
      const std::string job = JobName('b', checks++);
      if (aInstallation.submit(kHost, "/checks/", job, { { 1, 240, 480, Millis(800) } }).mStatus ==
          200) {
        acceptedChecks.emplace_back(job, Clock::now());
      }
      std::string memory;
      for (const auto& machine : aInstallation.mEdges) {
        memory += ' ' + std::to_string(OwnMemoryMb(machine.mProcess));
      }
      record.line("%d large accepted; MB of the entries:%s", accepted, memory.c_str());
    }
    std::this_thread::sleep_for(Millis(10));
  }
  // Accepted at least 8 s ago, of urgent priority, and never started.
  int lost = 0;
  for (const auto& [job, at] : acceptedChecks) {
    if (Clock::now() - at > Millis(8000) && aInstallation.startsOf(job + ".") == 0) {
      ++lost;
      record.line("LOST: %s was accepted %.1f s ago and nothing of it has started", job.c_str(),
                  std::chrono::duration<double>(Clock::now() - at).count());
    }
  }
  std::size_t running = 0;
  for (const auto& worker : aInstallation.mWorkers) {
    running += worker->running().size();
  }
  record.line("%zu tasks run now on %d workers; processes killed for their memory: %d", running,
              kWorkers, kills.load());
  done = true;
  platform.join();
  return lost > 0 ? 1 : 0;
}

} // namespace Review
