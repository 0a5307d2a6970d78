#include "Daemon/ClientRefusals.h"

#include <utility>

#include "Observability/Log.h"

namespace Daemon {

namespace {

// A crowd is refused thousands of times a second.
constexpr std::chrono::seconds kLogInterval{ 1 };

} // namespace

ClientRefusals::ClientRefusals(Observability::Counters& aCounters, const Common::Clock& aClock)
  : mClock(aClock)
{
  for (std::size_t i = 0; i < Http::kCauses; ++i) {
    const std::string cause(Http::NameOf(static_cast<Http::Cause>(i)));
    mCauses.at(i).mCounter =
      &aCounters.counter("http_refused", "listener=\"http\",cause=\"" + cause + '"');
  }
}

void
ClientRefusals::note(Http::Cause aCause)
{
  std::int64_t count = 0;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    OfCause& cause = mCauses.at(static_cast<std::size_t>(aCause));
    cause.mCounter->add();
    ++cause.mUnlogged;
    const Common::Timestamp now = mClock.now();
    if (cause.mEverLogged && now - cause.mLogged < kLogInterval) {
      return;
    }
    cause.mEverLogged = true;
    cause.mLogged = now;
    count = std::exchange(cause.mUnlogged, 0);
  }
  Observability::Log(
    Observability::Level::Warning,
    "http",
    "refused clients",
    { { "cause", std::string(Http::NameOf(aCause)) }, { "count", std::to_string(count) } });
}

} // namespace Daemon
