#include "Ownership/CellRecord.h"

#include "Store/RecordCodec.h"

namespace Ownership {

namespace {

constexpr const char* kCellKind = "cell1";

void
AddMember(Store::RecordWriter& aWriter, const RosterMember& aMember)
{
  aWriter.add(aMember.mInstance.str());
  aWriter.add(aMember.mIncarnation.value());
  aWriter.add(aMember.mAddress);
}

RosterMember
ReadMember(Store::RecordReader& aReader)
{
  RosterMember member;
  member.mInstance = Common::InstanceId(aReader.text());
  member.mIncarnation = Common::Incarnation(aReader.number());
  member.mAddress = aReader.text();
  return member;
}

} // namespace

std::string
EncodeCell(const CellRecord& aRecord)
{
  Store::RecordWriter writer(kCellKind);
  writer.add(aRecord.mEpoch.value());
  AddMember(writer, aRecord.mOwner);
  writer.add(aRecord.mWriterToken);
  writer.add(aRecord.mSerial);
  writer.add(aRecord.mSuccessor.str());
  for (const RosterMember& member : aRecord.mRoster) {
    AddMember(writer, member);
  }
  return writer.take();
}

std::optional<CellRecord>
DecodeCell(const std::string& aText)
{
  Store::RecordReader reader(aText, kCellKind);
  CellRecord record;
  record.mEpoch = Common::Epoch(reader.number());
  record.mOwner = ReadMember(reader);
  record.mWriterToken = reader.text();
  record.mSerial = reader.number();
  record.mSuccessor = Common::InstanceId(reader.text());
  while (reader.ok() && !reader.atEnd()) {
    record.mRoster.push_back(ReadMember(reader));
  }
  return reader.finished() ? std::optional(std::move(record)) : std::nullopt;
}

std::string
CellKey(const Common::CellId& aCell)
{
  return "cells/" + aCell.str();
}

std::string
CellLeaseKey(const Common::CellId& aCell)
{
  return "cell-leases/" + aCell.str();
}

} // namespace Ownership
