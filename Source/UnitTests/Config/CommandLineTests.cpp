#include <catch2/catch.hpp>

#include "Config/CommandLine.h"

TEST_CASE("The daemon's command line", "[Config]")
{
  const auto line = Config::ParseCommandLine(
    { "--set", "role=agent", "--config=a.toml", "--set=times.heartbeat_ms=5", "--check" });
  REQUIRE(line.has_value());
  REQUIRE(line->mSettingsFile == "a.toml");
  REQUIRE(line->mOverrides == std::vector<std::string>{ "role=agent", "times.heartbeat_ms=5" });
  REQUIRE(line->mCheck);
  REQUIRE(Config::ParseCommandLine({ "--help" })->mHelp);
  REQUIRE(Config::ParseCommandLine({ "--version" })->mVersion);

  SECTION("what it does not understand is refused with the word")
  {
    const auto error = [](const std::vector<std::string>& aArguments) {
      return Config::ParseCommandLine(aArguments).error();
    };
    REQUIRE(error({}) == "--config FILE is missing");
    REQUIRE(error({ "--config" }) == "option \"--config\" needs a value");
    REQUIRE(error({ "--config", "a", "--colour" }) ==
            "unknown, ambiguous or misused option \"--colour\"");
    REQUIRE(error({ "--config", "a", "-x" }) == "unknown, ambiguous or misused option \"-x\"");
    REQUIRE(error({ "--config", "a", "b" }) == "unexpected argument \"b\"");
    REQUIRE(error({ "--config", "a", "-xy" }) == "unknown, ambiguous or misused option \"-x\"");
    REQUIRE(error({ "--config", "a", "--check=1" }) ==
            "unknown, ambiguous or misused option \"--check=1\"");
    // getopt moves words without options to the end; the message must still name the right word.
    REQUIRE(error({ "b", "--config" }) == "option \"--config\" needs a value");
  }
}
