#pragma once

#include <boost/asio/io_context.hpp>

#include "Common/Clock.h"
#include "Net/ReceiveBudget.h"
#include "Node/Ports.h"
#include "Node/Settings.h"
#include "Observability/Counters.h"
#include "Scheduling/Schedule.h"
#include "Store/AsyncStore.h"

namespace Node {

/// Services and configuration shared by the components of a process; it outlives them.
struct Context
{
  boost::asio::io_context& mIo;
  /// Keeps counting while the machine is suspended, so that leases that may have expired meanwhile
  /// count as expired.
  Common::Clock& mClock;
  const Settings& mSettings;
  const TimingConstants& mTiming;
  const Formats& mFormats;
  Store::AsyncStore& mStore;
  Observability::Counters& mCounters;
  /// Bytes that the clients of the process hold. Each server has a budget of its own if it is null.
  std::shared_ptr<Net::ReceiveBudget> mReceiveBudget = nullptr;

  Timestamp now() const { return mClock.now(); }
  /// The current time on the monotonic clock and as Unix time.
  Scheduling::CurrentTime steadyAndUnixNow() const { return { mClock.now(), mClock.unixNow() }; }
};

} // namespace Node
