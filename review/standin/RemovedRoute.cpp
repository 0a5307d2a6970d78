// Accepted submissions of a route that a later configuration drops, and the kill of one process.

#include "Cases.h"

namespace Review {

namespace {

constexpr const char* kRender = "00000000000a0001";
constexpr const char* kWatch = "00000000000a0002";
constexpr const char* kQuote = "00000000000a0003";

} // namespace

int
PlayRemovedRoute(Installation& aInstallation, const std::string& aLevel)
{
  Record& record = aInstallation.mRecord;
  aInstallation.start(3, 4, SmallSiteBounds());
  const auto quotes = Route("r-quotes", "/quotes/", 0, 2);
  const auto renders = Route("r-renders", "/renders/", 2, 3);
  const auto watches = Route("r-watches", "/watches/", 0, 3);
  aInstallation.putConfig(nlohmann::json::array({ quotes, renders, watches }));
  if (!aInstallation.waitUntilReady(Millis(15'000))) {
    return 2;
  }
  // Two steps of two tasks that run for 9 s, and two tasks that last.
  const StepTruth render{ 2, 2000, 1024, Millis(9000), false };
  const StepTruth watch{ 2, 2000, 1024, Millis(1000), true };
  if (aInstallation.submit(kHost, "/renders/", kRender, { render, render }).mStatus != 200 ||
      aInstallation.submit(kHost, "/watches/", kWatch, { watch }).mStatus != 200) {
    return 2;
  }
  const std::string watchTask = std::string(kWatch) + ".0.0.0";
  const std::string lastStep = std::string(kRender) + ".0.1.";
  std::this_thread::sleep_for(Millis(2000));
  if (aInstallation.runsOf(watchTask).empty()) {
    return 2;
  }
  // The operator drops two routes. Nobody cancels their submissions.
  aInstallation.putConfig(nlohmann::json::array({ quotes }));
  std::this_thread::sleep_for(Millis(4000));
  Installation::Machine* const coordinator = aInstallation.coordinator();
  if (coordinator == nullptr) {
    return 2;
  }
  if (aLevel != "0") {
    aInstallation.kill(*coordinator);
    std::this_thread::sleep_for(Millis(1000));
    aInstallation.startProcess(*coordinator);
  } else {
    std::this_thread::sleep_for(Millis(1000));
  }
  // The system is back when it runs a new submission.
  const StepTruth quote{ 1, 500, 256, Millis(300), false };
  const auto isServing = [&] {
    return aInstallation.startsOf(std::string(kQuote) + ".") > 0;
  };
  if (aInstallation.submit(kHost, "/quotes/", kQuote, { quote }).mStatus != 200) {
    return 2;
  }
  const auto limit = Clock::now() + Millis(25'000);
  while (!isServing() && Clock::now() < limit) {
    std::this_thread::sleep_for(Millis(20));
  }
  if (!isServing()) {
    return 2;
  }
  record.line("the system serves new submissions");
  // contact_ms after the kill the calm begins.
  std::this_thread::sleep_for(Millis(4000));
  // A task that lasts fails, as such tasks may at any time.
  for (const auto& worker : aInstallation.mWorkers) {
    worker->fail(watchTask);
  }
  const int watchStarts = aInstallation.startsOf(watchTask);
  // RULES.md allows 6 s from the last run of a task that lasts, and then 3 s; finish_s is 14 s.
  constexpr int kObservedSeconds = 30;
  for (int i = 0; i < kObservedSeconds; ++i) {
    std::this_thread::sleep_for(Millis(1000));
  }
  const bool watchRestarted = aInstallation.startsOf(watchTask) > watchStarts;
  const bool lastStepStarted = aInstallation.startsOf(lastStep) > 0;
  record.line("after %d s: the ended task that lasts was%s started again; the second step of the "
              "render was%s started; the four workers have 64 cores, of which the case needs 8",
              kObservedSeconds, watchRestarted ? "" : " not", lastStepStarted ? "" : " not");
  // For the reader: the submissions are still in the system.
  aInstallation.putConfig(nlohmann::json::array({ quotes, renders, watches }));
  std::this_thread::sleep_for(Millis(4000));
  aInstallation.call("GET", kHost, std::string("/renders/") + kRender, "");
  aInstallation.call("GET", kHost, std::string("/watches/") + kWatch, "");
  record.line("with the routes back in the configuration: starts of the task that lasts %d (before "
              "%d), of the second step %d",
              aInstallation.startsOf(watchTask), watchStarts, aInstallation.startsOf(lastStep));
  return watchRestarted && lastStepStarted ? 0 : 1;
}

} // namespace Review
