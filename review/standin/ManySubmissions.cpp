// Large submissions come at once: more of them are at work at one time than one write of the
// coordinator's records holds.

#include "Cases.h"

namespace Review {

namespace {

/// As in the site vea-prestamo.
constexpr int kWorkers = 11;
constexpr double kSubmissionsPerSecond = 6.7;
constexpr double kBurstFactor = 2.4;
constexpr double kBurstSeconds = 7.0;
constexpr int kObservedSeconds = 60;

std::string
JobName(char aKind, int aNumber)
{
  char name[17];
  std::snprintf(name, sizeof name, "0000000000%c%05x", aKind, static_cast<unsigned>(aNumber));
  return name;
}

} // namespace

int
PlayManySubmissions(Installation& aInstallation, const std::string& aLevel)
{
  Record& record = aInstallation.mRecord;
  aInstallation.start(3, kWorkers, SmallSiteBounds());
  aInstallation.putConfig(nlohmann::json::array(
    { Route("r-checks", "/checks/", 0, 2), Route("r-reserves", "/reserves/", 2, 3) }));
  if (!aInstallation.waitUntilReady(Millis(15'000))) {
    return 2;
  }
  // Run times vary from half to one and a half.
  const std::vector<StepTruth> small(2, { 6, 240, 480, Millis(800), false, true, 0 });
  const std::vector<StepTruth> large(5, { 36, 240, 480, Millis(2000), false, true, 1 });
  const auto start = Clock::now();
  const auto elapsed = [&] { return std::chrono::duration<double>(Clock::now() - start).count(); };
  int smallSent = 0;
  int largeSent = 0;
  int nextLine = 1;
  while (elapsed() < kObservedSeconds) {
    if (smallSent < elapsed() * kSubmissionsPerSecond) {
      aInstallation.submit(kHost, "/checks/", JobName('d', smallSent++), small);
    }
    if (aLevel != "0" &&
        largeSent < std::min(elapsed(), kBurstSeconds) * kSubmissionsPerSecond * kBurstFactor) {
      aInstallation.submit(kHost, "/reserves/", JobName('e', largeSent++), large);
    }
    std::this_thread::sleep_for(Millis(5));
    if (elapsed() < nextLine) {
      continue;
    }
    ++nextLine;
    std::string ends;
    for (const auto& worker : aInstallation.mWorkers) {
      ends += ' ' + std::to_string(worker->listedEnds());
    }
    record.line("ends listed by the workers and not acknowledged:%s; %d small and %d large "
                "submissions sent, %zu tasks done, %zu of them started again later",
                ends.c_str(), smallSent, largeSent, aInstallation.mTruth.doneTasks(),
                aInstallation.mTruth.startedAfterDone().size());
  }
  const auto twice = aInstallation.mTruth.startedAfterDone();
  for (std::size_t i = 0; i < twice.size() && i < 20; ++i) {
    record.line("TWICE: %s started after a run of it had ended done; that end is acknowledged",
                twice[i].c_str());
  }
  record.line("%zu tasks started after a run of them had ended done, which is acknowledged",
              twice.size());
  return twice.empty() ? 0 : 1;
}

} // namespace Review
