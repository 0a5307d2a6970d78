// All open channels to the store go silent once, and later the configuration changes.

#include "Cases.h"

namespace Review {

namespace {

constexpr int kCallersPerEntry = 24;

std::string
JobName(int aNumber)
{
  char name[17];
  std::snprintf(name, sizeof name, "00000000000f%04x", static_cast<unsigned>(aNumber));
  return name;
}

} // namespace

int
PlaySilentChannels(Installation& aInstallation, const std::string& aLevel)
{
  Record& record = aInstallation.mRecord;
  aInstallation.start(3, 4, SmallSiteBounds());
  const auto quotes = Route("r-quotes", "/quotes/", 0, 2);
  const auto old = Route("r-old", "/old/", 0, 2);
  const auto added = Route("r-added", "/added/", 0, 2);
  aInstallation.putConfig(nlohmann::json::array({ quotes, old }));
  if (!aInstallation.waitUntilReady(Millis(15'000))) {
    return 2;
  }
  // Many users come at once.
  std::vector<std::thread> callers;
  std::atomic<int> accepted{ 0 };
  for (int i = 0; i < kCallersPerEntry * 3; ++i) {
    callers.emplace_back([&, i] {
      aInstallation.mTruth.add(JobName(i), { { 1, 240, 256, Millis(300) } });
      const auto reply =
        Call(aInstallation.mEdges[static_cast<std::size_t>(i) % 3].frontend(),
             "POST",
             "/quotes/" + JobName(i),
             R"({"spec":"work","steps":[{"count":1,"cpu":240,"mem_mb":256,"estimate_ms":300}]})",
             { { "Host", kHost }, { "Ibisshed-Deadline-Ms", "3000" } },
             Millis(3000));
      accepted += reply && reply->mStatus == 200 ? 1 : 0;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  record.line("%d of %d submissions accepted; channels to the store: %zu", accepted.load(),
              kCallersPerEntry * 3, aInstallation.mStore->server().connections());
  std::this_thread::sleep_for(Millis(5000));
  if (aLevel != "0") {
    record.line("the %zu open channels to the store go silent; new ones work",
                aInstallation.mStore->server().connections());
    aInstallation.mStore->server().silenceOpenConnections();
  }
  // contact_ms is 4 s; the machines are in touch again.
  std::this_thread::sleep_for(Millis(4500));
  aInstallation.putConfig(nlohmann::json::array({ quotes, added }));
  const auto acknowledged = Clock::now();
  bool broken = false;
  // config_apply_ms is 3 s; no impairment is within contact_ms of the change.
  std::this_thread::sleep_for(Millis(3050));
  while (Clock::now() < acknowledged + Millis(20'000)) {
    for (const auto& edge : aInstallation.mEdges) {
      for (const char* const path : { "/added/", "/old/" }) {
        const auto late = std::chrono::duration_cast<Millis>(Clock::now() - acknowledged).count();
        const auto reply =
          Call(edge.frontend(), "GET", path, "",
               { { "Host", kHost }, { "Ibisshed-Deadline-Ms", "3000" } }, Millis(3000));
        const int status = reply ? reply->mStatus : 0;
        const bool isAdded = std::string(path) == "/added/";
        const bool wrong = isAdded ? status == 404 : status == 200;
        record.line("caller GET %s at %s, %lld ms after the ack: %d %s%s", path,
                    edge.mName.c_str(), static_cast<long long>(late), status,
                    reply ? reply->mBody.c_str() : "", wrong ? " CONFIG" : "");
        broken = broken || wrong;
      }
    }
    std::this_thread::sleep_for(Millis(500));
  }
  return broken ? 1 : 0;
}

} // namespace Review
