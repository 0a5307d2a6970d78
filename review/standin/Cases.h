#pragma once

#include "Installation.h"

namespace Review {

struct Case
{
  const char* mName;
  /// Returns the exit code. The level is TROUBLE: "0" plays the same without the disruption.
  int (*mPlay)(Installation&, const std::string& aLevel);
};

int
PlayRemovedRoute(Installation& aInstallation, const std::string& aLevel);
int
PlayRestartedWorker(Installation& aInstallation, const std::string& aLevel);

int
PlayManySubmissions(Installation& aInstallation, const std::string& aLevel);

int
PlaySilentChannels(Installation& aInstallation, const std::string& aLevel);

int
PlayLargeSubmissions(Installation& aInstallation, const std::string& aLevel);

inline constexpr Case kCases[] = { { "large-submissions", &PlayLargeSubmissions },
                                   { "silent-channels", &PlaySilentChannels },
                                   { "many-submissions", &PlayManySubmissions },
                                   { "removed-route", &PlayRemovedRoute },
                                   { "restarted-worker", &PlayRestartedWorker } };

/// Bounds of the site vea-prestamo.
nlohmann::json
SmallSiteBounds();
nlohmann::json
Route(const std::string& aName, const std::string& aPrefix, int aPriority, int aMaxAttempts);

inline const char* const kHost = "nony24.example";

} // namespace Review
