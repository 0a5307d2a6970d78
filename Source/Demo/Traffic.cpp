#include "Demo/Traffic.h"

#include <fstream>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "Common/Clock.h"
#include "Http/Client.h"

namespace Demo {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

constexpr auto kRequestTimeout = 5s;
// A caller repeats a request for this long before it counts as lost.
constexpr auto kPatience = 20s;
// Time for all jobs together after the last was accepted.
constexpr auto kJobPatience = 50s;

struct Shared
{
  explicit Shared(const TrafficOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  const TrafficOptions& mOptions;
  Common::SystemClock mClock;
  Http::Client mClient{ Http::ClientSettings{}, mClock };
  std::mutex mMutex;
  Json mRequests = Json::array();
  Json mJobs = Json::array();
};

struct Sent
{
  std::string mId;
  bool mKeyed = false;
  bool mAnswered = false;
  int mTries = 0;
  std::string mLast;
};

/// True if the answer is whole and belongs to the request.
bool
IsWhole(const Http::Response& aAnswer, const std::string& aBody)
{
  return aAnswer.mStatus == 200 && aAnswer.mBody == aBody &&
         Http::FindHeader(aAnswer.mHeaders, "Ibisshed-Outcome") == "ran";
}

Sent
SendRequest(Shared& aShared, const std::string& aId, bool aKeyed)
{
  Sent sent{ aId, aKeyed, false, 0, "" };
  Http::Request request;
  request.mMethod = "POST";
  request.mTarget = aKeyed ? "/reserve" : "/quote";
  request.mBody = "body of " + aId + std::string(200, '.');
  request.mHeaders = { { "Request-Id", aId },
                       { "Ibisshed-Client", aKeyed ? "studio" : "shop" },
                       { "Ibisshed-Deadline-Ms", "3000" } };
  if (aKeyed) {
    request.mHeaders.push_back({ "Idempotency-Key", aId });
    request.mHeaders.push_back(
      { "Ibisshed-Key-Time", std::to_string(aShared.mClock.unixNow().count()) });
  }
  const auto& entries = aShared.mOptions.mEntries;
  const Common::Timestamp end = aShared.mClock.now() + kPatience;
  while (!sent.mAnswered && aShared.mClock.now() < end) {
    const std::string& entry =
      aKeyed ? entries.front() : entries[static_cast<std::size_t>(sent.mTries) % entries.size()];
    ++sent.mTries;
    const auto answer = aShared.mClient.send(entry, request, kRequestTimeout);
    sent.mAnswered = answer && IsWhole(*answer, request.mBody);
    if (!sent.mAnswered) {
      sent.mLast = answer ? std::to_string(answer->mStatus) + ' ' + answer->mBody.substr(0, 120)
                          : answer.error().mText;
      std::this_thread::sleep_for(100ms);
    }
  }
  return sent;
}

void
RunCaller(Shared& aShared, int aCaller, bool aKeyed)
{
  const Common::Timestamp end =
    aShared.mClock.now() + std::chrono::seconds(aShared.mOptions.mSeconds);
  for (int i = 0; aShared.mClock.now() < end; ++i) {
    const std::string id =
      (aKeyed ? "reserve-" : "quote-") + std::to_string(aCaller) + '-' + std::to_string(i);
    const Sent sent = SendRequest(aShared, id, aKeyed);
    {
      const std::lock_guard<std::mutex> lock(aShared.mMutex);
      aShared.mRequests.push_back({ { "id", sent.mId },
                                    { "keyed", sent.mKeyed },
                                    { "answered", sent.mAnswered },
                                    { "tries", sent.mTries },
                                    { "last", sent.mLast } });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(aShared.mOptions.mPauseMillis));
  }
}

std::string
SubmitJob(Shared& aShared, const std::string& aKey)
{
  const Json body = { { "route", "renders" },
                      { "client", "shop" },
                      { "tasks", aShared.mOptions.mTasks },
                      { "milli_cores", 2000 },
                      { "memory_bytes", 1000000000 },
                      { "payload", Json{ { "run_ms", aShared.mOptions.mTaskMillis } }.dump() } };
  const Http::Request request{
    "POST", "/ibisshed/v1/jobs", { { "Idempotency-Key", aKey } }, body.dump()
  };
  const Common::Timestamp end = aShared.mClock.now() + kPatience;
  while (aShared.mClock.now() < end) {
    const auto answer =
      aShared.mClient.send(aShared.mOptions.mEntries.front(), request, kRequestTimeout);
    if (answer && answer->mStatus == 202) {
      return Json::parse(answer->mBody).at("job_id").get<std::string>();
    }
    std::this_thread::sleep_for(200ms);
  }
  return "";
}

std::string
StateOfJob(Shared& aShared, const std::string& aJob)
{
  const Http::Request request{ "GET", "/ibisshed/v1/jobs/" + aJob, {}, "" };
  const auto answer =
    aShared.mClient.send(aShared.mOptions.mEntries.front(), request, kRequestTimeout);
  if (!answer || answer->mStatus != 200) {
    return "";
  }
  return Json::parse(answer->mBody).value("state", "");
}

void
RunJobs(Shared& aShared)
{
  std::vector<std::string> jobs;
  jobs.reserve(static_cast<std::size_t>(aShared.mOptions.mJobs));
  for (int i = 0; i < aShared.mOptions.mJobs; ++i) {
    jobs.push_back(SubmitJob(aShared, "demo-job-" + std::to_string(i)));
  }
  const Common::Timestamp end = aShared.mClock.now() + kJobPatience;
  for (const std::string& job : jobs) {
    std::string state;
    while (!job.empty() && state != "finished" && aShared.mClock.now() < end) {
      state = StateOfJob(aShared, job);
      std::this_thread::sleep_for(200ms);
    }
    const std::lock_guard<std::mutex> lock(aShared.mMutex);
    aShared.mJobs.push_back({ { "id", job }, { "state", state } });
  }
}

} // namespace

bool
RunTraffic(const TrafficOptions& aOptions)
{
  Shared shared(aOptions);
  std::vector<std::thread> threads;
  threads.emplace_back([&] { RunJobs(shared); });
  for (int caller = 0; caller < aOptions.mCallers; ++caller) {
    threads.emplace_back([&, caller] { RunCaller(shared, caller, caller % 2 == 1); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::ofstream file(aOptions.mResultFile);
  file << Json{
    { "requests", shared.mRequests }, { "jobs", shared.mJobs }, { "tasks_per_job", aOptions.mTasks }
  }.dump(1);
  return file.good();
}

} // namespace Demo
