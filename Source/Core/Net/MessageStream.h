#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Net {

/// Compresses a sequence of messages with zlib. Each message refers to the ones before it, so that
/// one which repeats most of its predecessor takes few bytes. Messages have to be decompressed in
/// the same order.
class MessageCompressor
{
public:
  MessageCompressor();
  ~MessageCompressor();
  MessageCompressor(const MessageCompressor&) = delete;
  MessageCompressor& operator=(const MessageCompressor&) = delete;

  std::string compress(std::string_view aMessage);

private:
  struct Stream;
  std::unique_ptr<Stream> mStream;
};

class MessageDecompressor
{
public:
  MessageDecompressor();
  ~MessageDecompressor();
  MessageDecompressor(const MessageDecompressor&) = delete;
  MessageDecompressor& operator=(const MessageDecompressor&) = delete;

  /// Returns nullopt if the bytes are not the next message of the sequence, or if the message is
  /// longer than aMaxBytes; no further message can be decompressed then.
  std::optional<std::string> decompress(std::string_view aBytes, std::size_t aMaxBytes);

private:
  struct Stream;
  std::unique_ptr<Stream> mStream;
};

} // namespace Net
