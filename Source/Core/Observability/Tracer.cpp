#include "Observability/Tracer.h"

#include <istream>
#include <ostream>
#include <sstream>

#include "Common/Hash.h"
#include "Observability/Log.h"

namespace Observability {

namespace {

class Context final : public opentracing::SpanContext
{
public:
  explicit Context(TraceContext aIds)
    : mIds(aIds)
  {
  }

  void ForeachBaggageItem(
    std::function<bool(const std::string&, const std::string&)> /*aVisit*/) const override
  {
  }
  std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override
  {
    return std::make_unique<Context>(mIds);
  }
  std::string ToTraceID() const noexcept override { return TraceIdText(mIds); }

  TraceContext mIds;
};

struct ValueText
{
  std::ostringstream& mOut;

  void operator()(bool aValue) const { mOut << (aValue ? "true" : "false"); }
  void operator()(std::nullptr_t) const {}
  void operator()(const opentracing::Values&) const {}
  void operator()(const opentracing::Dictionary&) const {}
  void operator()(const opentracing::string_view& aValue) const
  {
    mOut << std::string_view(aValue.data(), aValue.size());
  }
  template<typename Plain>
  void operator()(const Plain& aValue) const
  {
    mOut << aValue;
  }
};

std::string
TextOf(const opentracing::Value& aValue)
{
  std::ostringstream out;
  opentracing::util::apply_visitor(ValueText{ out }, aValue);
  return out.str();
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
ContextFrom(std::string_view aHeader)
{
  const auto ids = ParseTraceParent(aHeader);
  if (!ids) {
    return opentracing::make_unexpected(opentracing::span_context_corrupted_error);
  }
  return std::unique_ptr<opentracing::SpanContext>(std::make_unique<Context>(*ids));
}

const TraceContext*
IdsOf(const opentracing::SpanContext* aContext)
{
  const auto* context = dynamic_cast<const Context*>(aContext);
  return context == nullptr ? nullptr : &context->mIds;
}

} // namespace

/// A span that is handed to its tracer when it ends.
class RecordingSpan final : public opentracing::Span
{
public:
  RecordingSpan(const Tracer& aTracer, SpanRecord aRecord)
    : mTracer(aTracer)
    , mContext(aRecord.mContext)
    , mRecord(std::move(aRecord))
    , mStarted(aTracer.mClock.now())
  {
  }
  ~RecordingSpan() override { end(); }

  void FinishWithOptions(const opentracing::FinishSpanOptions& /*aOptions*/) noexcept override
  {
    end();
  }
  void SetOperationName(opentracing::string_view aName) noexcept override
  {
    mRecord.mName.assign(aName.data(), aName.size());
  }
  void SetTag(opentracing::string_view aKey, const opentracing::Value& aValue) noexcept override
  {
    mRecord.mTags.emplace_back(std::string(aKey.data(), aKey.size()), TextOf(aValue));
  }
  // W3C baggage is not carried: hops pass on nothing but the trace identity.
  void SetBaggageItem(opentracing::string_view, opentracing::string_view) noexcept override {}
  std::string BaggageItem(opentracing::string_view) const noexcept override { return {}; }

  void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
             aFields) noexcept override
  {
    for (const auto& [key, value] : aFields) {
      SetTag(key, value);
    }
  }
  void Log(opentracing::SystemTime /*aTime*/,
           std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>>
             aFields) noexcept override
  {
    Log(aFields);
  }
  void Log(opentracing::SystemTime /*aTime*/,
           const std::vector<std::pair<opentracing::string_view, opentracing::Value>>&
             aFields) noexcept override
  {
    for (const auto& [key, value] : aFields) {
      SetTag(key, value);
    }
  }
  const opentracing::SpanContext& context() const noexcept override { return mContext; }
  const opentracing::Tracer& tracer() const noexcept override { return mTracer; }

private:
  void end()
  {
    if (!mEnded) {
      mEnded = true;
      mRecord.mTaken = mTracer.mClock.now() - mStarted;
      mTracer.keep(std::move(mRecord));
    }
  }

  const Tracer& mTracer;
  Context mContext;
  SpanRecord mRecord;
  Common::Timestamp mStarted;
  bool mEnded = false;
};

std::string
SpanJson(const SpanRecord& aSpan)
{
  std::string json = R"({"trace":")" + TraceIdText(aSpan.mContext) + R"(","span":")" +
                     Common::HashText(aSpan.mContext.mSpan) + R"(","parent":")" +
                     (aSpan.mParent == 0 ? "" : Common::HashText(aSpan.mParent)) + R"(","name":")" +
                     JsonEscaped(aSpan.mName) + R"(","instance":")" + JsonEscaped(aSpan.mInstance) +
                     R"(","start_unix_ms":)" + std::to_string(aSpan.mStart.count()) +
                     R"(,"taken_us":)" + std::to_string(aSpan.mTaken.count()) + R"(,"tags":{)";
  bool first = true;
  for (const auto& [key, value] : aSpan.mTags) {
    json += (first ? "\"" : ",\"") + JsonEscaped(key) + R"(":")" + JsonEscaped(value) + '"';
    first = false;
  }
  return json + "}}";
}

Tracer::Tracer(TracerSettings aSettings, const Common::Clock& aClock)
  : mSettings(std::move(aSettings))
  , mClock(aClock)
  , mRandom(mSettings.mSeed)
{
  if (!mSettings.mExportFile.empty()) {
    mExport.open(mSettings.mExportFile, std::ios::app);
  }
}

Tracer::~Tracer() = default;

std::unique_ptr<opentracing::Span>
Tracer::start(std::string_view aName, const std::optional<TraceContext>& aParent) const
{
  SpanRecord record;
  record.mName = aName;
  record.mInstance = mSettings.mInstance;
  record.mStart = mClock.unixNow();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    record.mContext.mSpan = mRandom.next() | 1U;
    if (aParent) {
      record.mParent = aParent->mSpan;
      record.mContext.mTraceHigh = aParent->mTraceHigh;
      record.mContext.mTraceLow = aParent->mTraceLow;
      record.mContext.mSampled = aParent->mSampled;
    } else {
      record.mContext.mTraceHigh = mRandom.next();
      record.mContext.mTraceLow = mRandom.next() | 1U;
    }
  }
  return std::make_unique<RecordingSpan>(*this, std::move(record));
}

void
Tracer::keep(SpanRecord aSpan) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  if (mExport.is_open()) {
    mExport << SpanJson(aSpan) << '\n' << std::flush;
  }
  mSpans.push_back(std::move(aSpan));
  while (mSpans.size() > mSettings.mCapacity) {
    mSpans.pop_front();
  }
}

std::vector<SpanRecord>
Tracer::trace(std::string_view aTraceId) const
{
  std::vector<SpanRecord> found;
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const SpanRecord& span : mSpans) {
    if (TraceIdText(span.mContext) == aTraceId) {
      found.push_back(span);
    }
  }
  return found;
}

std::vector<SpanRecord>
Tracer::spans() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return { mSpans.begin(), mSpans.end() };
}

std::unique_ptr<opentracing::Span>
Tracer::StartSpanWithOptions(opentracing::string_view aName,
                             const opentracing::StartSpanOptions& aOptions) const noexcept
{
  std::optional<TraceContext> parent;
  for (const auto& [type, context] : aOptions.references) {
    if (const TraceContext* ids = IdsOf(context)) {
      parent = *ids;
      break;
    }
  }
  auto span = start(std::string_view(aName.data(), aName.size()), parent);
  for (const auto& [key, value] : aOptions.tags) {
    span->SetTag(key, value);
  }
  return span;
}

opentracing::expected<void>
Tracer::Inject(const opentracing::SpanContext& aContext, std::ostream& aWriter) const
{
  const TraceContext* ids = IdsOf(&aContext);
  if (ids == nullptr) {
    return opentracing::make_unexpected(opentracing::invalid_span_context_error);
  }
  aWriter << FormatTraceParent(*ids);
  return {};
}

opentracing::expected<void>
Tracer::Inject(const opentracing::SpanContext& aContext,
               const opentracing::TextMapWriter& aWriter) const
{
  const TraceContext* ids = IdsOf(&aContext);
  if (ids == nullptr) {
    return opentracing::make_unexpected(opentracing::invalid_span_context_error);
  }
  return aWriter.Set("traceparent", FormatTraceParent(*ids));
}

opentracing::expected<void>
Tracer::Inject(const opentracing::SpanContext& aContext,
               const opentracing::HTTPHeadersWriter& aWriter) const
{
  return Inject(aContext, static_cast<const opentracing::TextMapWriter&>(aWriter));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
Tracer::Extract(std::istream& aReader) const
{
  std::string header;
  aReader >> header;
  return ContextFrom(header);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
Tracer::Extract(const opentracing::TextMapReader& aReader) const
{
  std::string header;
  const auto visited =
    aReader.ForeachKey([&](opentracing::string_view aKey, opentracing::string_view aValue) {
      if (std::string_view(aKey.data(), aKey.size()) == "traceparent") {
        header.assign(aValue.data(), aValue.size());
      }
      return opentracing::expected<void>();
    });
  if (!visited) {
    return opentracing::make_unexpected(visited.error());
  }
  return ContextFrom(header);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
Tracer::Extract(const opentracing::HTTPHeadersReader& aReader) const
{
  return Extract(static_cast<const opentracing::TextMapReader&>(aReader));
}

TraceContext
ContextOf(const opentracing::Span& aSpan)
{
  const TraceContext* ids = IdsOf(&aSpan.context());
  return ids == nullptr ? TraceContext{} : *ids;
}

} // namespace Observability
