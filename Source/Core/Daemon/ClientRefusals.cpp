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

std::int64_t
ClientRefusals::count(Http::Cause aCause, Common::Timestamp aNow)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  OfCause& cause = mCauses.at(static_cast<std::size_t>(aCause));
  cause.mCounter->add();
  ++cause.mUnlogged;
  if (cause.mEverLogged && aNow - cause.mLogged < kLogInterval) {
    return 0;
  }
  cause.mEverLogged = true;
  cause.mLogged = aNow;
  return std::exchange(cause.mUnlogged, 0);
}

void
ClientRefusals::note(Http::Cause aCause)
{
  const std::int64_t counted = count(aCause, mClock.now());
  if (counted > 0) {
    Observability::Log(
      Observability::Level::Warning,
      "http",
      "refused clients",
      { { "cause", std::string(Http::NameOf(aCause)) }, { "count", std::to_string(counted) } });
  }
}

} // namespace Daemon
