#include <algorithm>
#include <thread>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "LoadTool/Load.h"
#include "LoadTool/Schedule.h"

using namespace std::chrono_literals;

TEST_CASE("A schedule holds the asked rate", "[LoadTool]")
{
  Common::Random random(3);
  const auto due = LoadTool::MakeSchedule(1000, 10s, false, random);
  REQUIRE(due.size() == Approx(10000).epsilon(0.05));
  REQUIRE(std::is_sorted(due.begin(), due.end()));
  REQUIRE(LoadTool::MakeSchedule(100, 1s, true, random).size() == 99);
}

TEST_CASE("The load tool measures a server", "[LoadTool]")
{
  httplib::Server server;
  bool swapAnswers = false;
  server.Post("/echo", [&](const httplib::Request& aRequest, httplib::Response& aResponse) {
    aResponse.set_header("Ibisshed-Outcome", "ran");
    aResponse.set_content(swapAnswers ? "another" : aRequest.body, "text/plain");
  });
  server.Post("/slow", [&](const httplib::Request&, httplib::Response& aResponse) {
    std::this_thread::sleep_for(50ms);
    aResponse.set_content("late", "text/plain");
  });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&] { server.listen_after_bind(); });
  LoadTool::LoadConfig config;
  config.mTargets = { { "127.0.0.1", port } };
  config.mPerSecond = 100;
  config.mLength = 1s;
  config.mConnections = 4;
  config.mCheckEcho = true;
  config.mPath = "/echo";

  SECTION("whole answers are counted by outcome")
  {
    const LoadTool::LoadResult result = LoadTool::RunLoad(config);
    REQUIRE(result.mSent > 50);
    REQUIRE(result.mAnswered == result.mSent);
    REQUIRE(result.mOutcomes.at("ran") == result.mSent);
  }
  SECTION("an answer that belongs to another request is reported")
  {
    swapAnswers = true;
    const LoadTool::LoadResult result = LoadTool::RunLoad(config);
    REQUIRE(result.mWrongAnswers == result.mSent);
    REQUIRE(result.mAnswered == 0);
  }
  SECTION("queueing in front of a slow server shows as latency, not as a lower rate")
  {
    config.mPath = "/slow";
    config.mCheckEcho = false;
    config.mConnections = 1;
    config.mPerSecond = 60;
    const LoadTool::LoadResult result = LoadTool::RunLoad(config);
    // One connection serves 20 a second, so the last of about 60 waits for about two seconds; the
    // time from sending to answer would be 50 ms.
    REQUIRE(result.mLatency.max() > 500000);
  }
  server.stop();
  thread.join();
}
