#pragma once

#include <boost/asio/io_context.hpp>

#include "Common/Clock.h"
#include "Node/Ports.h"
#include "Node/Settings.h"
#include "Observability/Counters.h"
#include "Scheduling/Schedule.h"
#include "Store/AsyncStore.h"

namespace Node {

/// What the parts of a process share. It outlives them.
struct Context
{
  boost::asio::io_context& mIo;
  /// Counts the time in which the machine was suspended, so that what may have lapsed meanwhile
  /// has.
  Common::Clock& mClock;
  const Settings& mSettings;
  const TimingConstants& mTiming;
  const Formats& mFormats;
  Store::AsyncStore& mStore;
  Observability::Counters& mCounters;

  Timestamp now() const { return mClock.now(); }
  Scheduling::Now steadyAndUnixNow() const { return { mClock.now(), mClock.unixNow() }; }
};

} // namespace Node
