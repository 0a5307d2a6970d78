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

  /// At most one line a second is logged for each cause; it says how many there were since the last
  /// one.
  void note(Http::Cause aCause);

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
