#include "Common/Hash.h"
#include "Store/RecordCodec.h"
#include "Store/Revisions.h"

namespace Store {

namespace {

constexpr const char* kRevisionKind = "revision1";
constexpr const char* kCurrentKind = "current1";
// Wide enough for 12,000 changes a day over thousands of years.
constexpr std::size_t kNumberWidth = 12;

void
AddInfo(RecordWriter& aWriter, const RevisionInfo& aInfo)
{
  aWriter.add(aInfo.mRevision.value());
  aWriter.add(aInfo.mHash);
  aWriter.add(aInfo.mAuthor);
  aWriter.add(aInfo.mComment);
  aWriter.add(aInfo.mUnixMillis);
  aWriter.add(aInfo.mWriterToken);
}

RevisionInfo
ReadInfo(RecordReader& aReader)
{
  RevisionInfo info;
  info.mRevision = Common::Revision(aReader.number());
  info.mHash = aReader.text();
  info.mAuthor = aReader.text();
  info.mComment = aReader.text();
  info.mUnixMillis = aReader.number();
  info.mWriterToken = aReader.text();
  return info;
}

} // namespace

std::string
HashTables(const TableTexts& aTexts)
{
  RecordWriter writer("tables1");
  writer.add(aTexts.mRoutes);
  writer.add(aTexts.mPools);
  return Common::HashText(Common::HashBytes(writer.take()));
}

std::string
EncodeRevision(const RevisionRecord& aRecord)
{
  RecordWriter writer(kRevisionKind);
  AddInfo(writer, aRecord.mInfo);
  writer.add(aRecord.mTexts.mRoutes);
  writer.add(aRecord.mTexts.mPools);
  return writer.take();
}

std::optional<RevisionRecord>
DecodeRevision(const std::string& aText)
{
  RecordReader reader(aText, kRevisionKind);
  RevisionRecord record;
  record.mInfo = ReadInfo(reader);
  record.mTexts.mRoutes = reader.text();
  record.mTexts.mPools = reader.text();
  if (!reader.finished() || record.mInfo.mHash != HashTables(record.mTexts)) {
    return std::nullopt;
  }
  return record;
}

std::string
EncodeCurrent(const CurrentRecord& aRecord)
{
  RecordWriter writer(kCurrentKind);
  AddInfo(writer, aRecord.mInfo);
  writer.add(aRecord.mFence);
  writer.add(aRecord.mOldest.value());
  for (const RevisionInfo& info : aRecord.mHistory) {
    AddInfo(writer, info);
  }
  return writer.take();
}

std::optional<CurrentRecord>
DecodeCurrent(const std::string& aText)
{
  RecordReader reader(aText, kCurrentKind);
  CurrentRecord record;
  record.mInfo = ReadInfo(reader);
  record.mFence = reader.text();
  record.mOldest = Common::Revision(reader.number());
  while (reader.ok() && !reader.atEnd()) {
    record.mHistory.push_back(ReadInfo(reader));
  }
  return reader.finished() ? std::optional(std::move(record)) : std::nullopt;
}

std::string
NumberedKey(const std::string& aPrefix, std::int64_t aNumber)
{
  std::string digits = std::to_string(aNumber);
  digits.insert(0, kNumberWidth - std::min(kNumberWidth, digits.size()), '0');
  return aPrefix + digits;
}

} // namespace Store
