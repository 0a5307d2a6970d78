#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include <catch2/catch.hpp>

#include "Scheduling/Schedule.h"
#include "platform/Formats.h"
#include "platform/Json.h"
#include "platform/Settings.h"
#include "platform/TaskNames.h"

namespace {

struct Sample
{
  std::string mName;
  std::string mText;
};

std::vector<Sample>
LoadCorpus()
{
  std::vector<Sample> samples;
  for (const auto& entry : std::filesystem::directory_iterator(IBIS_CORPUS)) {
    std::ifstream file(entry.path(), std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    samples.push_back({ entry.path().filename().string(), text.str() });
  }
  std::sort(samples.begin(), samples.end(), [](const Sample& aLeft, const Sample& aRight) {
    return aLeft.mName < aRight.mName;
  });
  return samples;
}

/// Passes the text to every parser of external input and checks that accepted values are usable.
void
ParseWithEveryParser(const std::string& aText)
{
  static const Node::Formats kFormats = Platform::MakeFormats();
  (void)Platform::ParseSettings(aText, "file");
  if (const auto tables = kFormats.mParseTables(aText)) {
    REQUIRE(tables->mRevision.value() > 0);
    (void)Node::MatchRoute(*tables, "a.example", "/q/x");
  }
  if (const auto job = kFormats.mParseJob(aText); job && !Scheduling::ValidateJob(*job)) {
    const auto chain = Scheduling::LongestChain(
      *job, [&](std::uint32_t aStep) { return job->mSteps[aStep].mEstimatedRunTime; });
    REQUIRE(chain >= Common::Duration{ 0 });
  }
  Net::HttpRequest request;
  request.mMethod = "POST";
  request.mBody = aText;
  for (const char* target : { "/-/Instances.Heartbeat/i-1", "/-/Instances.Deregister/i-1" }) {
    request.mTarget = target;
    if (const auto announcement = kFormats.mParseAnnouncement(request)) {
      REQUIRE_FALSE(announcement->mWorker.empty());
    }
  }
  if (const auto task = Platform::ParseTaskName(aText)) {
    REQUIRE(Platform::FormatTaskName(*task).size() <= aText.size());
  }
}

/// Returns the sample with one to four random mutations: a byte replaced, a part removed,
/// duplicated or copied from another sample, a number inserted that overflows 64 bits, or the end
/// cut off.
std::string
Mutated(const Sample& aSample, const Sample& aOther, std::mt19937& aRandom)
{
  std::string text = aSample.mText;
  const auto below = [&](std::size_t aBound) { return aBound == 0 ? 0 : aRandom() % aBound; };
  const std::size_t changes = 1 + below(4);
  for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = below(text.size());
    const std::size_t length = below(12);
    switch (below(6)) {
      case 0:
        text[at] = static_cast<char>(below(256));
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(below(text.size()), length));
        break;
      case 3:
        text.insert(at, aOther.mText.substr(below(aOther.mText.size()), length * 4));
        break;
      case 4:
        text.insert(at, "99999999999999999999");
        break;
      default:
        text.resize(at);
    }
  }
  return text;
}

} // namespace

TEST_CASE("External input never crashes the parsers", "[Platform]")
{
  const std::vector<Sample> samples = LoadCorpus();
  REQUIRE(samples.size() >= 10);

  SECTION("the corpus is parsed or rejected")
  {
    for (const Sample& sample : samples) {
      INFO(sample.mName);
      ParseWithEveryParser(sample.mText);
    }
  }

  SECTION("mutations of the corpus are parsed or rejected")
  {
    // IBIS_FUZZ sets the number of iterations and IBIS_SEED the seed of the random generator. Add
    // each text that breaks a parser to the corpus.
    const char* iterations = std::getenv("IBIS_FUZZ");
    const char* seed = std::getenv("IBIS_SEED");
    std::mt19937 random(seed != nullptr ? static_cast<unsigned>(std::atoi(seed)) : 1U);
    const int count = iterations != nullptr ? std::atoi(iterations) : 5'000;
    for (int i = 0; i < count; ++i) {
      const std::string text =
        Mutated(samples[random() % samples.size()], samples[random() % samples.size()], random);
      INFO(text);
      ParseWithEveryParser(text);
    }
  }
}
