#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "Common/Histogram.h"

namespace Observability {

/// A number that threads change without a lock: a counter with add(), a gauge with set().
class Counter
{
public:
  void add(std::int64_t aBy = 1) { mValue.fetch_add(aBy, std::memory_order_relaxed); }
  void set(std::int64_t aValue) { mValue.store(aValue, std::memory_order_relaxed); }
  std::int64_t value() const { return mValue.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> mValue{ 0 };
};

/// A histogram behind a lock.
class Distribution
{
public:
  void record(std::int64_t aValue);
  Common::Histogram snapshot() const;

private:
  mutable std::mutex mMutex;
  Common::Histogram mHistogram;
};

/// All counters of a process. References stay valid as long as the Counters object, so hot paths
/// look a counter up once and keep it.
class Counters
{
public:
  /// aLabels is written as is between braces, for instance `route="quote"`.
  Counter& counter(std::string_view aName, std::string_view aLabels = {});
  Distribution& distribution(std::string_view aName, std::string_view aLabels = {});

  /// Lines `name{labels} value` in the order of names; a distribution gives its count, mean, p50,
  /// p99 and maximum.
  std::string text() const;

private:
  using Key = std::pair<std::string, std::string>;

  mutable std::mutex mMutex;
  std::map<Key, std::unique_ptr<Counter>> mCounters;
  std::map<Key, std::unique_ptr<Distribution>> mDistributions;
};

} // namespace Observability
