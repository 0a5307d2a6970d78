#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Scheduling/Schedule.h"
#include "platform/Formats.h"
#include "platform/JobApiFormat.h"
#include "platform/Json.h"
#include "platform/Settings.h"
#include "platform/TaskNames.h"

using namespace Platform;

namespace {

const std::string kSettings = R"({
  "node_name": "edge-1", "role": "entry", "machine_class": "edge", "serves": ["edge"],
  "ip": "10.1.0.13", "zone": "north", "region": "land",
  "listen": {"frontend": "10.1.0.13:8161", "readiness": "10.1.0.13:8167"},
  "internal_ports": [7720, 7735], "unknown": {"a": 1},
  "bounds": {"hold_max_ms": 6000, "grace_s": 6.5, "status_s": 120, "stop_ms": 400, "remote_factor": 3},
  "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "link_mbps": 1000.0},
  "platform": {"address": "10.200.1.7:8169", "ttl_min_ms": 1500}
})";

const std::string kJob =
  R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"data_rack":"r1"},)"
  R"({"count":2,"cpu":2000,"mem_mb":1024,"after":[0],"checkpointing":true,"fills":true,"image":"x"}]})";

const std::string kTables =
  R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/q/","service":"s1","max_attempts":2,)"
  R"("priority":2,"stretch_factor":1.5,"target_duration_ms":600,"timeout_ms":3000,)"
  R"("advice":{"decide_ms":300.0,"each_ms":0.5,"valid_ms":3000}}],)"
  R"("services":[{"name":"s1","enforces_capacity":true}],"limits":{"max_body_bytes":1000}})";

const std::string kHeartbeat =
  R"({"service":"s1","address":"10.1.0.9:80","zone":"north","state":"ready","capacity":{"cpu":16000,"mem_mb":64},)"
  R"("labels":["a","r1-3"],"clock_ms":5,"seq":4,"born":17})";

Net::HttpRequest
HeartbeatRequest(const std::string& aBody)
{
  Net::HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = "/-/Instances.Heartbeat/i-1";
  request.mBody = aBody;
  return request;
}

/// Generates copies of the text with one byte replaced, a part removed or the end cut off.
rc::Gen<std::string>
Corrupted(const std::string& aText)
{
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange<std::size_t>(0, aText.size()),
                                     rc::gen::inRange<std::size_t>(0, 20),
                                     rc::gen::arbitrary<char>(),
                                     rc::gen::inRange(0, 3)),
                      [aText](const std::tuple<std::size_t, std::size_t, char, int>& aCorruption) {
                        std::string text = aText;
                        const auto& [at, length, byte, kind] = aCorruption;
                        if (kind == 0) {
                          text[at] = byte;
                        } else if (kind == 1) {
                          text.erase(at, length);
                        } else {
                          text.resize(at);
                        }
                        return text;
                      });
}

} // namespace

TEST_CASE("The platform's settings file is parsed", "[Platform]")
{
  SECTION("a complete file with unknown fields is accepted")
  {
    const auto settings = ParseSettings(kSettings, "file");
    REQUIRE(settings);
    REQUIRE(settings->mRunsEntry);
    REQUIRE_FALSE(settings->mRunsAgent);
    REQUIRE(settings->mPeerAddress == "10.1.0.13:7720");
    REQUIRE(settings->mMetricsAddress == "10.1.0.13:7721");
    REQUIRE(settings->mMaxWorkerLease == std::chrono::seconds(6));
    REQUIRE(settings->mShutdownGrace == std::chrono::milliseconds(6500));
    REQUIRE(settings->mMinStoreLease == std::chrono::milliseconds(1500));
    REQUIRE(settings->mProcessorShare == Approx(0.25));
    REQUIRE(settings->mLinkSpeed == Approx(1000.0));
    REQUIRE(settings->mColdOverrun == Approx(1.0));
    REQUIRE(settings->mRemoteFactor == Approx(3.0));
  }

  SECTION("the slowdown of cold workers is read where it is given")
  {
    std::string text = kSettings;
    const std::string bounds = "\"bounds\": {";
    text.insert(text.find(bounds) + bounds.size(),
                "\"cold_overrun\": 1.5, \"cold_tolerance\": 5, ");
    const auto settings = ParseSettings(text, "file");
    REQUIRE(settings);
    REQUIRE(settings->mColdOverrun == Approx(1.5));
    REQUIRE(settings->mColdTolerance == Approx(5.0));
  }

  SECTION("tasks never count as faster away from their data")
  {
    const auto parsedWith = [](const std::string& aFactor) {
      std::string text = kSettings;
      const std::string field = R"(, "remote_factor": 3)";
      text.replace(text.find(field), field.size(), aFactor);
      return ParseSettings(text, "file");
    };
    REQUIRE(parsedWith("")->mRemoteFactor == Approx(1.0));
    REQUIRE(parsedWith(R"(, "remote_factor": 0.5)")->mRemoteFactor == Approx(1.0));
    REQUIRE(parsedWith(R"(, "remote_factor": "3")")->mRemoteFactor == Approx(1.0));
  }

  SECTION("all missing and invalid fields are reported together")
  {
    const auto settings =
      ParseSettings(R"({"serves":["edge"],"listen":{"frontend":"nowhere"}})", "file");
    REQUIRE_FALSE(settings);
    const std::string text = settings.error().text();
    for (const char* field :
         { "node_name", "zone", "frontend", "readiness", "internal_ports", "address" }) {
      REQUIRE(text.find(field) != std::string::npos);
    }
  }

  SECTION("text that is not a JSON object is an error")
  {
    REQUIRE_FALSE(ParseSettings("", "file"));
    REQUIRE_FALSE(ParseSettings("[1]", "file"));
  }
}

TEST_CASE("Submissions are parsed", "[Platform]")
{
  SECTION("a valid submission yields its steps")
  {
    const auto job = ParseJob(kJob);
    REQUIRE(job);
    REQUIRE(job->mSteps.size() == 2);
    REQUIRE(job->mSteps[0].mTaskCount == 4);
    REQUIRE(job->mSteps[0].mNeed.mCores == Common::MilliCores{ 500 });
    REQUIRE(job->mSteps[0].mDataRack == "r1");
    REQUIRE(job->mSteps[1].mDependencies == std::vector<std::uint32_t>{ 0 });
    REQUIRE(job->mSteps[1].mBestEffort);
    REQUIRE_FALSE(Scheduling::ValidateJob(*job));
  }

  SECTION("the error for a field of the wrong type names the field and its step")
  {
    const auto job = ParseJob(R"({"spec":"","steps":[{"count":1},{"count":"many"}]})");
    REQUIRE_FALSE(job);
    REQUIRE(job.error().find("step 1") != std::string::npos);
    REQUIRE(job.error().find("count") != std::string::npos);
  }

  SECTION("values that are negative, too large or of another type are rejected")
  {
    for (const char* step : { R"({"count":-1})",
                              R"({"count":1,"cpu":-5})",
                              R"({"count":1,"mem_mb":99999999999999999999})",
                              R"({"count":1e30})",
                              R"({"count":1,"after":["0"]})",
                              R"({"count":1,"after":[-1]})",
                              R"({"count":1,"gang":1})",
                              R"(5)" }) {
      REQUIRE_FALSE(ParseJob(std::string(R"({"spec":"","steps":[)") + step + "]}"));
    }
  }

  SECTION("corrupted text is parsed or rejected without a crash")
  {
    rc::prop("jobs", [] {
      const auto job = ParseJob(*Corrupted(kJob));
      if (job) {
        (void)Scheduling::ValidateJob(*job);
      }
    });
    REQUIRE_FALSE(ParseJob(std::string(100'000, '[')));
    REQUIRE_FALSE(ParseJob(R"({"steps":)" + std::string(100'000, '[')));
  }
}

TEST_CASE("Requests to the job API are parsed", "[Platform]")
{
  Net::HttpRequest request;
  request.mMethod = "GET";
  request.mHost = "a.example";
  request.mTarget = "/q/?x=1";
  request.mHeaders = { { "ibisshed-deadline-ms", "1500" } };
  const auto call = ParseJobRequest(request);
  REQUIRE(call.mKind == Node::JobRequest::Kind::Show);
  REQUIRE(call.mPath == "/q/");
  REQUIRE(call.mTimeout == std::chrono::milliseconds(1500));

  SECTION("a deadline header that is not a number leaves the default timeout")
  {
    request.mHeaders = { { "ibisshed-deadline-ms", "soon" } };
    REQUIRE(ParseJobRequest(request).mTimeout == std::chrono::seconds(3));
  }
}

TEST_CASE("Responses of the job API get their status, body and headers", "[Platform]")
{
  Node::JobResponse response;
  response.mKind = Node::JobResponse::Kind::State;
  response.mState = Scheduling::JobState::Completed;
  REQUIRE(FormatJobResponse(response).mBody == R"({"state":"completed"})");
  response.mKind = Node::JobResponse::Kind::Overloaded;
  response.mRetryAfter = std::chrono::milliseconds(1200);
  const auto overloaded = FormatJobResponse(response);
  REQUIRE(overloaded.mStatus == 429);
  REQUIRE(overloaded.mHeaders.at(0) == std::pair<std::string, std::string>{ "Retry-After", "2" });
  response.mKind = Node::JobResponse::Kind::Undecided;
  REQUIRE(FormatJobResponse(response).mStatus == 504);
  response.mKind = Node::JobResponse::Kind::UnknownJob;
  REQUIRE(FormatJobResponse(response).mStatus == 410);
}

TEST_CASE("Task names are formatted and parsed", "[Platform]")
{
  rc::prop("round trip", [](std::uint32_t aOccurrence, std::uint32_t aStep, std::uint32_t aIndex) {
    const Scheduling::TaskName task{
      Common::JobId("5c0e7a21d94b36f8"), aOccurrence, aStep, aIndex
    };
    RC_ASSERT(ParseTaskName(FormatTaskName(task)) == task);
  });
  for (const char* text : { "",
                            ".",
                            "5c0e7a21d94b36f8",
                            "5c0e7a21d94b36f8.0.1",
                            "5c0e7a21d94b36f8.0.1.2.3",
                            "x.0.1.2",
                            "5c0e7a21d94b36f8.0.1.-2" }) {
    REQUIRE_FALSE(ParseTaskName(text));
  }
}

TEST_CASE("The operators' tables are parsed", "[Platform]")
{
  const Node::Formats formats = MakeFormats();
  const auto tables = formats.mParseTables(kTables);
  REQUIRE(tables);
  REQUIRE(tables->mRevision == Common::Revision{ 7 });
  REQUIRE(tables->mRoutes.at(0).mQueue.mPriority == 2);
  REQUIRE(tables->mRoutes.at(0).mQueue.mSlack == std::chrono::milliseconds(600));
  REQUIRE(tables->mLimits.mBodyBytes == 1000);
  const auto advice = tables->mRoutes.at(0).mQueue.mAdvice;
  REQUIRE(advice);
  REQUIRE(advice->mDecisionTime == std::chrono::milliseconds(300));
  REQUIRE(advice->mTimePerWorker == std::chrono::microseconds(500));
  REQUIRE(advice->mTicketLifetime == std::chrono::seconds(3));

  SECTION("the route with the longest matching prefix of the host is chosen")
  {
    Node::QueueTables two = *tables;
    two.mRoutes.push_back(two.mRoutes[0]);
    two.mRoutes[1].mPathPrefix = "/q/deep/";
    two.mRoutes[1].mQueue.mName = Common::RouteId("r2");
    REQUIRE(Node::MatchRoute(two, "a.example", "/q/deep/x")->mQueue.mName.str() == "r2");
    REQUIRE(Node::MatchRoute(two, "A.Example:80", "/q/x")->mQueue.mName.str() == "r1");
    REQUIRE(Node::MatchRoute(two, "b.example", "/q/x") == nullptr);
    REQUIRE(Node::MatchRoute(two, "a.example", "/other") == nullptr);
  }

  SECTION("malformed tables are rejected as a whole")
  {
    REQUIRE_FALSE(formats.mParseTables("{}"));
    REQUIRE_FALSE(formats.mParseTables(R"({"version":"7","routes":[]})"));
    REQUIRE_FALSE(formats.mParseTables(R"({"version":7,"routes":[5]})"));
    rc::prop("corrupted", [&formats] { (void)formats.mParseTables(*Corrupted(kTables)); });
  }
}

TEST_CASE("The operators' evacuations are recognized", "[Platform]")
{
  const Node::Formats formats = MakeFormats();
  REQUIRE(formats.mEvacuationPrefix == "op/evacuate/");
  REQUIRE(formats.mIsEvacuationValue("{}"));
  REQUIRE(formats.mIsEvacuationValue(R"({"later":1})"));
  for (const char* value : { "", "[]", "1", "{", "\xff" }) {
    REQUIRE_FALSE(formats.mIsEvacuationValue(value));
  }
}

TEST_CASE("A worker's announcements are parsed", "[Platform]")
{
  const Node::Formats formats = MakeFormats();
  const auto call = formats.mParseAnnouncement(HeartbeatRequest(kHeartbeat));
  REQUIRE(call);
  REQUIRE(call->mKind == Node::AnnouncementKind::Heartbeat);
  REQUIRE(call->mHeartbeat.mView.mLifetime ==
          Scheduling::WorkerLifetime{ Common::WorkerId("i-1"), Scheduling::LifetimeStart{ 17 } });
  REQUIRE(call->mHeartbeat.mView.mRack.str() == "r1-3");

  SECTION("an unknown state or a missing field is rejected")
  {
    REQUIRE_FALSE(formats.mParseAnnouncement(
      HeartbeatRequest(R"({"service":"s","address":"a","state":"odd","seq":1,"capacity":{}})")));
    REQUIRE_FALSE(formats.mParseAnnouncement(HeartbeatRequest("{}")));
    // A negative or impossible capacity would enter the sums over all workers.
    for (const char* capacity : { R"({"cpu":-16000,"mem_mb":64})",
                                  R"({"cpu":16000,"mem_mb":-1})",
                                  R"({"cpu":16000,"mem_mb":9223372036854775807})",
                                  R"({"cpu":18446744073709551615})",
                                  R"({"cpu":"16000"})",
                                  R"({"cpu":16000,"gpu":2.5})",
                                  R"([16000])" }) {
      CAPTURE(capacity);
      REQUIRE_FALSE(formats.mParseAnnouncement(
        HeartbeatRequest(R"({"service":"s","address":"a","state":"ready","seq":1,"capacity":)" +
                         std::string(capacity) + "}")));
    }
    REQUIRE_FALSE(formats.mParseAnnouncement(HeartbeatRequest("\xff\xfe")));
    rc::prop("corrupted", [&formats] {
      (void)formats.mParseAnnouncement(HeartbeatRequest(*Corrupted(kHeartbeat)));
    });
  }

  SECTION("how long the worker is still cold is at least 0 and at most an hour")
  {
    const auto coldTime = [&](const std::string& aValue) {
      const std::string body =
        kHeartbeat.substr(0, kHeartbeat.size() - 1) + ",\"cold_left_ms\":" + aValue + "}";
      const auto announcement = formats.mParseAnnouncement(HeartbeatRequest(body));
      REQUIRE(announcement);
      return announcement->mHeartbeat.mView.mColdRemaining;
    };
    REQUIRE(call->mHeartbeat.mView.mColdRemaining == std::chrono::milliseconds(0));
    REQUIRE(coldTime("2500") == std::chrono::milliseconds(2500));
    REQUIRE(coldTime("-1") == std::chrono::milliseconds(0));
    REQUIRE(coldTime("1e300") == std::chrono::hours(1));
    REQUIRE(coldTime("\"2500\"") == std::chrono::milliseconds(0));
  }

  SECTION("a deregistration names the worker's lifetime")
  {
    Net::HttpRequest request;
    request.mMethod = "POST";
    request.mTarget = "/-/Instances.Deregister/i-1";
    request.mBody = R"({"born":17})";
    const auto deregistration = formats.mParseAnnouncement(request);
    REQUIRE(deregistration);
    REQUIRE(deregistration->mKind == Node::AnnouncementKind::Deregistration);
    REQUIRE(deregistration->mHeartbeat.mView.mLifetime.mStartedAt ==
            Scheduling::LifetimeStart{ 17 });
  }
}

TEST_CASE("JSON of clients is bounded before a tree is built", "[Platform]")
{
  const auto repeated = [](const std::string& aPart, std::size_t aCount) {
    std::string text = "{\"a\":[" + aPart;
    for (std::size_t i = 1; i < aCount; ++i) {
      text += ',' + aPart;
    }
    return text + "]}";
  };

  SECTION("the number of values")
  {
    // The object and its array count, too.
    REQUIRE(Platform::ParseClientObject(repeated("0", Platform::kMaxClientValues - 2)));
    REQUIRE_FALSE(Platform::ParseClientObject(repeated("0", Platform::kMaxClientValues - 1)));
    REQUIRE_FALSE(Platform::ParseClientObject(repeated("{}", Platform::kMaxClientValues)));
    REQUIRE(Platform::ParseObject(repeated("{}", Platform::kMaxClientValues)));
  }

  SECTION("the depth")
  {
    const auto nested = [](std::size_t aDepth) {
      return "{\"a\":" + std::string(aDepth, '[') + std::string(aDepth, ']') + '}';
    };
    REQUIRE(Platform::ParseClientObject(nested(32)));
    REQUIRE_FALSE(Platform::ParseClientObject(nested(33)));
    REQUIRE_FALSE(Platform::ParseClientObject(nested(100'000)));
    // Values of the platform's services that are too deep are dropped, as before.
    REQUIRE(Platform::ParseObject(nested(100'000)));
    // Brackets in strings are no depth.
    const Platform::Json text = { { "a", "\\\"" + std::string(100, '[') + "\"" } };
    REQUIRE(Platform::ParseObject(text.dump()) == text);
    REQUIRE(Platform::ParseClientObject(text.dump()) == text);
  }

  SECTION("and only objects are taken")
  {
    REQUIRE_FALSE(Platform::ParseClientObject("[1]"));
    REQUIRE_FALSE(Platform::ParseClientObject("{\"a\":"));
    REQUIRE_FALSE(Platform::ParseClientObject(""));
  }
}

TEST_CASE("The settings file states the memory and the descriptors of the machine", "[Platform]")
{
  const auto settings = [](const Platform::Json& aLimits) {
    Platform::Json file = { { "node_name", "a1" },
                            { "serves", { "side" } },
                            { "ip", "127.0.0.1" },
                            { "zone", "z1" },
                            { "internal_ports", { 1'000, 1'004 } },
                            { "platform", { { "address", "127.0.0.1:1" } } },
                            { "listen", { { "control_plane", "127.0.0.1:2" } } } };
    file["limits"] = aLimits;
    const auto parsed = Platform::ParseSettings(file.dump(), "file");
    REQUIRE(parsed);
    return *parsed;
  };
  const Node::Settings stated = settings({ { "memory_mb", 160 }, { "max_fds", 8'192 } });
  REQUIRE(stated.mMemoryLimit == 160ULL << 20);
  REQUIRE(stated.mMaxDescriptors == 8'192);
  const Node::Settings defaults = settings({ { "memory_mb", -1 }, { "max_fds", "x" } });
  REQUIRE(defaults.mMemoryLimit == Node::Settings().mMemoryLimit);
  REQUIRE(defaults.mMaxDescriptors == Node::Settings().mMaxDescriptors);
}
