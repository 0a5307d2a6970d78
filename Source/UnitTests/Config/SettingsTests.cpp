#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "Config/Settings.h"

namespace {

const std::string kSettings = R"(role = "agent"
[instance]
name = "agent-1"
data_centre = "dc1"
region = "north"
rack = "r1"
worker = "w1"
labels = ["web", "fast"]
[listen]
address = "0.0.0.0"
advertise_address = "10.0.0.1"
[store]
addresses = ["10.0.0.9:9000"]
[times]
shutdown_grace_ms = 5000
[[data_centre]]
name = "dc1"
region = "north"
[[data_centre]]
name = "dc2"
region = "south"
[[peer]]
name = "entry-1"
data_centre = "dc2"
region = "south"
address = "[fd00::1]:7481"
)";

std::string
Problems(const std::string& aText, const std::vector<std::string>& aOverrides = {})
{
  const auto settings = Config::LoadSettings(aText, "s", aOverrides);
  return settings ? "" : settings.error().text();
}

std::string
Replaced(std::string aText, const std::string& aOld, const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

} // namespace

TEST_CASE("Settings come in layers", "[Config]")
{
  SECTION("the file goes over the defaults")
  {
    const auto settings = Config::LoadSettings(kSettings, "s");
    REQUIRE(settings.has_value());
    REQUIRE(settings->mRole == Config::Role::Agent);
    REQUIRE(settings->mInstance.mName.str() == "agent-1");
    REQUIRE(settings->mInstance.mLabels == std::vector<std::string>{ "web", "fast" });
    REQUIRE(settings->mListen.mAdvertiseAddress == "10.0.0.1");
    REQUIRE(settings->mListen.mHttpPort == 7480);
    REQUIRE(settings->mTimes.mShutdownGrace == std::chrono::seconds(5));
    REQUIRE(settings->mTimes.mTenure == std::chrono::seconds(30));
    REQUIRE(settings->mDataCentres.size() == 2);
    REQUIRE(settings->mPeers.at(0).mAddress == "[fd00::1]:7481");
  }
  SECTION("the command line goes over the file, the later item over the earlier")
  {
    const auto settings = Config::LoadSettings(kSettings,
                                               "s",
                                               { "times.shutdown_grace_ms=7",
                                                 "times.shutdown_grace_ms=8",
                                                 "instance.name=agent-2",
                                                 "log.file=\"a=b.log\"",
                                                 "log.level=debug",
                                                 "listen.http_port=0",
                                                 "instance.labels=[\"x\"]",
                                                 "peer=[]" });
    REQUIRE(settings.has_value());
    REQUIRE(settings->mTimes.mShutdownGrace == std::chrono::milliseconds(8));
    REQUIRE(settings->mInstance.mName.str() == "agent-2");
    REQUIRE(settings->mInstance.mRack.str() == "r1");
    REQUIRE(settings->mLog.mFile == "a=b.log");
    REQUIRE(settings->mLog.mLevel == Config::LogLevel::Debug);
    REQUIRE(settings->mListen.mHttpPort == 0);
    REQUIRE(settings->mInstance.mLabels == std::vector<std::string>{ "x" });
    REQUIRE(settings->mPeers.empty());
  }
  SECTION("the address to advertise is the listening one if it is not set")
  {
    const std::string text = Replaced(kSettings, "advertise_address = \"10.0.0.1\"\n", "");
    REQUIRE(Problems(text).find("others cannot reach \"0.0.0.0\"") != std::string::npos);
    const auto settings = Config::LoadSettings(text, "s", { "listen.address=127.0.0.1" });
    REQUIRE(settings.has_value());
    REQUIRE(settings->mListen.mAdvertiseAddress == "127.0.0.1");
  }
}

TEST_CASE("All findings of the settings are reported together", "[Config]")
{
  std::string text = Replaced(kSettings, "rack = ", "rak = ");
  text = Replaced(text, "10.0.0.9:9000", "store.example:9000");
  text = Replaced(text, "region = \"south\"\naddress", "region = \"north\"\naddress");
  REQUIRE(Problems(text, { "times.tenure_ms=3000", "nonsense", "limits.joins_per_s=0" }) ==
          "s:6:1: instance: unknown key \"rak\"; did you mean \"rack\"?\n"
          "s:13:13: store: each item of \"addresses\" must be a numeric IP address with a port\n"
          "s:22:1: peer \"entry-1\": data centre \"dc2\" is in region \"south\", not \"north\"\n"
          "--set:1:1: key \"times.tenure_ms\" must be greater than 3 times \"times.heartbeat_ms\": "
          "a few lost heartbeats must not stop tasks\n"
          "--set:2:1: an override must have the form section.key=value\n"
          "--set:3:1: limits: key \"joins_per_s\" is 0; it must be from 1 to 10000\n");

  SECTION("an empty file lacks the required keys")
  {
    REQUIRE(Problems("") == "s:1:1: key \"role\" is missing\n"
                            "s:1:1: key \"instance.name\" is missing\n"
                            "s:1:1: key \"instance.data_centre\" is missing\n"
                            "s:1:1: key \"instance.region\" is missing\n"
                            "s:1:1: key \"store.addresses\" is missing\n"
                            "s:1:1: key \"data_centre\" is missing\n");
  }
  SECTION("a broken file does not hide a broken override")
  {
    const std::string findings = Problems("role = ", { "times.gossip=5" });
    REQUIRE(findings.rfind("s:1:", 0) == 0);
    REQUIRE(
      findings.find("--set:1:1: times: unknown key \"gossip\"; did you mean \"gossip_ms\"?") !=
      std::string::npos);
  }
}

TEST_CASE("Settings that cannot work are refused", "[Config]")
{
  const auto with = [](const std::string& aOverride) { return Problems(kSettings, { aOverride }); };
  REQUIRE(
    with("instance.data_centre=dc3").find("\"dc3\" is not in the list; did you mean \"dc1\"?") !=
    std::string::npos);
  REQUIRE(with("instance.region=south").find("is in region \"north\", not \"south\"") !=
          std::string::npos);
  REQUIRE(with("listen.http_port=7481").find("are both 7481") != std::string::npos);
  REQUIRE(with("listen.address=localhost").find("must be a numeric IP address") !=
          std::string::npos);
  REQUIRE(
    with("platform.worker_address=fd00::1:80").find("must be a numeric IP address with a port") !=
    std::string::npos);
  REQUIRE(with("store.addresses=[]").find("at least one item") != std::string::npos);
  REQUIRE(with("instance=5").find("must be a table") != std::string::npos);
  REQUIRE(with("log.level=debgu").find("did you mean \"debug\"?") != std::string::npos);
  // A claim that two owners may grant would run a request twice.
  REQUIRE(with("times.claim_takeover_wait_ms=3000")
            .find("must be greater than \"times.claim_majority_ms\"") != std::string::npos);
  REQUIRE(
    with("times.gone_after_ms=1500").find("must be greater than \"times.suspect_after_ms\"") !=
    std::string::npos);
  REQUIRE(with("times.gossip_ms=1\n[limits]\njoins_per_s=9").find("must be an integer") !=
          std::string::npos);
}

TEST_CASE("The connections of an entry must fit into its memory", "[Config]")
{
  // Connections alone would use up what is kept for requests.
  const std::string entry = Replaced(kSettings, "\"agent\"", "\"entry\"");
  REQUIRE(Problems(entry, { "limits.max_connections=4096", "limits.memory_mb=1023" })
            .find("--set:2:1: \"limits.max_connections\" of 4096 needs "
                  "\"limits.memory_mb\" of at least 1024") != std::string::npos);
  REQUIRE(Problems(entry, { "limits.max_connections=4096", "limits.memory_mb=1024" }).empty());
  REQUIRE(Problems(entry, { "limits.memory_mb=63" }).find("must be 0 or at least 64") !=
          std::string::npos);
  // An agent bounds its connections itself.
  REQUIRE(Problems(kSettings, { "limits.memory_mb=64" }).empty());

  SECTION("files of before, which do not state the memory, go on")
  {
    const auto settings = Config::LoadSettings(entry, "s", { "limits.max_connections=4096" });
    REQUIRE(settings);
    REQUIRE(Config::MemoryMbOf(settings->mLimits) == 1024);
    REQUIRE(Config::MemoryMbOf(Config::LimitSettings{}) == 512);
  }
}

TEST_CASE("The page of the settings states every key as the code has it", "[Config]")
{
  std::ifstream file(std::string(IBIS_ROOT) + "/docs/settings.md");
  std::stringstream page;
  page << file.rdbuf();
  const std::vector<Config::SettingKey> keys = Config::SettingKeys();
  REQUIRE(keys.size() == 54);
  std::size_t rows = 0;
  for (const Config::SettingKey& key : keys) {
    const std::string row =
      "| `" + key.mName + "` | " + key.mUnit + " | " + key.mDefault + " | " + key.mRange + " | ";
    INFO(row);
    REQUIRE(page.str().find(row) != std::string::npos);
  }
  for (std::size_t at = page.str().find("\n| `"); at != std::string::npos;
       at = page.str().find("\n| `", at + 1)) {
    ++rows;
  }
  // A key that was removed from the code must not stay on the page.
  REQUIRE(rows == keys.size());
}
