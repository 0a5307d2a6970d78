#include "Net/MessageStream.h"

#include <algorithm>
#include <array>
#include <stdexcept>

#include <zlib.h>

namespace Net {

namespace {

/// Earlier bytes that a message can refer to, as a power of two: 8 KB, a few reports of an agent.
constexpr int kWindowBits = 13;
/// With kWindowBits this takes 48 KB for each compressor.
constexpr int kMemoryLevel = 6;
constexpr std::size_t kBlockBytes = 4'096;

Bytef*
MutableBytes(std::string_view aBytes)
{
  // zlib only reads the input, although its interface takes a mutable pointer.
  return reinterpret_cast<Bytef*>(const_cast<char*>(aBytes.data()));
}

} // namespace

struct MessageCompressor::Stream
{
  z_stream mState{};
};

MessageCompressor::MessageCompressor()
  : mStream(std::make_unique<Stream>())
{
  // Negative window bits leave the header and checksum of zlib out.
  if (deflateInit2(&mStream->mState,
                   Z_BEST_SPEED,
                   Z_DEFLATED,
                   -kWindowBits,
                   kMemoryLevel,
                   Z_DEFAULT_STRATEGY) != Z_OK) {
    throw std::runtime_error("cannot initialize a compressor");
  }
}

MessageCompressor::~MessageCompressor()
{
  deflateEnd(&mStream->mState);
}

std::string
MessageCompressor::compress(std::string_view aMessage)
{
  z_stream& state = mStream->mState;
  state.next_in = MutableBytes(aMessage);
  state.avail_in = static_cast<uInt>(aMessage.size());
  std::string compressed;
  std::array<char, kBlockBytes> block{};
  do {
    state.next_out = reinterpret_cast<Bytef*>(block.data());
    state.avail_out = static_cast<uInt>(block.size());
    deflate(&state, Z_SYNC_FLUSH);
    compressed.append(block.data(), block.size() - state.avail_out);
  } while (state.avail_out == 0);
  return compressed;
}

struct MessageDecompressor::Stream
{
  z_stream mState{};
};

MessageDecompressor::MessageDecompressor()
  : mStream(std::make_unique<Stream>())
{
  if (inflateInit2(&mStream->mState, -kWindowBits) != Z_OK) {
    throw std::runtime_error("cannot initialize a decompressor");
  }
}

MessageDecompressor::~MessageDecompressor()
{
  inflateEnd(&mStream->mState);
}

std::optional<std::string>
MessageDecompressor::decompress(std::string_view aBytes, std::size_t aMaxBytes)
{
  z_stream& state = mStream->mState;
  state.next_in = MutableBytes(aBytes);
  state.avail_in = static_cast<uInt>(aBytes.size());
  std::string message;
  std::array<char, kBlockBytes> block{};
  do {
    state.next_out = reinterpret_cast<Bytef*>(block.data());
    state.avail_out = static_cast<uInt>(block.size());
    const int result = inflate(&state, Z_SYNC_FLUSH);
    // Z_BUF_ERROR only says that the last block was full and nothing is left.
    if (result != Z_OK && result != Z_BUF_ERROR) {
      return std::nullopt;
    }
    message.append(block.data(), block.size() - state.avail_out);
    if (message.size() > aMaxBytes) {
      return std::nullopt;
    }
  } while (state.avail_out == 0);
  return state.avail_in == 0 ? std::optional(std::move(message)) : std::nullopt;
}

} // namespace Net
