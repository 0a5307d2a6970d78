#include "Store/Segments.h"

#include "Store/RecordCodec.h"
#include "Store/SegmentCodec.h"
#include "Store/SegmentHead.h"
#include "Store/Settle.h"

namespace Store {

namespace {

// Another owner that opens the log at the same time makes the head move; it is read again then.
constexpr int kOpenAttempts = 4;

tl::expected<void, LogError>
ReadSnapshot(StorePort& aStore, OpenedLog& aLog, const HeadRecord& aHead)
{
  for (std::int64_t part = 0; part < aHead.mParts; ++part) {
    const auto entry = aStore.read(PartKey(aLog.mWriter.mPrefix, aHead.mGeneration, part));
    if (!entry) {
      return tl::unexpected(LogError::Unavailable);
    }
    const auto records = *entry ? DecodePart((*entry)->mValue) : std::nullopt;
    if (!records) {
      return tl::unexpected(LogError::Damaged);
    }
    aLog.mRecords.insert(aLog.mRecords.end(), records->begin(), records->end());
  }
  return {};
}

// Reads segments from aLog.mWriter.mNext on, up to the first that does not exist.
tl::expected<void, LogError>
ReadSegments(StorePort& aStore, OpenedLog& aLog)
{
  LogWriter& writer = aLog.mWriter;
  while (true) {
    const auto entry = aStore.read(SegmentKey(writer.mPrefix, writer.mNext));
    if (!entry) {
      return tl::unexpected(LogError::Unavailable);
    }
    if (!*entry) {
      return {};
    }
    const auto segment = DecodeSegment(writer.mNext, (*entry)->mValue);
    if (!segment) {
      return tl::unexpected(LogError::Damaged);
    }
    if (segment->mEpoch > writer.mEpoch) {
      return tl::unexpected(LogError::Deposed);
    }
    if (segment->mRecords.empty()) {
      writer.mMarkers.push_back(writer.mNext);
    }
    aLog.mRecords.insert(aLog.mRecords.end(), segment->mRecords.begin(), segment->mRecords.end());
    ++aLog.mSegments;
    ++writer.mNext;
  }
}

std::string
Encode(const LogWriter& aWriter, const std::vector<std::string>& aRecords)
{
  return EncodeSegment({ aWriter.mNext, aWriter.mEpoch, aWriter.mToken, aRecords });
}

// Reads to the end of the log and writes the marker there; a segment that an earlier owner gets in
// before it is read too.
tl::expected<void, LogError>
ReadAndMark(StorePort& aStore, OpenedLog& aLog)
{
  LogWriter& writer = aLog.mWriter;
  while (true) {
    if (auto read = ReadSegments(aStore, aLog); !read) {
      return read;
    }
    const auto marked =
      SwapSettled(aStore, SegmentKey(writer.mPrefix, writer.mNext), Version(), Encode(writer, {}));
    if (marked) {
      writer.mMarkers.push_back(writer.mNext);
      ++writer.mNext;
      return {};
    }
    if (marked.error() != StoreError::Conflict) {
      return tl::unexpected(ToLogError(marked.error()));
    }
  }
}

tl::expected<OpenedLog, LogError>
TryOpen(StorePort& aStore, const LogWriter& aWriter)
{
  auto head = LoadHead(aStore, aWriter.mPrefix);
  if (!head) {
    return tl::unexpected(head.error());
  }
  if (head->mRecord.mEpoch > aWriter.mEpoch) {
    return tl::unexpected(LogError::Deposed);
  }
  OpenedLog log{ aWriter, {}, 0 };
  // Fences compactions of earlier owners, so that no segment vanishes while the log is read.
  if (auto stored = StoreHead(aStore, log.mWriter, *head); !stored) {
    return tl::unexpected(stored.error());
  }
  log.mWriter.mNext = head->mRecord.mThrough + 1;
  log.mWriter.mMarkers = head->mRecord.mMarkers;
  if (auto read = ReadSnapshot(aStore, log, head->mRecord); !read) {
    return tl::unexpected(read.error());
  }
  if (auto marked = ReadAndMark(aStore, log); !marked) {
    return tl::unexpected(marked.error());
  }
  // Another owner may have opened and compacted the log in the meantime; the end that was found
  // then is a gap that its compaction left.
  const auto after = LoadHead(aStore, aWriter.mPrefix);
  if (!after) {
    return tl::unexpected(after.error());
  }
  if (after->mVersion != head->mVersion) {
    return tl::unexpected(LogError::Deposed);
  }
  return log;
}

// Writes segment aWriter.mNext, and says whether it is in the store now.
tl::expected<void, LogError>
WriteNext(StorePort& aStore, LogWriter& aWriter, const std::vector<std::string>& aRecords)
{
  const std::string key = SegmentKey(aWriter.mPrefix, aWriter.mNext);
  const std::string value = Encode(aWriter, aRecords);
  auto written = SwapSettled(aStore, key, Version(), value);
  if (!written && written.error() == StoreError::Conflict) {
    const auto seen = aStore.read(key);
    if (!seen) {
      return tl::unexpected(LogError::Unknown);
    }
    if (!*seen) {
      // A successor's compaction removed the segment that was there, which may have been this one.
      return tl::unexpected(LogError::Unknown);
    }
    if ((*seen)->mValue != value) {
      return tl::unexpected(LogError::Deposed);
    }
  } else if (!written) {
    return tl::unexpected(ToLogError(written.error()));
  }
  ++aWriter.mNext;
  return {};
}

} // namespace

tl::expected<OpenedLog, LogError>
OpenLog(StorePort& aStore,
        const std::string& aPrefix,
        Common::Epoch aEpoch,
        const std::string& aToken)
{
  const LogWriter writer{ aPrefix, aEpoch, aToken, 1, std::nullopt, {} };
  tl::expected<OpenedLog, LogError> log = tl::unexpected(LogError::Unavailable);
  for (int attempt = 0; attempt < kOpenAttempts; ++attempt) {
    log = TryOpen(aStore, writer);
    if (log || log.error() == LogError::Unavailable) {
      return log;
    }
  }
  return log;
}

tl::expected<void, LogError>
AppendSegment(StorePort& aStore, LogWriter& aWriter, const std::vector<std::string>& aRecords)
{
  if (aRecords.empty()) {
    return {};
  }
  if (!PackRecords(aRecords) || PackRecords(aRecords)->size() > 1) {
    return tl::unexpected(LogError::TooLarge);
  }
  if (aWriter.mInDoubt) {
    const std::vector<std::string> inDoubt = *aWriter.mInDoubt;
    const auto settled = WriteNext(aStore, aWriter, inDoubt);
    if (!settled && settled.error() == LogError::Deposed) {
      return settled;
    }
    if (!settled) {
      // The earlier call stays in doubt; records that were not part of it are not written.
      return tl::unexpected(inDoubt == aRecords ? LogError::Unknown : LogError::Unavailable);
    }
    aWriter.mInDoubt.reset();
    if (inDoubt == aRecords) {
      return {};
    }
  }
  auto written = WriteNext(aStore, aWriter, aRecords);
  if (!written && written.error() == LogError::Unknown) {
    aWriter.mInDoubt = aRecords;
  }
  return written;
}

tl::expected<std::vector<std::vector<std::string>>, LogError>
PackRecords(const std::vector<std::string>& aRecords, std::size_t aMaxBytes)
{
  std::vector<std::vector<std::string>> groups;
  std::size_t bytes = 0;
  for (const std::string& record : aRecords) {
    const std::size_t size = EncodedSize(record.size());
    if (size > aMaxBytes) {
      return tl::unexpected(LogError::TooLarge);
    }
    if (groups.empty() || bytes + size > aMaxBytes) {
      groups.emplace_back();
      bytes = 0;
    }
    groups.back().push_back(record);
    bytes += size;
  }
  return groups;
}

void
AddRecord(SegmentBuffer& aBuffer, std::string aRecord, Common::Timestamp aNow)
{
  aBuffer.mBytes += EncodedSize(aRecord.size());
  aBuffer.mRecords.push_back(std::move(aRecord));
  if (!aBuffer.mOldest) {
    aBuffer.mOldest = aNow;
  }
}

bool
FlushDue(const SegmentBuffer& aBuffer, Common::Timestamp aNow)
{
  return aBuffer.mOldest && (aNow - *aBuffer.mOldest >= kPackTime || aBuffer.mBytes >= kPackBytes);
}

} // namespace Store
