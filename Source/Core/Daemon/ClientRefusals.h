#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <string>

#include "Common/Clock.h"
#include "Http/ClientLimits.h"
#include "Observability/Counters.h"

namespace Daemon {

/// Counts and logs what the HTTP server refuses by itself. Safe to use from several threads.
class ClientRefusals
{
public:
  /// Both must outlive this object.
  ClientRefusals(Observability::Counters& aCounters, const Common::Clock& aClock);

  /// Counts one and logs what count() says.
  void note(Http::Cause aCause);
  /// Counts one. Returns how many a log line is to report now, which are those since the last line
  /// of the cause; 0 if that was less than a second ago.
  std::int64_t count(Http::Cause aCause, Common::Timestamp aNow);

private:
  struct OfCause
  {
    Observability::Counter* mCounter = nullptr;
    std::int64_t mUnlogged = 0;
    Common::Timestamp mLogged{};
    bool mEverLogged = false;
  };

  const Common::Clock& mClock;
  std::mutex mMutex;
  std::array<OfCause, Http::kCauses> mCauses;
};

} // namespace Daemon
