#include <thread>

#include "ProcessBench/Fleet.h"

namespace ProcessBench {

namespace {

using namespace std::chrono_literals;

std::uint64_t
CountOf(const LoadTool::LoadResult& aResult, const char* aOutcome)
{
  const auto found = aResult.mOutcomes.find(aOutcome);
  return found == aResult.mOutcomes.end() ? 0 : found->second;
}

Bench::Measures
MeasureStop()
{
  const auto started = Fleet::start({ 20 });
  if (!started) {
    return FailedStart("graceful stop", started.error());
  }
  Fleet& fleet = **started;
  const auto before = fleet.served();
  LoadTool::LoadConfig load = fleet.through("/urgent");
  load.mPerSecond = 200;
  load.mConnections = 32;
  load.mLength = 3s;
  LoadTool::LoadResult result;
  std::thread caller([&] { result = LoadTool::RunLoad(load); });
  std::this_thread::sleep_for(1500ms);
  fleet.agent().terminate();
  caller.join();
  const auto status = fleet.agent().wait(15s);
  const auto after = fleet.served();
  if (!before || !after) {
    return FailedStart("graceful stop", "the endpoint does not answer");
  }
  const std::uint64_t cutOff = result.mTransportErrors + result.mWrongAnswers +
                               CountOf(result, "unknown") + CountOf(result, "none");
  const std::uint64_t served = *after - *before;
  const double answered = static_cast<double>(result.mAnswered);
  const double sent = static_cast<double>(result.mSent);
  using Bench::Bound;
  return {
    { "graceful stop: transport errors and unknown outcomes, of requests sent",
      "requests",
      static_cast<double>(cutOff),
      sent,
      Bound::AtMost,
      0 },
    { "graceful stop: requests that ran without a whole answer, of those answered",
      "requests",
      static_cast<double>(served > result.mAnswered ? served - result.mAnswered : 0),
      answered,
      Bound::AtMost,
      0 },
    { "graceful stop: requests refused, of those sent",
      "requests",
      static_cast<double>(CountOf(result, "not-run")),
      sent },
    { "graceful stop: agent that did not end with status 0",
      "agents",
      status == std::optional<int>(0) ? 0.0 : 1.0,
      1,
      Bound::AtMost,
      0 },
  };
}

const Bench::Registration kStop("stop", MeasureStop);

} // namespace

} // namespace ProcessBench
