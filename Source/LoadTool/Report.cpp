#include "LoadTool/Report.h"

#include <sstream>

#include <nlohmann/json.hpp>

namespace LoadTool {

namespace {

double
PerSecond(std::uint64_t aCount, const LoadConfig& aConfig)
{
  return static_cast<double>(aCount) / std::chrono::duration<double>(aConfig.mLength).count();
}

nlohmann::json
QuantilesOf(const Common::Histogram& aHistogram)
{
  return { { "p50", aHistogram.quantile(0.5) },  { "p90", aHistogram.quantile(0.9) },
           { "p99", aHistogram.quantile(0.99) }, { "p999", aHistogram.quantile(0.999) },
           { "max", aHistogram.max() },          { "mean", aHistogram.mean() } };
}

} // namespace

std::string
JsonReport(const LoadConfig& aConfig, const LoadResult& aResult)
{
  nlohmann::json statuses = nlohmann::json::object();
  for (const auto& [status, count] : aResult.mStatuses) {
    statuses[std::to_string(status)] = count;
  }
  const nlohmann::json report = { { "offered_per_s", aConfig.mPerSecond },
                                  { "sent", aResult.mSent },
                                  { "answered", aResult.mAnswered },
                                  { "answered_per_s", PerSecond(aResult.mAnswered, aConfig) },
                                  { "transport_errors", aResult.mTransportErrors },
                                  { "wrong_answers", aResult.mWrongAnswers },
                                  { "outcomes", aResult.mOutcomes },
                                  { "statuses", statuses },
                                  { "latency_us", QuantilesOf(aResult.mLatency) },
                                  { "send_delay_us", QuantilesOf(aResult.mSendDelay) } };
  return report.dump(2);
}

std::string
TextReport(const LoadConfig& aConfig, const LoadResult& aResult)
{
  std::ostringstream text;
  text << "offered " << aConfig.mPerSecond << "/s, sent " << aResult.mSent << ", answered "
       << aResult.mAnswered << " (" << PerSecond(aResult.mAnswered, aConfig)
       << "/s), transport errors " << aResult.mTransportErrors << ", wrong answers "
       << aResult.mWrongAnswers << "\noutcomes:";
  for (const auto& [outcome, count] : aResult.mOutcomes) {
    text << ' ' << outcome << '=' << count;
  }
  text << "\nlatency us: p50 " << aResult.mLatency.quantile(0.5) << ", p99 "
       << aResult.mLatency.quantile(0.99) << ", p99.9 " << aResult.mLatency.quantile(0.999)
       << ", max " << aResult.mLatency.max() << "\nsent late us: p99 "
       << aResult.mSendDelay.quantile(0.99) << '\n';
  return text.str();
}

} // namespace LoadTool
