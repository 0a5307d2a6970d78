#pragma once

#include "Store/Segments.h"

/// Records and keys of a segment log; internal to the Store library.
namespace Store {

/// Names the snapshot in force. The record of a log without one does not exist.
struct HeadRecord
{
  Common::Epoch mEpoch;
  std::string mWriterToken;
  /// Segments up to this one are in the snapshot.
  std::int64_t mThrough = 0;
  /// Name of the snapshot's parts; empty without a snapshot.
  std::string mGeneration;
  std::int64_t mParts = 0;
  /// Numbers of the markers that are kept, oldest first.
  std::vector<std::int64_t> mMarkers;
  /// Rises with each write, so that no two values are equal.
  std::int64_t mSerial = 0;
};

/// Written before the parts of a snapshot, so that a later compaction finds them if the writer
/// dies.
struct PlanRecord
{
  std::string mGeneration;
  std::int64_t mParts = 0;
  /// Snapshot that this one replaces, and the first segment that it covers.
  std::string mOldGeneration;
  std::int64_t mOldParts = 0;
  std::int64_t mFirst = 1;
  std::int64_t mThrough = 0;
};

std::string
EncodeSegment(const Segment& aSegment);
std::optional<Segment>
DecodeSegment(std::int64_t aNumber, const std::string& aText);
std::string
EncodeHead(const HeadRecord& aHead);
std::optional<HeadRecord>
DecodeHead(const std::string& aText);
std::string
EncodePlan(const PlanRecord& aPlan);
std::optional<PlanRecord>
DecodePlan(const std::string& aText);
std::string
EncodePart(const std::vector<std::string>& aRecords);
std::optional<std::vector<std::string>>
DecodePart(const std::string& aText);

std::string
SegmentKey(const std::string& aPrefix, std::int64_t aNumber);
std::string
PartKey(const std::string& aPrefix, const std::string& aGeneration, std::int64_t aPart);
std::string
HeadKey(const std::string& aPrefix);
std::string
PlanKey(const std::string& aPrefix);

} // namespace Store
