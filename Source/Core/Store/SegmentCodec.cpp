#include "Store/SegmentCodec.h"

#include "Store/RecordCodec.h"
#include "Store/Revisions.h"

namespace Store {

namespace {

constexpr const char* kSegmentKind = "segment1";
constexpr const char* kHeadKind = "head1";
constexpr const char* kPlanKind = "plan1";
constexpr const char* kPartKind = "part1";

std::vector<std::string>
ReadRest(RecordReader& aReader)
{
  std::vector<std::string> records;
  while (aReader.ok() && !aReader.atEnd()) {
    records.push_back(aReader.text());
  }
  return records;
}

} // namespace

std::string
EncodeSegment(const Segment& aSegment)
{
  RecordWriter writer(kSegmentKind);
  writer.add(aSegment.mEpoch.value());
  writer.add(aSegment.mWriterToken);
  for (const std::string& record : aSegment.mRecords) {
    writer.add(record);
  }
  return writer.take();
}

std::optional<Segment>
DecodeSegment(std::int64_t aNumber, const std::string& aText)
{
  RecordReader reader(aText, kSegmentKind);
  Segment segment;
  segment.mNumber = aNumber;
  segment.mEpoch = Common::Epoch(reader.number());
  segment.mWriterToken = reader.text();
  segment.mRecords = ReadRest(reader);
  return reader.finished() ? std::optional(std::move(segment)) : std::nullopt;
}

std::string
EncodeHead(const HeadRecord& aHead)
{
  RecordWriter writer(kHeadKind);
  writer.add(aHead.mEpoch.value());
  writer.add(aHead.mWriterToken);
  writer.add(aHead.mSerial);
  writer.add(aHead.mThrough);
  writer.add(aHead.mGeneration);
  writer.add(aHead.mParts);
  for (const std::int64_t marker : aHead.mMarkers) {
    writer.add(marker);
  }
  return writer.take();
}

std::optional<HeadRecord>
DecodeHead(const std::string& aText)
{
  RecordReader reader(aText, kHeadKind);
  HeadRecord head;
  head.mEpoch = Common::Epoch(reader.number());
  head.mWriterToken = reader.text();
  head.mSerial = reader.number();
  head.mThrough = reader.number();
  head.mGeneration = reader.text();
  head.mParts = reader.number();
  while (reader.ok() && !reader.atEnd()) {
    head.mMarkers.push_back(reader.number());
  }
  return reader.finished() ? std::optional(std::move(head)) : std::nullopt;
}

std::string
EncodePlan(const PlanRecord& aPlan)
{
  RecordWriter writer(kPlanKind);
  writer.add(aPlan.mGeneration);
  writer.add(aPlan.mParts);
  writer.add(aPlan.mOldGeneration);
  writer.add(aPlan.mOldParts);
  writer.add(aPlan.mFirst);
  writer.add(aPlan.mThrough);
  return writer.take();
}

std::optional<PlanRecord>
DecodePlan(const std::string& aText)
{
  RecordReader reader(aText, kPlanKind);
  PlanRecord plan;
  plan.mGeneration = reader.text();
  plan.mParts = reader.number();
  plan.mOldGeneration = reader.text();
  plan.mOldParts = reader.number();
  plan.mFirst = reader.number();
  plan.mThrough = reader.number();
  return reader.finished() ? std::optional(std::move(plan)) : std::nullopt;
}

std::string
EncodePart(const std::vector<std::string>& aRecords)
{
  RecordWriter writer(kPartKind);
  for (const std::string& record : aRecords) {
    writer.add(record);
  }
  return writer.take();
}

std::optional<std::vector<std::string>>
DecodePart(const std::string& aText)
{
  RecordReader reader(aText, kPartKind);
  std::vector<std::string> records = ReadRest(reader);
  return reader.finished() ? std::optional(std::move(records)) : std::nullopt;
}

std::string
SegmentKey(const std::string& aPrefix, std::int64_t aNumber)
{
  return NumberedKey(aPrefix + "/seg/", aNumber);
}

std::string
PartKey(const std::string& aPrefix, const std::string& aGeneration, std::int64_t aPart)
{
  return NumberedKey(aPrefix + "/snap/" + aGeneration + "/", aPart);
}

std::string
HeadKey(const std::string& aPrefix)
{
  return aPrefix + "/head";
}

std::string
PlanKey(const std::string& aPrefix)
{
  return aPrefix + "/plan";
}

} // namespace Store
