#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <Node_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

/// Encodes and decodes Thrift records and messages.
namespace Wire {

/// First byte of each encoded record. Store entries that other programs wrote rarely begin with it.
constexpr char kMagicByte = '\x8a';

/// Encodes the record in the Thrift compact protocol, after kMagicByte.
template<typename Record>
std::string
Encode(const Record& aRecord)
{
  using apache::thrift::transport::TMemoryBuffer;
  const auto buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  aRecord.write(&protocol);
  return kMagicByte + buffer->getBufferAsString();
}

/// Returns nullopt if the bytes are not a record of this type.
template<typename Record>
std::optional<Record>
Decode(std::string_view aBytes)
{
  using apache::thrift::transport::TMemoryBuffer;
  if (aBytes.empty() || aBytes.front() != kMagicByte) {
    return std::nullopt;
  }
  aBytes.remove_prefix(1);
  // The buffer only reads the bytes, although its interface takes a mutable pointer.
  const auto buffer = std::make_shared<TMemoryBuffer>(
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data())),
    static_cast<std::uint32_t>(aBytes.size()));
  // Limits strings and containers to the size of the record, because a corrupt one can claim more.
  const auto maxSize = static_cast<std::int32_t>(aBytes.size());
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, maxSize, maxSize);
  try {
    Record record;
    record.read(&protocol);
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace Wire
