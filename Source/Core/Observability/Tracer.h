#pragma once

#include <cstdint>
#include <deque>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <opentracing/tracer.h>

#include "Common/Clock.h"
#include "Common/Random.h"
#include "Observability/TraceContext.h"

namespace Observability {

/// A span that has ended.
struct SpanRecord
{
  std::string mName;
  std::string mInstance;
  TraceContext mContext;
  /// Span id of the parent; 0 at the root.
  std::uint64_t mParent = 0;
  Common::UnixMillis mStart{};
  Common::Duration mTaken{};
  std::vector<std::pair<std::string, std::string>> mTags;
};

/// One JSON object without a line end.
std::string
SpanJson(const SpanRecord& aSpan);

struct TracerSettings
{
  std::string mInstance;
  /// Spans kept in memory; the oldest are dropped.
  std::size_t mCapacity = 512;
  /// File to which each span is appended as a line; empty for none.
  std::string mExportFile;
  std::uint64_t mSeed = 1;
};

/// Makes the spans of one process and keeps the last ones. Spans must not outlive it. It is safe to
/// use from several threads; one span belongs to one thread.
class Tracer final : public opentracing::Tracer
{
public:
  Tracer(TracerSettings aSettings, const Common::Clock& aClock);
  ~Tracer() override;

  /// A span under aParent, or the root of a new trace.
  std::unique_ptr<opentracing::Span> start(std::string_view aName,
                                           const std::optional<TraceContext>& aParent) const;

  /// Kept spans of one trace, oldest first.
  std::vector<SpanRecord> trace(std::string_view aTraceId) const;
  /// Kept spans, oldest first.
  std::vector<SpanRecord> spans() const;

  std::unique_ptr<opentracing::Span> StartSpanWithOptions(
    opentracing::string_view aName,
    const opentracing::StartSpanOptions& aOptions) const noexcept override;
  opentracing::expected<void> Inject(const opentracing::SpanContext& aContext,
                                     std::ostream& aWriter) const override;
  opentracing::expected<void> Inject(const opentracing::SpanContext& aContext,
                                     const opentracing::TextMapWriter& aWriter) const override;
  opentracing::expected<void> Inject(const opentracing::SpanContext& aContext,
                                     const opentracing::HTTPHeadersWriter& aWriter) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
    std::istream& aReader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
    const opentracing::TextMapReader& aReader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
    const opentracing::HTTPHeadersReader& aReader) const override;

private:
  friend class RecordingSpan;
  void keep(SpanRecord aSpan) const;

  TracerSettings mSettings;
  const Common::Clock& mClock;
  mutable std::mutex mMutex;
  mutable Common::Random mRandom;
  mutable std::deque<SpanRecord> mSpans;
  mutable std::ofstream mExport;
};

/// The identity of a span made by a Tracer; an invalid context for a span of another tracer.
TraceContext
ContextOf(const opentracing::Span& aSpan);

} // namespace Observability
