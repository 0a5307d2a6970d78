#pragma once

#include <string>
#include <vector>

#include "Store/StorePort.h"

/// An append-only log of packed records, for example `jobs/<cell>`. Segments are numbered without
/// gaps and written create-only, so of two writers of one number only one succeeds. A new owner
/// writes the first free number itself; that marker stops a deposed owner, whose next number it is.
namespace Store {

/// State of the one who writes a log; OpenLog() makes it.
struct LogWriter
{
  std::string mPrefix;
  Common::Epoch mEpoch;
  /// Unique for each run of a writer.
  std::string mToken;
  /// Number of the next segment.
  std::int64_t mNext = 1;
  /// Records of segment mNext if it is not known whether they were written.
  std::optional<std::vector<std::string>> mInDoubt;
  /// Numbers of the markers in the log, oldest first.
  std::vector<std::int64_t> mMarkers;
};

struct Segment
{
  std::int64_t mNumber = 0;
  Common::Epoch mEpoch;
  std::string mWriterToken;
  /// Empty in the marker with which an owner opens the log.
  std::vector<std::string> mRecords;
};

enum class LogError
{
  /// A later owner wrote to the log; this writer must stop. Nothing was written.
  Deposed,
  /// Nothing was written.
  Unavailable,
  /// The records may have been written. The next append settles that first; appending the same
  /// records again adds them only once.
  Unknown,
  /// A record does not fit into one store value.
  TooLarge,
  /// A record cannot be decoded, or a segment is missing.
  Damaged,
};

struct OpenedLog
{
  LogWriter mWriter;
  /// Records of the snapshot and then of the segments, in the order in which they were written.
  std::vector<std::string> mRecords;
  /// Segments since the snapshot.
  std::int64_t mSegments = 0;
};

/// Reads the whole log and takes it over for aEpoch by writing a marker.
tl::expected<OpenedLog, LogError>
OpenLog(StorePort& aStore,
        const std::string& aPrefix,
        Common::Epoch aEpoch,
        const std::string& aToken);

/// Appends one segment.
tl::expected<void, LogError>
AppendSegment(StorePort& aStore, LogWriter& aWriter, const std::vector<std::string>& aRecords);

/// Replaces all segments before aWriter.mNext by a snapshot of aRecords, which must hold everything
/// in them that still matters. A writer may die between any two steps; the log stays whole, and the
/// next compaction removes what was left behind. Unknown: the snapshot may be in force.
tl::expected<void, LogError>
CompactLog(StorePort& aStore, LogWriter& aWriter, const std::vector<std::string>& aRecords);

/// Bytes of records that fit into one store value beside the other fields.
constexpr std::size_t kMaxSegmentBytes = (1U << 20U) - 1024;

/// Splits the records, in order, into groups that fit into one value each; TooLarge if one record
/// does not.
tl::expected<std::vector<std::vector<std::string>>, LogError>
PackRecords(const std::vector<std::string>& aRecords, std::size_t aMaxBytes = kMaxSegmentBytes);

/// Records that wait to be written together.
struct SegmentBuffer
{
  std::vector<std::string> mRecords;
  std::size_t mBytes = 0;
  std::optional<Common::Timestamp> mOldest;
};

/// A segment is written after this time or size, whichever comes first (design 3.3).
constexpr Common::Duration kPackTime = std::chrono::milliseconds(20);
constexpr std::size_t kPackBytes = 512U << 10U;

void
AddRecord(SegmentBuffer& aBuffer, std::string aRecord, Common::Timestamp aNow);
bool
FlushDue(const SegmentBuffer& aBuffer, Common::Timestamp aNow);

} // namespace Store
