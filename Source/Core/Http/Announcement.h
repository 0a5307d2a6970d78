#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace Http {

/// What an endpoint says of itself every second.
struct Announcement
{
  std::string mEndpoint;
  std::string mPool;
  /// "ip:port" where it takes requests.
  std::string mAddress;
  std::int32_t mSlots = 0;
  std::int32_t mConnections = 0;
  bool mLeaving = false;
  /// Requests that it works on, if it counts them.
  std::optional<std::int32_t> mInProgress;
};

/// Reads the body of POST /ibisshed/v1/announce; the error names the field.
tl::expected<Announcement, std::string>
ParseAnnouncement(std::string_view aBody);

} // namespace Http
