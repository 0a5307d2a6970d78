#include <algorithm>
#include <array>
#include <chrono>
#include <random>
#include <thread>

#include <nlohmann/json.hpp>

#include "Common/Text.h"
#include "Ibisctl/Command.h"

namespace Ibisctl {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::int64_t kMib = 1 << 20;

/// An option of "jobs submit" with a number, and the member of the request that it fills.
struct NumberOption
{
  const char* mOption;
  const char* mMember;
  std::int64_t mFactor;
};

constexpr std::array<NumberOption, 7> kNumbers = { {
  { "tasks", "tasks", 1 },
  { "milli-cores", "milli_cores", 1 },
  { "memory-mib", "memory_bytes", kMib },
  { "accelerators", "accelerators", 1 },
  { "run-time-ms", "run_time_ms", 1 },
  { "deadline-unix-ms", "deadline_unix_ms", 1 },
  { "priority", "priority", 1 },
} };

milliseconds
UnixNow()
{
  return std::chrono::duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

/// A UUIDv7, whose time ibisshed reads as the key time.
std::string
MakeKey()
{
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr int kTimeDigits = 12;
  std::random_device random;
  std::string key;
  auto time = static_cast<std::uint64_t>(UnixNow().count());
  for (int i = 0; i < kTimeDigits; ++i, time >>= 4U) {
    key.insert(key.begin(), kDigits[time & 0xfU]);
  }
  key += '7';
  for (int i = 0; i < 19; ++i) {
    key += kDigits[random() & 0xfU];
  }
  key[16] = kDigits[8U | (random() & 3U)]; // the variant of RFC 9562
  for (const std::size_t at : { 20, 16, 12, 8 }) {
    key.insert(at, 1, '-');
  }
  return key;
}

/// The request from the options; the error is a message for the user.
tl::expected<json, std::string>
JobOf(const Arguments& aArguments)
{
  json job = json::object();
  if (aArguments.has("file")) {
    const auto text = ReadFile(aArguments.value("file"));
    if (!text) {
      return tl::unexpected(text.error());
    }
    job = ParseJson(*text);
    if (!job.is_object()) {
      return tl::unexpected('"' + aArguments.value("file") + "\" is not a JSON object");
    }
  }
  for (const char* name : { "route", "client", "team", "payload" }) {
    if (aArguments.has(name)) {
      job[name] = aArguments.value(name);
    }
  }
  for (const NumberOption& number : kNumbers) {
    if (!aArguments.has(number.mOption)) {
      continue;
    }
    const auto value = ParseCount(aArguments.value(number.mOption));
    constexpr std::int64_t kMax = std::int64_t{ 1 } << 40;
    if (!value || *value > kMax) {
      return tl::unexpected(std::string("--") + number.mOption + " must be a whole number");
    }
    job[number.mMember] = *value * number.mFactor;
  }
  if (!job.contains("route") || !job.contains("client")) {
    return tl::unexpected(std::string("a job needs --route and --client, or --file with both"));
  }
  return job;
}

/// The state of a job after which it does not change.
bool
HasEnded(const std::string& aState)
{
  constexpr std::array<const char*, 4> kEnds = { "finished", "failed", "cancelled", "unknown" };
  return std::find(kEnds.begin(), kEnds.end(), aState) != kEnds.end();
}

/// Asks for the job until it has ended; aSession may limit the time with --wait-ms.
int
WaitFor(Session& aSession, const std::string& aId)
{
  constexpr milliseconds kFirstPause{ 100 };
  constexpr milliseconds kLongestPause{ 2000 };
  // An entry that restarts, or whose tables are not in force yet, does not end the wait.
  constexpr int kMaxFailures = 5;
  // Ten years; larger values would overflow when they are compared in nanoseconds.
  constexpr std::int64_t kNoLimit = 10LL * 365 * 24 * 3600 * 1000;
  const std::string limitText = aSession.mArguments.value("wait-ms");
  const milliseconds limit(
    limitText.empty() ? kNoLimit : std::min(ParseCount(limitText).value_or(-1), kNoLimit));
  if (limit < milliseconds::zero()) {
    return UsageError(aSession, "--wait-ms must be a whole number");
  }
  const auto start = std::chrono::steady_clock::now();
  milliseconds pause = kFirstPause;
  const std::string path = "jobs/" + Common::PercentEncoded(aId);
  int failures = 0;
  for (;;) {
    const auto answer = aSession.mApi.call("GET", path);
    failures = !answer || answer->mStatus == kUnavailable ? failures + 1 : 0;
    if (failures > 0 && failures < kMaxFailures) {
      std::this_thread::sleep_for(pause);
      continue;
    }
    const auto job = ReadAnswer(aSession, answer, path);
    if (!job) {
      return job.error();
    }
    const std::string state = TextOf(*job, "state");
    if (HasEnded(state)) {
      PrintObject(aSession, *job, { "job_id", "state", "detail" });
      return state == "finished" ? kSuccess : kNegative;
    }
    if (std::chrono::steady_clock::now() - start >= limit) {
      aSession.mError << "ibisctl: job " << aId << " is still " << state << '\n';
      return kNegative;
    }
    std::this_thread::sleep_for(std::min(pause, limit));
    pause = std::min(2 * pause, kLongestPause);
  }
}

int
Submit(Session& aSession)
{
  const auto job = JobOf(aSession.mArguments);
  if (!job) {
    return UsageError(aSession, job.error());
  }
  const std::string key = aSession.mArguments.value("key", MakeKey());
  // With the key a second submission gives the same job, so that a lost answer may be repeated.
  const auto answer = Ask(aSession,
                          "POST",
                          "jobs",
                          job->dump(-1, ' ', false, json::error_handler_t::replace),
                          { { "Idempotency-Key", key },
                            { "Ibisshed-Client", TextOf(*job, "client") },
                            { "Ibisshed-Key-Time", std::to_string(UnixNow().count()) } });
  if (!answer) {
    aSession.mError << "ibisctl: the key was " << key << "; submit again with --key " << key
                    << " to get the same job\n";
    return answer.error();
  }
  const std::string id = TextOf(*answer, "job_id");
  if (aSession.mArguments.has("wait")) {
    aSession.mError << "job " << id << '\n';
    return WaitFor(aSession, id);
  }
  PrintObject(aSession, *answer, { "job_id" });
  return kSuccess;
}

int
List(Session& aSession)
{
  const auto answer = Ask(aSession, "GET", "jobs");
  if (!answer) {
    return answer.error();
  }
  PrintList(aSession,
            *answer,
            "jobs",
            { "job_id",
              "state",
              "route",
              "client",
              "team",
              "waiting",
              "running",
              "finished",
              "failed",
              "cancelled",
              "submitted_unix_ms" });
  return kSuccess;
}

int
Show(Session& aSession)
{
  const auto answer =
    Ask(aSession, "GET", "jobs/" + Common::PercentEncoded(aSession.mArguments.mPositional[0]));
  if (!answer) {
    return answer.error();
  }
  PrintObject(aSession, *answer, { "job_id", "state", "detail" });
  return kSuccess;
}

int
Cancel(Session& aSession)
{
  const std::string id = aSession.mArguments.mPositional[0];
  const auto answer = Ask(aSession, "DELETE", "jobs/" + Common::PercentEncoded(id));
  if (!answer) {
    return answer.error();
  }
  if (aSession.mJson) {
    PrintObject(aSession, *answer, {});
  } else {
    aSession.mOut << "job " << id << " is being cancelled\n";
  }
  return kSuccess;
}

int
Wait(Session& aSession)
{
  return WaitFor(aSession, aSession.mArguments.mPositional[0]);
}

const OptionSpec&
WaitLimit()
{
  static const OptionSpec kOption = { "wait-ms", "N", "longest wait; without it, until the end" };
  return kOption;
}

} // namespace

std::vector<Command>
JobsCommands()
{
  return {
    { "jobs submit",
      "",
      "submit a job",
      0,
      0,
      { { "route", "NAME", "route of kind batch or watch" },
        { "client", "NAME", "client for which the job runs" },
        { "team", "NAME", "team; that of the client by default" },
        { "tasks", "N", "number of tasks" },
        { "milli-cores", "N", "thousandths of a core for each task" },
        { "memory-mib", "N", "memory of each task in MiB" },
        { "accelerators", "N", "accelerators of each task" },
        { "run-time-ms", "N", "expected run time of a task" },
        { "deadline-unix-ms", "N", "time by which the job should end" },
        { "priority", "N", "rank among the jobs of the team; higher goes first" },
        { "payload", "TEXT", "what the worker gets with each task" },
        { "file", "FILE", "a JSON object with these values; options replace them" },
        { "key", "KEY", "idempotency key; a fresh UUIDv7 by default" },
        { "wait", "", "wait for the end of the job" },
        WaitLimit() },
      &Submit },
    { "jobs list", "", "list the jobs", 0, 0, {}, &List },
    { "jobs show", "ID", "show a job", 1, 1, {}, &Show },
    { "jobs cancel", "ID", "cancel a job", 1, 1, {}, &Cancel },
    { "jobs wait",
      "ID",
      "wait for the end of a job; exit code 1 unless it finished",
      1,
      1,
      { WaitLimit() },
      &Wait },
  };
}

} // namespace Ibisctl
