#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include "Config/Settings.h"

namespace {

const std::string kText = "role = \"entry\"\n[instance]\nname = \"e\"\ndata_centre = \"a\"\n"
                          "region = \"n\"\n[store]\naddresses = [\"127.0.0.1:1\"]\n"
                          "[[data_centre]]\nname = \"a\"\nregion = \"n\"\n"
                          "[[peer]]\nname = \"p\"\ndata_centre = \"a\"\nregion = \"n\"\n"
                          "address = \"[::1]:9\"\n";

/// Every finding leads to a line of the file or to one of the overrides.
void
CheckLoad(const std::string& aText, const std::vector<std::string>& aOverrides)
{
  const auto settings = Config::LoadSettings(aText, "s", aOverrides);
  if (settings) {
    RC_ASSERT(!settings->mInstance.mName.empty());
    RC_ASSERT(!settings->mListen.mAdvertiseAddress.empty());
    return;
  }
  RC_ASSERT(settings.error().hasErrors());
  for (const Common::Finding& finding : settings.error().items()) {
    const bool file = finding.mPlace.mFile == "s";
    RC_ASSERT(file || finding.mPlace.mFile == "--set");
    const std::size_t lines =
      file ? static_cast<std::size_t>(std::count(aText.begin(), aText.end(), '\n')) + 1
           : aOverrides.size();
    RC_ASSERT(finding.mPlace.mLine >= 1U);
    RC_ASSERT(finding.mPlace.mLine <= lines);
    RC_ASSERT(finding.mMessage.find('\n') == std::string::npos);
  }
}

} // namespace

TEST_CASE("No settings crash the reader, and every fault has a place", "[Config]")
{
  rc::prop("random bytes",
           [](const std::string& aText, const std::vector<std::string>& aOverrides) {
             CheckLoad(aText, aOverrides);
           });
  rc::prop("a valid file with one part replaced", [](const std::string& aPart) {
    const auto at = *rc::gen::inRange<std::size_t>(0, kText.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 12);
    CheckLoad(std::string(kText).replace(at, length, aPart), {});
  });
  rc::prop("any value for any key", [](const std::string& aValue) {
    const std::vector<Config::SettingKey> keys = Config::SettingKeys();
    const auto index = *rc::gen::inRange<std::size_t>(0, keys.size());
    const std::string number = std::to_string(*rc::gen::arbitrary<std::int64_t>());
    CheckLoad(kText, { keys[index].mName + '=' + aValue, keys[index].mName + '=' + number });
  });
}
