#include "Observability/Counters.h"

namespace Observability {

namespace {

std::string
Line(const std::string& aName, const std::string& aLabels, const std::string& aValue)
{
  return aName + '{' + aLabels + "} " + aValue + '\n';
}

template<typename Map>
auto&
FindOrAdd(Map& aMap, std::string_view aName, std::string_view aLabels)
{
  auto& slot = aMap[{ std::string(aName), std::string(aLabels) }];
  if (!slot) {
    slot = std::make_unique<typename std::remove_reference_t<decltype(slot)>::element_type>();
  }
  return *slot;
}

} // namespace

void
Distribution::record(std::int64_t aValue)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mHistogram.record(aValue);
}

Common::Histogram
Distribution::snapshot() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mHistogram;
}

Counter&
Counters::counter(std::string_view aName, std::string_view aLabels)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return FindOrAdd(mCounters, aName, aLabels);
}

Distribution&
Counters::distribution(std::string_view aName, std::string_view aLabels)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return FindOrAdd(mDistributions, aName, aLabels);
}

std::string
Counters::text() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::string text;
  for (const auto& [key, counter] : mCounters) {
    text += Line(key.first, key.second, std::to_string(counter->value()));
  }
  for (const auto& [key, distribution] : mDistributions) {
    const Common::Histogram histogram = distribution->snapshot();
    const auto& [name, labels] = key;
    text += Line(name + "_count", labels, std::to_string(histogram.count()));
    text += Line(name + "_mean", labels, std::to_string(histogram.mean()));
    text += Line(name + "_p50", labels, std::to_string(histogram.quantile(0.5)));
    text += Line(name + "_p99", labels, std::to_string(histogram.quantile(0.99)));
    text += Line(name + "_max", labels, std::to_string(histogram.max()));
  }
  return text;
}

} // namespace Observability
